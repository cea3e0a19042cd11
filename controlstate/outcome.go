package controlstate

import (
	"slices"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/document"
)

func (c *Configuration) newOutcome(result controlpb.ChangeResult) *controlpb.ChangeOutcome {
	return &controlpb.ChangeOutcome{Result: result, Revision: c.revision}
}

func (c *Configuration) acceptedOutcome() *controlpb.ChangeOutcome {
	return c.newOutcome(controlpb.ChangeResult_CHANGE_ACCEPTED)
}

func (c *Configuration) refusedOutcome(result controlpb.ChangeResult, p *controlpb.ChangeProblem) *controlpb.ChangeOutcome {
	o := c.newOutcome(result)
	o.Problems = []*controlpb.ChangeProblem{p}
	return o
}

func (c *Configuration) invalidOutcome(path, reason, expected string) *controlpb.ChangeOutcome {
	return c.refusedOutcome(controlpb.ChangeResult_CHANGE_INVALID, newProblem(path, reason, expected))
}

func (c *Configuration) unauthorizedOutcome(path, reason, expected string) *controlpb.ChangeOutcome {
	return c.refusedOutcome(controlpb.ChangeResult_CHANGE_UNAUTHORIZED, newProblem(path, reason, expected))
}

func (c *Configuration) invalidDocumentOutcome(problems document.Problems) *controlpb.ChangeOutcome {
	o := c.newOutcome(controlpb.ChangeResult_CHANGE_INVALID)
	o.Problems = toProblemMessages(problems)
	return o
}

func newProblem(path, reason, expected string) *controlpb.ChangeProblem {
	return &controlpb.ChangeProblem{Path: path, Reason: reason, Expected: expected}
}

func toProblemMessages(problems document.Problems) []*controlpb.ChangeProblem {
	var list []*controlpb.ChangeProblem
	for _, p := range problems[:min(len(problems), MaxProblems)] {
		list = append(list, &controlpb.ChangeProblem{
			Path: p.Path, Line: uint32(p.Line), Column: uint32(p.Column), Expected: p.Expected, Reason: string(p.Reason),
		})
	}
	return list
}

// appendHistory adds a change to the history at the current revision and drops the oldest entry above
// MaxHistoryEntries.
func (c *Configuration) appendHistory(r verifiedChange, result controlpb.ChangeResult) {
	e := &controlpb.HistoryEntry{
		Revision: c.revision, ChangeId: r.change.GetId(), Signers: slices.Clone(r.signers),
		Comment: r.change.GetComment(), Domain: r.change.GetDomain(), Approval: r.change.GetApproval(), Result: result,
	}
	for _, s := range r.change.GetSections() {
		e.Sections = append(e.Sections, s.GetName())
	}
	c.history = append(c.history, e)
	if len(c.history) > MaxHistoryEntries {
		c.history = c.history[1:]
	}
}
