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

// runApply sends the sections in which a file differs from the revision that the file was made from.
func runApply(c *call, args []string) error {
	c.addChangeFlags()
	base := c.flags.String("base", "", "`revision` that the file was made from (default: its field revision, else the newest one)")
	positional, err := c.parse(args, 1)
	if err != nil {
		return err
	}
	mine, err := readDocument(positional[0])
	if err != nil {
		return err
	}
	r, err := c.connect()
	if err != nil {
		return err
	}
	defer r.close()
	keys, err := c.loadKeys()
	if err != nil {
		return err
	}
	ctx, cancel := c.deadline()
	defer cancel()
	from, err := c.baseOf(ctx, r, mine, *base)
	if err != nil {
		return err
	}
	plan := newPlan(mine, from)
	for _, name := range plan.absent {
		fmt.Fprintf(c.stderr, "%s is in force but not in the file; it stays, because the file has no field revision\n", name)
	}
	if len(plan.changes) == 0 {
		return c.writeUnsent(plan, from.answer.GetRevision())
	}
	change := &controlpb.Change{Sections: plan.changes}
	hint := fmt.Sprintf("-base %d %s", from.answer.GetRevision(), positional[0])
	outcome, err := c.send(ctx, r, change, keys, hint)
	if err != nil {
		return err
	}
	if outcome.GetResult() == controlpb.ChangeResult_CHANGE_CONFLICT {
		return c.writeConflict(change.GetId(), outcome, from.sections(), mine.Sections())
	}
	locate := func(path string) string {
		line, column := mine.Position(path)
		return fmt.Sprintf("%s:%d:%d", positional[0], line, column)
	}
	return c.conclude(ctx, r, change.GetId(), outcome, locate)
}

// base is the document that a file was made from.
type base struct {
	answer *controlpb.GetAnswer
	// known is true when the file or a flag names the revision, so that a section missing in the file was removed.
	known bool
}

func (b base) sections() []document.Section {
	var list []document.Section
	for _, s := range b.answer.GetSections() {
		list = append(list, document.Section{Name: s.GetName(), Text: s.GetText(), Revision: s.GetRevision()})
	}
	return list
}

// baseOf fetches the document at the revision of the flag, of the file, or the newest one.
func (c *call) baseOf(ctx context.Context, r *replicas, mine *document.Document, flagValue string) (base, error) {
	revision, known := mine.Revision, mine.Revision != 0
	if flagValue != "" {
		n, err := strconv.ParseUint(flagValue, 10, 64)
		if err != nil {
			return base{}, c.usage("expected a number in -base")
		}
		revision, known = n, true
	}
	if known && revision == 0 {
		return base{answer: &controlpb.GetAnswer{}, known: true}, nil
	}
	answer, err := getAt(ctx, r, revision)
	return base{answer: answer, known: known}, err
}

func getAt(ctx context.Context, r *replicas, revision uint64) (*controlpb.GetAnswer, error) {
	return ask(ctx, r, func(ctx context.Context, client controlpb.OperatorsClient) (*controlpb.GetAnswer, error) {
		return client.Get(ctx, &controlpb.GetRequest{Revision: revision})
	})
}

// plan is what a file changes.
type plan struct {
	changes []*controlpb.SectionChange
	// absent lists sections in force that the file does not have and that stay.
	absent []string
	// waiting is a candidate whose very text waits for approvals already.
	waiting *controlpb.PendingJoin
}

func newPlan(mine *document.Document, from base) plan {
	texts := map[string]document.Section{}
	for _, s := range from.sections() {
		texts[s.Name] = s
	}
	candidates := map[string]*controlpb.PendingJoin{}
	for _, p := range from.answer.GetPending() {
		candidates[document.MemberSectionName(p.GetCandidate())] = p
	}
	var p plan
	for _, s := range mine.Sections() {
		old, inForce := texts[s.Name]
		delete(texts, s.Name)
		if inForce && old.Text == s.Text {
			continue
		}
		candidate := candidates[s.Name]
		if candidate != nil && candidate.GetText() == s.Text {
			p.waiting = candidate
			continue
		}
		revision := max(old.Revision, candidate.GetRevision())
		p.changes = append(p.changes, &controlpb.SectionChange{Name: s.Name, BaseRevision: revision, Text: s.Text})
	}
	for _, s := range from.sections() {
		if _, missing := texts[s.Name]; !missing {
			continue
		}
		if !from.known {
			p.absent = append(p.absent, s.Name)
			continue
		}
		p.changes = append(p.changes, &controlpb.SectionChange{Name: s.Name, BaseRevision: s.Revision, Remove: true})
	}
	return p
}

// send signs a change and sends it until a replica decides. Every attempt carries the same ID.
func (c *call) send(ctx context.Context, r *replicas, change *controlpb.Change, keys []*document.PrivateKey, hint string) (*controlpb.ChangeOutcome, error) {
	change.Comment = c.options.comment
	change.Id = c.options.id
	if change.Id == "" {
		change.Id = uuid.NewString()
	}
	signed, err := document.Sign(change, keys...)
	if err != nil {
		return nil, err
	}
	r.uncertain = false
	answer, err := ask(ctx, r, func(ctx context.Context, client controlpb.OperatorsClient) (*controlpb.ApplyAnswer, error) {
		return client.Apply(ctx, &controlpb.ApplyRequest{Change: signed})
	})
	var silent *NoAnswerError
	if errors.As(err, &silent) && r.uncertain {
		resend := fmt.Sprintf("To find out, send the same change again: heatherwall %s -id %s %s", c.name, change.Id, hint)
		return nil, &UnknownError{Attempts: silent.Attempts, Hint: resend}
	}
	return answer.GetOutcome(), err
}

// waitInForce asks until the revision is in force at every gateway.
func (c *call) waitInForce(ctx context.Context, r *replicas, revision uint64) error {
	var waiting []string
	for {
		answer, err := ask(ctx, r, func(ctx context.Context, client controlpb.OperatorsClient) (*controlpb.InForceAnswer, error) {
			return client.InForce(ctx, &controlpb.InForceRequest{Revision: revision})
		})
		if err != nil {
			return &UnknownError{Attempts: r.failed, Hint: fmt.Sprintf("Revision %d is accepted; whether it is in force is unknown. Last waiting for: %v", revision, waiting)}
		}
		if answer.GetInForce() {
			return nil
		}
		waiting = answer.GetWaitingFor()
		if !r.pause(ctx, len(r.addresses)-1) {
			return &UnknownError{Hint: fmt.Sprintf("Revision %d is accepted but not in force yet, waiting for: %v", revision, waiting)}
		}
	}
}
