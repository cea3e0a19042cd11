package controlstate

import (
	"bytes"
	"crypto/ed25519"
	"crypto/sha256"
	"slices"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/statepb"
	"heatherwall.example/document"
)

// currentOrCandidateKeys returns a lookup of keys in the current document and, if a change is about a candidate, in the
// text of the pending candidate or else in the text with which the change proposes it.
func (c *Configuration) currentOrCandidateKeys(change *controlpb.Change) document.PublicKeyLookup {
	return func(signer, keyID string) (ed25519.PublicKey, bool) {
		if key, ok := c.config.PublicKey(signer, keyID); ok {
			return key, true
		}
		name, ok := c.candidateIn(change)
		if !ok {
			return nil, false
		}
		if p := c.pendingMember(name); p != nil {
			return document.MemberKeyLookup(name, p.GetText())(signer, keyID)
		}
		for _, s := range change.GetSections() {
			if s.GetName() == document.MemberSectionName(name) {
				return document.MemberKeyLookup(name, s.GetText())(signer, keyID)
			}
		}
		return nil, false
	}
}

// candidateIn returns the name of the candidate that a change proposes, edits or withdraws, if there is one.
func (c *Configuration) candidateIn(change *controlpb.Change) (candidate string, ok bool) {
	for _, s := range change.GetSections() {
		name, isMember := memberOfSection(s.GetName())
		if !isMember || c.sections.revisionOf(s.GetName()) != 0 {
			continue
		}
		if !s.GetRemove() || c.pendingMember(name) != nil {
			return name, true
		}
	}
	return "", false
}

func (c *Configuration) pendingMember(name string) *statepb.PendingMember {
	i := slices.IndexFunc(c.pending, func(p *statepb.PendingMember) bool { return p.GetName() == name })
	if i < 0 {
		return nil
	}
	return c.pending[i]
}

// changeCandidate proposes, edits or withdraws a candidate. An edit must be signed with a key of the pending text, so
// that nobody else can take over the name of a candidate.
func (c *Configuration) changeCandidate(r verifiedChange, name string) *controlpb.ChangeOutcome {
	if len(r.change.GetSections()) != 1 {
		return c.invalidOutcome(document.MemberSectionName(name), ReasonJoinAlone, "expected a change with no section besides that of the new member")
	}
	s := r.change.GetSections()[0]
	p := c.pendingMember(name)
	if s.GetRemove() {
		return c.withdrawCandidate(r, p)
	}
	if p != nil && p.GetText() == s.GetText() {
		return c.pendingOutcome(p)
	}
	if !slices.Contains(r.signers, name) {
		return c.unauthorizedOutcome(s.GetName(), ReasonOwnerSignature, "expected a signature of candidate "+name)
	}
	if p.GetRevision() != s.GetBaseRevision() {
		o := c.newOutcome(controlpb.ChangeResult_CHANGE_CONFLICT)
		o.Conflicts = []*controlpb.Section{{Name: s.GetName(), Revision: p.GetRevision(), Text: p.GetText()}}
		return o
	}
	if p == nil && len(c.pending) >= MaxPendingCandidates {
		return c.invalidOutcome(s.GetName(), ReasonPendingFull, "expected fewer candidates that wait for approvals")
	}
	if _, problems := document.Compile(c.sectionsAfter(r.change)); len(problems) > 0 {
		return c.invalidDocumentOutcome(problems)
	}
	return c.proposeCandidate(r, name, s.GetText())
}

// proposeCandidate makes a text the pending one of a candidate. Approvals of an earlier text do not count for it.
func (c *Configuration) proposeCandidate(r verifiedChange, name, text string) *controlpb.ChangeOutcome {
	c.revision++
	p := c.pendingMember(name)
	if p == nil {
		p = &statepb.PendingMember{Name: name}
		c.pending = append(c.pending, p)
	}
	p.Text, p.Revision, p.ChangeId, p.ApprovedBy = text, c.revision, r.change.GetId(), nil
	c.appendHistory(r, controlpb.ChangeResult_CHANGE_PENDING)
	return c.pendingOutcome(p)
}

// withdrawCandidate removes a pending candidate. The candidate or any member may do this, because a join needs the
// consent of all of them anyway.
func (c *Configuration) withdrawCandidate(r verifiedChange, p *statepb.PendingMember) *controlpb.ChangeOutcome {
	isMember := func(signer string) bool { _, ok := c.config.Member(signer); return ok }
	if !slices.Contains(r.signers, p.GetName()) && !slices.ContainsFunc(r.signers, isMember) {
		return c.unauthorizedOutcome(document.MemberSectionName(p.GetName()), ReasonOwnerSignature, "expected a signature of the candidate or a member")
	}
	c.revision++
	c.removePending(p.GetName())
	c.appendHistory(r, controlpb.ChangeResult_CHANGE_ACCEPTED)
	return c.acceptedOutcome()
}

func (c *Configuration) removePending(name string) {
	c.pending = slices.DeleteFunc(c.pending, func(p *statepb.PendingMember) bool { return p.GetName() == name })
}

// applyApproval records the approval of a candidate by a member. The hash in the approval must match the pending text.
func (c *Configuration) applyApproval(r verifiedChange) *controlpb.ChangeOutcome {
	a := r.change.GetApproval()
	if c.config == nil {
		return c.invalidOutcome("approval", ReasonCandidate, "expected a document to be in force")
	}
	if _, ok := c.config.Member(a.GetMember()); !ok || !slices.Contains(r.signers, a.GetMember()) {
		return c.unauthorizedOutcome("approval.member", ReasonOwnerSignature, "expected a signature of an existing member")
	}
	p := c.pendingMember(a.GetCandidate())
	if p == nil {
		return c.approvalWithoutCandidate(a)
	}
	if sum := sha256.Sum256([]byte(p.GetText())); !bytes.Equal(sum[:], a.GetTextSha256()) {
		o := c.pendingOutcome(p)
		o.Result = controlpb.ChangeResult_CHANGE_CONFLICT
		o.Conflicts = []*controlpb.Section{{Name: document.MemberSectionName(p.GetName()), Revision: p.GetRevision(), Text: p.GetText()}}
		return o
	}
	if slices.Contains(p.GetApprovedBy(), a.GetMember()) {
		return c.pendingOutcome(p)
	}
	c.revision++
	p.ApprovedBy = append(p.ApprovedBy, a.GetMember())
	slices.Sort(p.ApprovedBy)
	c.appendHistory(r, controlpb.ChangeResult_CHANGE_PENDING)
	c.admitReadyCandidates()
	if c.pendingMember(p.GetName()) == nil {
		return c.acceptedOutcome()
	}
	return c.pendingOutcome(p)
}

// approvalWithoutCandidate returns the outcome of an approval whose candidate is not pending. The candidate may have
// joined with the approved text in the meantime; then there is nothing to do.
func (c *Configuration) approvalWithoutCandidate(a *controlpb.Approval) *controlpb.ChangeOutcome {
	joined, ok := c.sections.current[document.MemberSectionName(a.GetCandidate())]
	sum := sha256.Sum256([]byte(joined.GetText()))
	if ok && bytes.Equal(sum[:], a.GetTextSha256()) {
		return c.newOutcome(controlpb.ChangeResult_CHANGE_NOTHING)
	}
	return c.invalidOutcome("approval.candidate", ReasonCandidate, "expected a candidate that waits for approvals")
}

// removeApprovals removes the approvals that a member gave when its section is removed, so that they do not count if it
// joins again.
func (c *Configuration) removeApprovals(section string) {
	member, ok := memberOfSection(section)
	if !ok {
		return
	}
	for _, p := range c.pending {
		p.ApprovedBy = slices.DeleteFunc(p.ApprovedBy, func(name string) bool { return name == member })
	}
}

// admitReadyCandidates admits candidates, in the order in which they were proposed, until none is ready. Each candidate
// that joins becomes a member whose approval the remaining candidates need.
func (c *Configuration) admitReadyCandidates() {
	for {
		i := slices.IndexFunc(c.pending, c.isReady)
		if i < 0 {
			return
		}
		c.admitCandidate(c.pending[i])
	}
}

// isReady reports whether every member has approved a candidate and the document would be valid with it. The document
// may have changed since the proposal; a candidate that would make it invalid stays pending.
func (c *Configuration) isReady(p *statepb.PendingMember) bool {
	if len(c.missingApprovals(p)) > 0 {
		return false
	}
	_, problems := document.Compile(c.sectionsAfter(newJoinChange(p)))
	return len(problems) == 0
}

func (c *Configuration) admitCandidate(p *statepb.PendingMember) {
	change := newJoinChange(p)
	config, _ := document.Compile(c.sectionsAfter(change))
	c.removePending(p.GetName())
	c.commit(verifiedChange{change: change, signers: append([]string{p.GetName()}, p.GetApprovedBy()...)}, config)
}

func newJoinChange(p *statepb.PendingMember) *controlpb.Change {
	section := &controlpb.SectionChange{Name: document.MemberSectionName(p.GetName()), Text: p.GetText()}
	return &controlpb.Change{Id: p.GetChangeId(), Sections: []*controlpb.SectionChange{section}}
}

// missingApprovals returns the members that have not approved the pending text, sorted.
func (c *Configuration) missingApprovals(p *statepb.PendingMember) []string {
	return slices.DeleteFunc(c.config.MemberNames(), func(member string) bool {
		return slices.Contains(p.GetApprovedBy(), member)
	})
}

// pendingOutcome returns the outcome for a candidate that stays pending. If every member has approved it, the problems
// say why the document would be invalid with it.
func (c *Configuration) pendingOutcome(p *statepb.PendingMember) *controlpb.ChangeOutcome {
	o := c.newOutcome(controlpb.ChangeResult_CHANGE_PENDING)
	o.WaitingFor = c.missingApprovals(p)
	if len(o.WaitingFor) == 0 {
		_, problems := document.Compile(c.sectionsAfter(newJoinChange(p)))
		o.Problems = toProblemMessages(problems)
	}
	return o
}
