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

// Reasons of the problems in outcomes, in addition to those of package document.
const (
	ReasonEncoding         = "encoding"
	ReasonChangeID         = "change_id"
	ReasonChangeIDUsed     = "change_id_used"
	ReasonChangeKind       = "kind"
	ReasonSectionName      = "section_name"
	ReasonNotFirstDocument = "not_first"
	ReasonOwnerSignature   = "owner"
	ReasonInvalidSignature = "signature"
	ReasonJoinAlone        = "join_alone"
	ReasonPendingFull      = "pending_full"
	ReasonCandidate        = "candidate"
	ReasonClaimRegion      = "claim_region_fixed"
	ReasonFailureDomain    = "failure_domain"
	ReasonCommentSize      = "comment_size"
)

// maxCommentBytes limits the comment of a change, which is stored in the history.
const maxCommentBytes = 1024

// uuidPattern matches only the canonical lower-case form, so that one ID has a single spelling and a repeat is
// recognized.
var uuidPattern = regexp.MustCompile(`^[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}$`)

// verifiedChange is a change whose signatures have been verified.
type verifiedChange struct {
	change  *controlpb.Change
	signers []string
}

// isSignedFor reports whether the owner has signed or, if the owner is a team, its member has.
func (r verifiedChange) isSignedFor(owner string) bool {
	member, _, _ := strings.Cut(owner, "/")
	return slices.Contains(r.signers, owner) || slices.Contains(r.signers, member)
}

// applyChange applies a change and records its outcome, also a refusal, so that a repeat gets the same outcome. The
// outcome of a malformed change is not recorded.
func (c *Configuration) applyChange(signed *controlpb.SignedChange) (outcome *controlpb.ChangeOutcome, repeated bool) {
	change, err := document.DecodeChange(signed)
	if err != nil {
		return c.invalidOutcome("", ReasonEncoding, err.Error()), false
	}
	if problem := checkWellFormed(change); problem != nil {
		return c.refusedOutcome(controlpb.ChangeResult_CHANGE_INVALID, problem), false
	}
	if first, known := c.firstOutcome(change.GetId(), signed.GetChange()); known {
		return first, true
	}
	outcome = c.verifyAndEvaluate(signed, change)
	c.outcomes.record(change.GetId(), signed.GetChange(), outcome)
	return outcome, false
}

func (c *Configuration) verifyAndEvaluate(signed *controlpb.SignedChange, change *controlpb.Change) *controlpb.ChangeOutcome {
	signers, err := document.Verify(signed, c.signingKeys(change))
	if err != nil {
		return c.unauthorizedOutcome("", ReasonInvalidSignature, err.Error())
	}
	return c.evaluate(verifiedChange{change: change, signers: signers})
}

func checkWellFormed(change *controlpb.Change) *controlpb.ChangeProblem {
	if !uuidPattern.MatchString(change.GetId()) {
		return newProblem("id", ReasonChangeID, "expected a UUID in lower case")
	}
	if len(change.GetComment()) > maxCommentBytes {
		return newProblem("comment", ReasonCommentSize, "expected at most 1024 bytes")
	}
	kinds := 0
	for _, present := range []bool{len(change.GetSections()) > 0, change.Domain != nil, change.Approval != nil} {
		if present {
			kinds++
		}
	}
	if kinds != 1 {
		return newProblem("", ReasonChangeKind, "expected either sections, a failure domain or an approval")
	}
	return nil
}

// firstOutcome returns the recorded outcome of a change ID, and false if the ID is unknown. A known ID with different
// content is refused. Texts of conflicting sections are added again if their versions are still kept.
func (c *Configuration) firstOutcome(id string, encoded []byte) (*controlpb.ChangeOutcome, bool) {
	known, ok := c.outcomes.byID[id]
	if !ok {
		return nil, false
	}
	if sum := sha256.Sum256(encoded); !bytes.Equal(sum[:], known.GetSha256()) {
		return c.invalidOutcome("id", ReasonChangeIDUsed, "expected an ID that no other change has"), true
	}
	outcome := proto.Clone(known.GetOutcome()).(*controlpb.ChangeOutcome)
	for _, s := range outcome.GetConflicts() {
		if v, kept := c.sections.findVersion(s.GetName(), s.GetRevision()); kept {
			s.Text = v.GetText()
		}
	}
	return outcome, true
}

// signingKeys returns a lookup of the keys that may sign a change: those of the current document and of the candidate
// that the change is about, or those of the first document if there is no document yet.
func (c *Configuration) signingKeys(change *controlpb.Change) document.PublicKeyLookup {
	if c.config != nil {
		return c.currentOrCandidateKeys(change)
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

func (c *Configuration) evaluate(r verifiedChange) *controlpb.ChangeOutcome {
	switch {
	case r.change.Domain != nil:
		return c.changeDomain(r)
	case r.change.Approval != nil:
		return c.applyApproval(r)
	case c.config == nil:
		return c.applyFirstDocument(r)
	}
	return c.changeSections(r)
}

// applyFirstDocument accepts the first document if every member in it has signed. It can succeed only once, because the
// revision never returns to 0.
func (c *Configuration) applyFirstDocument(r verifiedChange) *controlpb.ChangeOutcome {
	for _, s := range r.change.GetSections() {
		if s.GetBaseRevision() != 0 || s.GetRemove() {
			return c.invalidOutcome(s.GetName(), ReasonNotFirstDocument, "expected a whole first document with base revision 0")
		}
	}
	config, problems := document.Compile(changedSections(r.change))
	if len(problems) > 0 {
		return c.invalidDocumentOutcome(problems)
	}
	for _, member := range config.MemberNames() {
		if !slices.Contains(r.signers, member) {
			return c.unauthorizedOutcome(document.MemberSectionName(member), ReasonOwnerSignature, "expected a signature of member "+member)
		}
	}
	c.sections.oldestRevision = c.revision + 1
	c.commit(r, config)
	return c.acceptedOutcome()
}

// changeDomain takes a failure domain out of service or back in.
func (c *Configuration) changeDomain(r verifiedChange) *controlpb.ChangeOutcome {
	name, out := r.change.GetDomain().GetFailureDomain(), r.change.GetDomain().GetOut()
	if c.config == nil {
		return c.invalidOutcome("domain", ReasonFailureDomain, "expected a document to be in force")
	}
	if _, ok := c.config.RegionOf(name); !ok {
		return c.invalidOutcome("domain", ReasonFailureDomain, "expected a failure domain of the topology")
	}
	owner, _ := c.config.SectionOwner(document.SectionTopology)
	if !r.isSignedFor(owner) {
		return c.unauthorizedOutcome(document.SectionTopology, ReasonOwnerSignature, "expected a signature of "+owner)
	}
	if c.config.IsDomainOut(name) == out {
		return c.newOutcome(controlpb.ChangeResult_CHANGE_NOTHING)
	}
	c.revision++
	c.updateDomainsOut(name, out)
	c.appendHistory(r, controlpb.ChangeResult_CHANGE_ACCEPTED)
	c.sections.prune(c.revision)
	return c.acceptedOutcome()
}

func (c *Configuration) updateDomainsOut(name string, out bool) {
	i, found := slices.BinarySearch(c.domainsOut, name)
	switch {
	case out && !found:
		c.domainsOut = slices.Insert(c.domainsOut, i, name)
	case !out && found:
		c.domainsOut = slices.Delete(c.domainsOut, i, i+1)
	}
	c.config = c.config.WithDomainsOut(c.domainsOut)
}
