package controlstate

import (
	"crypto/sha256"
	"slices"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/document"
)

// maxHistoryEntriesPerAnswer limits the number of history entries in one answer.
const maxHistoryEntriesPerAnswer = 1000

// DocumentDelta is the update that brings a gateway from an older revision to the newest one.
type DocumentDelta struct {
	Revision uint64
	// Full is true when Sections is the whole document instead of the sections that changed.
	Full     bool
	Sections []*controlpb.Section
	// Removed lists the names of removed sections, sorted; empty when Full is true.
	Removed []string
	// DomainsOut lists the failure domains that are out of service, sorted.
	DomainsOut []string
}

// DocumentDeltaSince returns the difference between a revision and the newest one. For revision 0 and for revisions
// that are no longer kept it returns the whole document.
func (c *Configuration) DocumentDeltaSince(revision uint64) DocumentDelta {
	d := DocumentDelta{Revision: c.revision, DomainsOut: c.DomainsOut()}
	d.Full = revision == 0 || revision < c.sections.oldestRevision
	for _, s := range c.sections.currentSections() {
		if d.Full || s.Revision > revision {
			d.Sections = append(d.Sections, toSectionMessage(s))
		}
	}
	if !d.Full {
		d.Removed = c.sections.removedSince(revision)
	}
	return d
}

// Sections returns the current document, sorted as in a rendered document.
func (c *Configuration) Sections() []document.Section {
	return c.sections.currentSections()
}

// SectionsAt returns the sections of the document at a revision; 0 is the newest one. The error is a *RevisionError.
func (c *Configuration) SectionsAt(revision uint64) ([]document.Section, error) {
	if revision == 0 || revision == c.revision {
		return c.sections.currentSections(), nil
	}
	if revision < c.sections.oldestRevision || revision > c.revision {
		return nil, &RevisionError{Revision: revision, Oldest: c.sections.oldestRevision, Newest: c.revision}
	}
	return c.sections.sectionsAt(revision), nil
}

// BuildGetAnswer builds the answer to a request of an operator for a revision; 0 is the newest one. The failure domains
// that are out of service and the pending candidates are always the current ones, also for past revisions. The error is
// a *RevisionError.
func (c *Configuration) BuildGetAnswer(revision uint64) (*controlpb.GetAnswer, error) {
	sections, err := c.SectionsAt(revision)
	if err != nil {
		return nil, err
	}
	answer := &controlpb.GetAnswer{Revision: revision, DomainsOut: c.DomainsOut(), Pending: c.PendingJoins()}
	if revision == 0 {
		answer.Revision = c.revision
	}
	for _, s := range sections {
		answer.Sections = append(answer.Sections, toSectionMessage(s))
	}
	return answer, nil
}

// PendingJoins returns the candidates that wait for approvals, in the order in which they were first proposed.
func (c *Configuration) PendingJoins() []*controlpb.PendingJoin {
	var list []*controlpb.PendingJoin
	for _, p := range c.pending {
		sum := sha256.Sum256([]byte(p.GetText()))
		list = append(list, &controlpb.PendingJoin{
			Candidate: p.GetName(), Text: p.GetText(), TextSha256: sum[:], Revision: p.GetRevision(),
			ApprovedBy: slices.Clone(p.GetApprovedBy()), WaitingFor: c.missingApprovals(p),
		})
	}
	return list
}

// History returns history entries, oldest first, starting with the given revision. A limit of 0 means the maximum.
func (c *Configuration) History(from uint64, limit uint32) []*controlpb.HistoryEntry {
	if limit == 0 || limit > maxHistoryEntriesPerAnswer {
		limit = maxHistoryEntriesPerAnswer
	}
	start, _ := slices.BinarySearchFunc(c.history, from, func(e *controlpb.HistoryEntry, revision uint64) int {
		if e.GetRevision() < revision {
			return -1
		}
		return 1
	})
	end := min(len(c.history), start+int(limit))
	return slices.Clone(c.history[start:end])
}
