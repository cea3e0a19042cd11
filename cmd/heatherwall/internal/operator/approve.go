package operator

import (
	"encoding/hex"
	"fmt"
	"strings"

	"heatherwall.example/api/controlpb"
)

// runApprove shows the text of a candidate, or approves the text that has the given hash.
func runApprove(c *invocation, args []string) error {
	c.addChangeFlags()
	hash := c.flags.String("sha256", "", "`hash` of the text to approve; without it, the text and its hash are shown")
	positional, err := c.parse(args, 1)
	if err != nil {
		return err
	}
	if *hash == "" {
		return c.showCandidate(positional[0])
	}
	sum, err := hex.DecodeString(*hash)
	if err != nil || len(sum) != 32 {
		return c.usageError("expected 64 hex digits in -sha256")
	}
	approval := &controlpb.Approval{Candidate: positional[0], TextSha256: sum}
	return c.submitChange(&controlpb.Change{Approval: approval}, "-sha256 "+*hash+" "+positional[0])
}

// submitChange signs and sends a change that does not come from a document file. An approval is given in the name of
// the signer of the first key. resendArgs are as for signAndSend.
func (c *invocation) submitChange(change *controlpb.Change, resendArgs string) error {
	r, err := c.newReplicaClient()
	if err != nil {
		return err
	}
	defer r.close()
	keys, err := c.loadKeys()
	if err != nil {
		return err
	}
	if change.Approval != nil {
		change.Approval.Member = keys[0].Signer
	}
	ctx, cancel := c.timeoutContext()
	defer cancel()
	if err := c.enforceCapacityCheck(ctx, r, change.GetDomain()); err != nil {
		return err
	}
	outcome, err := c.signAndSend(ctx, r, change, keys, resendArgs)
	if err != nil {
		return err
	}
	if outcome.GetResult() == controlpb.ChangeResult_CHANGE_CONFLICT {
		fmt.Fprintf(c.stderr, "the text of %s has changed; show it with heatherwall approve %s\n", change.GetApproval().GetCandidate(), change.GetApproval().GetCandidate())
	}
	return c.reportOutcome(ctx, r, change.GetId(), outcome, noLocation)
}

func (c *invocation) showCandidate(name string) error {
	r, err := c.newReplicaClient()
	if err != nil {
		return err
	}
	defer r.close()
	ctx, cancel := c.timeoutContext()
	defer cancel()
	answer, err := getDocument(ctx, r, 0)
	if err != nil {
		return err
	}
	for _, p := range answer.GetPending() {
		if p.GetCandidate() == name {
			return c.writeCandidate(p)
		}
	}
	return &RefusedError{Reason: "no candidate " + name + " waits for approvals"}
}

func (c *invocation) writeCandidate(p *controlpb.PendingJoin) error {
	if c.options.json {
		return c.writeProto(p)
	}
	fmt.Fprint(c.stdout, p.GetText())
	fmt.Fprintf(c.stdout, "# approved by: %s\n", joinOrNone(p.GetApprovedBy()))
	fmt.Fprintf(c.stdout, "# waiting for: %s\n", strings.Join(p.GetWaitingFor(), ", "))
	fmt.Fprintf(c.stdout, "# to approve exactly this text: heatherwall approve -sha256 %x %s\n", p.GetTextSha256(), p.GetCandidate())
	return nil
}
