package operator

import (
	"context"
	"fmt"
	"os"
	"strings"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/document"
)

const documentFileMode = 0o644

// runGet writes the document including the field revision. apply and diff use that field as the base of an edited file.
func runGet(c *invocation, args []string) error {
	c.addConnectionFlags()
	revision := c.flags.Uint64("revision", 0, "`revision` of the document; 0 means the newest")
	output := c.flags.String("o", "", "`file` to write to instead of standard output")
	answer, err := query(c, args, func(ctx context.Context, client controlpb.OperatorsClient) (*controlpb.GetAnswer, error) {
		return client.Get(ctx, &controlpb.GetRequest{Revision: *revision})
	})
	if err != nil {
		return err
	}
	if c.options.json {
		return c.writeProto(answer)
	}
	text := document.Render(baseDocument{answer: answer}.sections(), answer.GetRevision())
	for _, p := range answer.GetPending() {
		fmt.Fprintf(c.stderr, "candidate %s waits for the approval of: %s\n", p.GetCandidate(), strings.Join(p.GetWaitingFor(), ", "))
	}
	if *output == "" {
		_, err := c.stdout.Write(text)
		return err
	}
	if err := os.WriteFile(*output, text, documentFileMode); err != nil {
		return &FileError{Path: *output, Err: err}
	}
	return nil
}

// query runs a read-only subcommand without positional arguments.
func query[T any](c *invocation, args []string, rpc func(context.Context, controlpb.OperatorsClient) (T, error)) (T, error) {
	var zero T
	if _, err := c.parse(args, 0); err != nil {
		return zero, err
	}
	r, err := c.newReplicaClient()
	if err != nil {
		return zero, err
	}
	defer r.close()
	ctx, cancel := c.timeoutContext()
	defer cancel()
	return callWithFailover(ctx, r, rpc)
}

// runHistory lists decided changes, the oldest first.
func runHistory(c *invocation, args []string) error {
	c.addConnectionFlags()
	from := c.flags.Uint64("from", 0, "first `revision` to list")
	limit := c.flags.Uint("limit", 100, "maximum `number` of entries")
	answer, err := query(c, args, func(ctx context.Context, client controlpb.OperatorsClient) (*controlpb.HistoryAnswer, error) {
		return client.History(ctx, &controlpb.HistoryRequest{FromRevision: *from, Limit: uint32(*limit)})
	})
	if err != nil {
		return err
	}
	if c.options.json {
		return c.writeProto(answer)
	}
	for _, e := range answer.GetEntries() {
		fmt.Fprintln(c.stdout, historyLine(e))
	}
	return nil
}

func historyLine(e *controlpb.HistoryEntry) string {
	line := fmt.Sprintf("%6d  %-8s  %s  by %s", e.GetRevision(), resultName(e.GetResult()), changeSubject(e), strings.Join(e.GetSigners(), ", "))
	if e.GetComment() != "" {
		line += fmt.Sprintf("  %q", e.GetComment())
	}
	return line
}

// changeSubject describes what a change applies to: a failure domain, a candidate or sections of the document.
func changeSubject(e *controlpb.HistoryEntry) string {
	switch {
	case e.GetDomain() != nil:
		return "domain " + outOrIn(e.GetDomain().GetOut()) + " " + e.GetDomain().GetFailureDomain()
	case e.GetApproval() != nil:
		return "approval of " + e.GetApproval().GetCandidate()
	}
	return strings.Join(e.GetSections(), ", ")
}

func outOrIn(out bool) string {
	if out {
		return "out"
	}
	return "in"
}

// runStatus shows the state of the cluster as one replica knows it.
func runStatus(c *invocation, args []string) error {
	c.addConnectionFlags()
	answer, err := query(c, args, func(ctx context.Context, client controlpb.OperatorsClient) (*controlpb.StatusAnswer, error) {
		return client.Status(ctx, &controlpb.StatusRequest{})
	})
	if err != nil {
		return err
	}
	if c.options.json {
		return c.writeProto(answer)
	}
	fmt.Fprintf(c.stdout, "revision %d, answered by %s, cluster %x\n", answer.GetRevision(), answer.GetAnsweredBy(), answer.GetClusterId())
	fmt.Fprintf(c.stdout, "failure domains out: %s\n", joinOrNone(answer.GetDomainsOut()))
	for _, domain := range answer.GetDomainsOut() {
		fmt.Fprintln(c.stdout, domainLine(domain, answer.GetGateways()))
	}
	for _, g := range answer.GetGroups() {
		fmt.Fprintln(c.stdout, groupLine(g))
	}
	for _, g := range answer.GetGateways() {
		fmt.Fprintln(c.stdout, gatewayLine(g))
	}
	return nil
}

func joinOrNone(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}

// domainLine describes the requests in flight in a failure domain that is out. A gateway that does not report the
// domain has not yet learned that it is out.
func domainLine(domain string, gateways []*controlpb.GatewayStatus) string {
	var inFlight uint32
	var unreported []string
	for _, g := range gateways {
		n, ok := g.GetInFlight()[domain]
		if !ok {
			unreported = append(unreported, g.GetName())
		}
		inFlight += n
	}
	switch {
	case len(unreported) > 0:
		return fmt.Sprintf("failure domain %s: no report yet from %s", domain, strings.Join(unreported, ", "))
	case inFlight > 0:
		return fmt.Sprintf("failure domain %s: %d requests in flight", domain, inFlight)
	}
	return fmt.Sprintf("failure domain %s: empty", domain)
}

func groupLine(g *controlpb.GroupStatus) string {
	name := "configuration"
	if g.GetRegion() != "" {
		name = "claims of " + g.GetRegion()
	}
	state := "current"
	if !g.GetCurrent() {
		state = "NOT CURRENT"
	}
	var members []string
	for _, m := range g.GetMembership().GetMembers() {
		role := ""
		if m.GetLearner() {
			role = " (learner)"
		}
		members = append(members, m.GetName()+role)
	}
	return fmt.Sprintf("group %d, %s: %s, leader %s, term %d, applied %d of %d, replicas %s", g.GetGroup(), name, state,
		g.GetLeaderAddress(), g.GetTerm(), g.GetApplied(), g.GetCommit(), strings.Join(members, ", "))
}

func gatewayLine(g *controlpb.GatewayStatus) string {
	state := "serving"
	if g.GetDraining() {
		state = "draining"
	}
	return fmt.Sprintf("gateway %s in %s/%s: %s, revision %d, last renewal %d ms ago", g.GetName(), g.GetRegion(),
		g.GetFailureDomain(), state, g.GetRevision(), g.GetAgeMs())
}
