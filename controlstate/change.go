package controlstate

import (
	"bytes"
	"crypto/sha256"
	"regexp"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/document"
)

// Reasons of problems in outcomes, beside those of package document.
const (
	ReasonEncoding      = "encoding"
	ReasonChangeID      = "change_id"
	ReasonChangeIDUsed  = "change_id_used"
	ReasonKind          = "kind"
	ReasonSectionName   = "section_name"
	ReasonNotFirst      = "not_first"
	ReasonOwner         = "owner"
	ReasonSignature     = "signature"
	ReasonJoinAlone     = "join_alone"
	ReasonPendingFull   = "pending_full"
	ReasonCandidate     = "candidate"
	ReasonClaimRegion   = "claim_region_fixed"
	ReasonFailureDomain = "failure_domain"
	ReasonCommentSize   = "comment_size"
)

// maxCommentBytes limits the comment of a change, which history keeps.
const maxCommentBytes = 1024

// uuidPattern admits one spelling only, so that an ID cannot be repeated in another one.
var uuidPattern = regexp.MustCompile(`^[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}$`)

// request is a change whose signatures have been verified.
type request struct {
	change  *controlpb.Change
	signers []string
}

// mayActFor tells whether the owner, or the member that the owner is a team of, has signed.
func (r request) mayActFor(owner string) bool {
	member, _, _ := strings.Cut(owner, "/")
	return slices.Contains(r.signers, owner) || slices.Contains(r.signers, member)
}

// applyChange gives the outcome of a change and keeps it for repeats, refusals included. Only a malformed change leaves
// no trace.
func (c *Configuration) applyChange(signed *controlpb.SignedChange) (outcome *controlpb.ChangeOutcome, repeated bool) {
	change, err := document.DecodeChange(signed)
	if err != nil {
		return c.invalid("", ReasonEncoding, err.Error()), false
	}
	if problem := malformed(change); problem != nil {
		return c.refuse(controlpb.ChangeResult_CHANGE_INVALID, problem), false
	}
	if first, known := c.firstOutcome(change.GetId(), signed.GetChange()); known {
		return first, true
	}
	outcome = c.verifyAndEvaluate(signed, change)
	c.changes.record(change.GetId(), signed.GetChange(), outcome)
	return outcome, false
}

func (c *Configuration) verifyAndEvaluate(signed *controlpb.SignedChange, change *controlpb.Change) *controlpb.ChangeOutcome {
	signers, err := document.Verify(signed, c.keysFor(change))
	if err != nil {
		return c.unauthorized("", ReasonSignature, err.Error())
	}
	return c.evaluate(request{change: change, signers: signers})
}

func malformed(change *controlpb.Change) *controlpb.ChangeProblem {
	if !uuidPattern.MatchString(change.GetId()) {
		return problem("id", ReasonChangeID, "expected a UUID in lower case")
	}
	if len(change.GetComment()) > maxCommentBytes {
		return problem("comment", ReasonCommentSize, "expected at most 1024 bytes")
	}
	kinds := 0
	for _, present := range []bool{len(change.GetSections()) > 0, change.Domain != nil, change.Approval != nil} {
		if present {
			kinds++
		}
	}
	if kinds != 1 {
		return problem("", ReasonKind, "expected either sections, a failure domain or an approval")
	}
	return nil
}

// firstOutcome returns the outcome of a change ID that is known. The same ID with other content is refused.
func (c *Configuration) firstOutcome(id string, encoded []byte) (*controlpb.ChangeOutcome, bool) {
	known, ok := c.changes.byID[id]
	if !ok {
		return nil, false
	}
	if sum := sha256.Sum256(encoded); !bytes.Equal(sum[:], known.GetSha256()) {
		return c.invalid("id", ReasonChangeIDUsed, "expected an ID that no other change has"), true
	}
	outcome := proto.Clone(known.GetOutcome()).(*controlpb.ChangeOutcome)
	for _, s := range outcome.GetConflicts() {
		if v, kept := c.sections.find(s.GetName(), s.GetRevision()); kept {
			s.Text = v.GetText()
		}
	}
	return outcome, true
}

// keysFor returns the keys that may sign a change: those in force, and those of the candidates or the first document.
func (c *Configuration) keysFor(change *controlpb.Change) document.PublicKeyLookup {
	if c.config != nil {
		return c.knownOrCandidate(change)
	}
	first, problems := document.Compile(changedSections(change))
	if len(problems) > 0 {
		first = &document.Config{}
	}
	return first.PublicKey
}

func changedSections(change *controlpb.Change) []document.Section {
	var list []document.Section
	for _, s := range change.GetSections() {
		list = append(list, document.Section{Name: s.GetName(), Text: s.GetText()})
	}
	return list
}

func (c *Configuration) evaluate(r request) *controlpb.ChangeOutcome {
	switch {
	case r.change.Domain != nil:
		return c.changeDomain(r)
	case r.change.Approval != nil:
		return c.approve(r)
	case c.config == nil:
		return c.found(r)
	}
	return c.changeSections(r)
}

// found accepts the first document, once: the revision never returns to 0.
func (c *Configuration) found(r request) *controlpb.ChangeOutcome {
	for _, s := range r.change.GetSections() {
		if s.GetBaseRevision() != 0 || s.GetRemove() {
			return c.invalid(s.GetName(), ReasonNotFirst, "expected a whole first document with base revision 0")
		}
	}
	config, problems := document.Compile(changedSections(r.change))
	if len(problems) > 0 {
		return c.invalidDocument(problems)
	}
	for _, member := range config.MemberNames() {
		if !slices.Contains(r.signers, member) {
			return c.unauthorized(document.MemberSectionName(member), ReasonOwner, "expected a signature of member "+member)
		}
	}
	c.sections.oldest = c.revision + 1
	c.commit(r, config)
	return c.accepted()
}

// changeDomain takes a failure domain out or brings it back.
func (c *Configuration) changeDomain(r request) *controlpb.ChangeOutcome {
	name, out := r.change.GetDomain().GetFailureDomain(), r.change.GetDomain().GetOut()
	if c.config == nil {
		return c.invalid("domain", ReasonFailureDomain, "expected a document to be in force")
	}
	if _, ok := c.config.RegionOf(name); !ok {
		return c.invalid("domain", ReasonFailureDomain, "expected a failure domain of the topology")
	}
	owner, _ := c.config.SectionOwner(document.SectionTopology)
	if !r.mayActFor(owner) {
		return c.unauthorized(document.SectionTopology, ReasonOwner, "expected a signature of "+owner)
	}
	if c.config.IsDomainOut(name) == out {
		return c.outcome(controlpb.ChangeResult_CHANGE_NOTHING)
	}
	c.revision++
	c.setDomain(name, out)
	c.note(r, controlpb.ChangeResult_CHANGE_ACCEPTED)
	c.sections.prune(c.revision)
	return c.accepted()
}

func (c *Configuration) setDomain(name string, out bool) {
	i, found := slices.BinarySearch(c.domainsOut, name)
	switch {
	case out && !found:
		c.domainsOut = slices.Insert(c.domainsOut, i, name)
	case !out && found:
		c.domainsOut = slices.Delete(c.domainsOut, i, i+1)
	}
	c.config = c.config.WithDomainsOut(c.domainsOut)
}
