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

// knownOrCandidate looks keys up in the document in force, then in the text of a pending candidate, then in the text
// with which a change proposes a new candidate.
func (c *Configuration) knownOrCandidate(change *controlpb.Change) document.PublicKeyLookup {
	return func(signer, keyID string) (ed25519.PublicKey, bool) {
		if key, ok := c.config.PublicKey(signer, keyID); ok {
			return key, true
		}
		name, ok := c.joining(change)
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

// joining returns the candidate if a change adds, edits or withdraws one.
func (c *Configuration) joining(change *controlpb.Change) (candidate string, ok bool) {
	for _, s := range change.GetSections() {
		name, isMember := memberOf(s.GetName())
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

// join proposes, edits or withdraws a candidate. An edit needs a key of the pending text, so that nobody else can take
// a candidate's name over.
func (c *Configuration) join(r request, name string) *controlpb.ChangeOutcome {
	if len(r.change.GetSections()) != 1 {
		return c.invalid(document.MemberSectionName(name), ReasonJoinAlone, "expected a change with no section besides that of the new member")
	}
	s := r.change.GetSections()[0]
	p := c.pendingMember(name)
	if s.GetRemove() {
		return c.withdraw(r, p)
	}
	if p != nil && p.GetText() == s.GetText() {
		return c.waiting(p)
	}
	if !slices.Contains(r.signers, name) {
		return c.unauthorized(s.GetName(), ReasonOwner, "expected a signature of candidate "+name)
	}
	if p.GetRevision() != s.GetBaseRevision() {
		o := c.outcome(controlpb.ChangeResult_CHANGE_CONFLICT)
		o.Conflicts = []*controlpb.Section{{Name: s.GetName(), Revision: p.GetRevision(), Text: p.GetText()}}
		return o
	}
	if p == nil && len(c.pending) >= MaxPending {
		return c.invalid(s.GetName(), ReasonPendingFull, "expected fewer candidates that wait for approvals")
	}
	if _, problems := document.Compile(c.sectionsAfter(r.change)); len(problems) > 0 {
		return c.invalidDocument(problems)
	}
	return c.propose(r, name, s.GetText())
}

// propose makes a text pending. Approvals of an earlier text do not count for it.
func (c *Configuration) propose(r request, name, text string) *controlpb.ChangeOutcome {
	c.revision++
	p := c.pendingMember(name)
	if p == nil {
		p = &statepb.PendingMember{Name: name}
		c.pending = append(c.pending, p)
	}
	p.Text, p.Revision, p.ChangeId, p.ApprovedBy = text, c.revision, r.change.GetId(), nil
	c.note(r, controlpb.ChangeResult_CHANGE_PENDING)
	return c.waiting(p)
}

// withdraw ends a candidacy, at the wish of the candidate or of any member: a join needs all of them anyway.
func (c *Configuration) withdraw(r request, p *statepb.PendingMember) *controlpb.ChangeOutcome {
	isMember := func(signer string) bool { _, ok := c.config.Member(signer); return ok }
	if !slices.Contains(r.signers, p.GetName()) && !slices.ContainsFunc(r.signers, isMember) {
		return c.unauthorized(document.MemberSectionName(p.GetName()), ReasonOwner, "expected a signature of the candidate or a member")
	}
	c.revision++
	c.dropPending(p.GetName())
	c.note(r, controlpb.ChangeResult_CHANGE_ACCEPTED)
	return c.accepted()
}

func (c *Configuration) dropPending(name string) {
	c.pending = slices.DeleteFunc(c.pending, func(p *statepb.PendingMember) bool { return p.GetName() == name })
}

// approve counts a member's approval of exactly the pending text.
func (c *Configuration) approve(r request) *controlpb.ChangeOutcome {
	a := r.change.GetApproval()
	if c.config == nil {
		return c.invalid("approval", ReasonCandidate, "expected a document to be in force")
	}
	if _, ok := c.config.Member(a.GetMember()); !ok || !slices.Contains(r.signers, a.GetMember()) {
		return c.unauthorized("approval.member", ReasonOwner, "expected a signature of an existing member")
	}
	p := c.pendingMember(a.GetCandidate())
	if p == nil {
		return c.approveAbsent(a)
	}
	if sum := sha256.Sum256([]byte(p.GetText())); !bytes.Equal(sum[:], a.GetTextSha256()) {
		o := c.waiting(p)
		o.Result = controlpb.ChangeResult_CHANGE_CONFLICT
		o.Conflicts = []*controlpb.Section{{Name: document.MemberSectionName(p.GetName()), Revision: p.GetRevision(), Text: p.GetText()}}
		return o
	}
	if slices.Contains(p.GetApprovedBy(), a.GetMember()) {
		return c.waiting(p)
	}
	c.revision++
	p.ApprovedBy = append(p.ApprovedBy, a.GetMember())
	slices.Sort(p.ApprovedBy)
	c.note(r, controlpb.ChangeResult_CHANGE_PENDING)
	c.settle()
	if c.pendingMember(p.GetName()) == nil {
		return c.accepted()
	}
	return c.waiting(p)
}

// approveAbsent answers an approval without a pending candidate: the join may have been completed meanwhile.
func (c *Configuration) approveAbsent(a *controlpb.Approval) *controlpb.ChangeOutcome {
	joined, ok := c.sections.current[document.MemberSectionName(a.GetCandidate())]
	sum := sha256.Sum256([]byte(joined.GetText()))
	if ok && bytes.Equal(sum[:], a.GetTextSha256()) {
		return c.outcome(controlpb.ChangeResult_CHANGE_NOTHING)
	}
	return c.invalid("approval.candidate", ReasonCandidate, "expected a candidate that waits for approvals")
}

// forgetApprovals drops the approvals of a member that leaves: they do not count if it joins again.
func (c *Configuration) forgetApprovals(section string) {
	member, ok := memberOf(section)
	if !ok {
		return
	}
	for _, p := range c.pending {
		p.ApprovedBy = slices.DeleteFunc(p.ApprovedBy, func(name string) bool { return name == member })
	}
}

// settle lets candidates join, in the order of proposal, until none is ready. Each one that joins is a member whose
// approval the remaining ones need.
func (c *Configuration) settle() {
	for {
		i := slices.IndexFunc(c.pending, c.ready)
		if i < 0 {
			return
		}
		c.admit(c.pending[i])
	}
}

// ready tells whether every member approved and the document would be valid. The document may have changed since the
// proposal; a candidate that does not fit any more stays pending.
func (c *Configuration) ready(p *statepb.PendingMember) bool {
	if len(c.missingApprovals(p)) > 0 {
		return false
	}
	_, problems := document.Compile(c.sectionsAfter(joinChange(p)))
	return len(problems) == 0
}

func (c *Configuration) admit(p *statepb.PendingMember) {
	change := joinChange(p)
	config, _ := document.Compile(c.sectionsAfter(change))
	c.dropPending(p.GetName())
	c.commit(request{change: change, signers: append([]string{p.GetName()}, p.GetApprovedBy()...)}, config)
}

func joinChange(p *statepb.PendingMember) *controlpb.Change {
	section := &controlpb.SectionChange{Name: document.MemberSectionName(p.GetName()), Text: p.GetText()}
	return &controlpb.Change{Id: p.GetChangeId(), Sections: []*controlpb.SectionChange{section}}
}

// missingApprovals returns the members that have not approved the pending text, sorted.
func (c *Configuration) missingApprovals(p *statepb.PendingMember) []string {
	return slices.DeleteFunc(c.config.MemberNames(), func(member string) bool {
		return slices.Contains(p.GetApprovedBy(), member)
	})
}

// waiting is the outcome for a candidate that still waits. Its problems tell why it does not fit the document.
func (c *Configuration) waiting(p *statepb.PendingMember) *controlpb.ChangeOutcome {
	o := c.outcome(controlpb.ChangeResult_CHANGE_PENDING)
	o.WaitingFor = c.missingApprovals(p)
	if len(o.WaitingFor) == 0 {
		_, problems := document.Compile(c.sectionsAfter(joinChange(p)))
		o.Problems = problemMessages(problems)
	}
	return o
}
