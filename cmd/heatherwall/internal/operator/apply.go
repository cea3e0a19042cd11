package operator

import (
	"context"
	"errors"
	"fmt"
	"strconv"

	"github.com/google/uuid"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/document"
)

// runApply submits the sections in which a file differs from its base, the revision that the file was made from.
func runApply(c *invocation, args []string) error {
	c.addChangeFlags()
	baseFlag := c.flags.String("base", "", "`revision` that the file is based on (default: its field revision, else the newest revision)")
	positional, err := c.parse(args, 1)
	if err != nil {
		return err
	}
	mine, err := readDocument(positional[0])
	if err != nil {
		return err
	}
	r, err := c.newReplicaClient()
	if err != nil {
		return err
	}
	defer r.close()
	keys, err := c.loadKeys()
	if err != nil {
		return err
	}
	ctx, cancel := c.timeoutContext()
	defer cancel()
	base, err := c.fetchBase(ctx, r, mine, *baseFlag)
	if err != nil {
		return err
	}
	plan := newPlan(mine, base)
	for _, name := range plan.retained {
		fmt.Fprintf(c.stderr, "%s is in force but not in the file; it stays, because the file has no field revision\n", name)
	}
	if len(plan.changes) == 0 {
		return c.writeUnchanged(plan, base.answer.GetRevision())
	}
	change := &controlpb.Change{Sections: plan.changes}
	resendArgs := fmt.Sprintf("-base %d %s", base.answer.GetRevision(), positional[0])
	outcome, err := c.signAndSend(ctx, r, change, keys, resendArgs)
	if err != nil {
		return err
	}
	if outcome.GetResult() == controlpb.ChangeResult_CHANGE_CONFLICT {
		return c.writeConflict(change.GetId(), outcome, base.sections(), mine.Sections())
	}
	locate := func(path string) string {
		line, column := mine.Position(path)
		return fmt.Sprintf("%s:%d:%d", positional[0], line, column)
	}
	return c.reportOutcome(ctx, r, change.GetId(), outcome, locate)
}

// baseDocument is the document that a file was made from.
type baseDocument struct {
	answer *controlpb.GetAnswer
	// explicit is true if the file or a flag names the revision. Only then does a section that is missing from the file
	// count as removed.
	explicit bool
}

func (b baseDocument) sections() []document.Section {
	var list []document.Section
	for _, s := range b.answer.GetSections() {
		list = append(list, document.Section{Name: s.GetName(), Text: s.GetText(), Revision: s.GetRevision()})
	}
	return list
}

// fetchBase fetches the base document. Its revision is that of the flag, else that of the file, else the newest.
// Revision 0 given in the flag stands for an empty document.
func (c *invocation) fetchBase(ctx context.Context, r *replicaClient, mine *document.Document, flagValue string) (baseDocument, error) {
	revision, explicit := mine.Revision, mine.Revision != 0
	if flagValue != "" {
		n, err := strconv.ParseUint(flagValue, 10, 64)
		if err != nil {
			return baseDocument{}, c.usageError("expected a number in -base")
		}
		revision, explicit = n, true
	}
	if explicit && revision == 0 {
		return baseDocument{answer: &controlpb.GetAnswer{}, explicit: true}, nil
	}
	answer, err := getDocument(ctx, r, revision)
	return baseDocument{answer: answer, explicit: explicit}, err
}

// getDocument fetches the document at a revision; 0 means the newest.
func getDocument(ctx context.Context, r *replicaClient, revision uint64) (*controlpb.GetAnswer, error) {
	return callWithFailover(ctx, r, func(ctx context.Context, client controlpb.OperatorsClient) (*controlpb.GetAnswer, error) {
		return client.Get(ctx, &controlpb.GetRequest{Revision: revision})
	})
}

// plan holds the changes between a file and its base document.
type plan struct {
	changes []*controlpb.SectionChange
	// retained lists sections in force that are missing from the file and are not removed.
	retained []string
	// pending is a candidate whose text in the file equals the text that already awaits approvals.
	pending *controlpb.PendingJoin
}

func newPlan(mine *document.Document, base baseDocument) plan {
	unmatched := map[string]document.Section{}
	for _, s := range base.sections() {
		unmatched[s.Name] = s
	}
	candidates := map[string]*controlpb.PendingJoin{}
	for _, p := range base.answer.GetPending() {
		candidates[document.MemberSectionName(p.GetCandidate())] = p
	}
	var p plan
	for _, s := range mine.Sections() {
		old, inForce := unmatched[s.Name]
		delete(unmatched, s.Name)
		if inForce && old.Text == s.Text {
			continue
		}
		candidate := candidates[s.Name]
		if candidate != nil && candidate.GetText() == s.Text {
			p.pending = candidate
			continue
		}
		revision := max(old.Revision, candidate.GetRevision())
		p.changes = append(p.changes, &controlpb.SectionChange{Name: s.Name, BaseRevision: revision, Text: s.Text})
	}
	for _, s := range base.sections() {
		if _, missing := unmatched[s.Name]; !missing {
			continue
		}
		if !base.explicit {
			p.retained = append(p.retained, s.Name)
			continue
		}
		p.changes = append(p.changes, &controlpb.SectionChange{Name: s.Name, BaseRevision: s.Revision, Remove: true})
	}
	return p
}

// signAndSend signs a change and retries it until a replica decides. Every attempt carries the same ID. resendArgs are
// the arguments of the command line that resends the change.
func (c *invocation) signAndSend(ctx context.Context, r *replicaClient, change *controlpb.Change, keys []*document.PrivateKey, resendArgs string) (*controlpb.ChangeOutcome, error) {
	change.Comment = c.options.comment
	change.Id = c.options.id
	if change.Id == "" {
		change.Id = uuid.NewString()
	}
	signed, err := document.Sign(change, keys...)
	if err != nil {
		return nil, err
	}
	r.outcomeUnknown = false
	answer, err := callWithFailover(ctx, r, func(ctx context.Context, client controlpb.OperatorsClient) (*controlpb.ApplyAnswer, error) {
		return client.Apply(ctx, &controlpb.ApplyRequest{Change: signed})
	})
	var noAnswer *NoAnswerError
	if errors.As(err, &noAnswer) && r.outcomeUnknown {
		resend := fmt.Sprintf("To find out, send the same change again: heatherwall %s -id %s %s", c.name, change.Id, resendArgs)
		return nil, &OutcomeUnknownError{AttemptErrors: noAnswer.AttemptErrors, Hint: resend}
	}
	return answer.GetOutcome(), err
}

// waitInForce polls until the revision is in force at every gateway.
func (c *invocation) waitInForce(ctx context.Context, r *replicaClient, revision uint64) error {
	var waiting []string
	for {
		answer, err := callWithFailover(ctx, r, func(ctx context.Context, client controlpb.OperatorsClient) (*controlpb.InForceAnswer, error) {
			return client.InForce(ctx, &controlpb.InForceRequest{Revision: revision})
		})
		if err != nil {
			return &OutcomeUnknownError{AttemptErrors: r.attemptErrors, Hint: fmt.Sprintf("Revision %d is accepted; whether it is in force is unknown. Last waiting for: %v", revision, waiting)}
		}
		if answer.GetInForce() {
			return nil
		}
		waiting = answer.GetWaitingFor()
		if !r.waitBeforeRetry(ctx, len(r.addresses)-1) {
			return &OutcomeUnknownError{Hint: fmt.Sprintf("Revision %d is accepted but not in force yet, waiting for: %v", revision, waiting)}
		}
	}
}
