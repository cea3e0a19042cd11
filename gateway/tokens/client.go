// Package tokens takes the tokens that requests of workspaces with a quota need, from the control replicas that give them. It
// decides how long a request waits for one; how many there are is decided by package quota. It may import quota and the
// messages of api only.
package tokens

import (
	"context"
	"fmt"
	"time"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/quota"
)

const (
	// callTimeout limits one call, to an owner in another region at most.
	callTimeout = 250 * time.Millisecond
	// retryInterval is the time between two calls while no owner gives tokens.
	retryInterval = 40 * time.Millisecond
	// maxPatience limits the wait for an owner, and patienceDivisor limits it to a part of the remaining time. A planned change
	// of an owner takes less; the loss of one takes seconds, which callers had better wait elsewhere.
	maxPatience     = 600 * time.Millisecond
	patienceDivisor = 3
	// unavailableRetryAfter is when a request is told to return while no owner gives tokens.
	unavailableRetryAfter = time.Second
)

// SpentError reports a workspace whose quota is spent.
type SpentError struct {
	Workspace string
	// RetryAfter is when the quota is expected to have room.
	RetryAfter time.Duration
}

func (e *SpentError) Error() string {
	return fmt.Sprintf("the quota of workspace %q is spent", e.Workspace)
}

// UnavailableError reports that no control replica gave tokens in time.
type UnavailableError struct {
	Workspace string
	// RetryAfter is when to try again.
	RetryAfter time.Duration
	// Cause is the error of the last call; nil if no owner is known, or it gives no tokens at present.
	Cause error
}

func (e *UnavailableError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("no control replica gives tokens of workspace %q at present", e.Workspace)
	}
	return fmt.Sprintf("no control replica gives tokens of workspace %q: %v", e.Workspace, e.Cause)
}

func (e *UnavailableError) Unwrap() error { return e.Cause }

// Token permits to send one request.
type Token struct {
	workspace string
	expires   time.Duration
}

// IsValid reports whether the request may still be sent.
func (t Token) IsValid(now time.Duration) bool { return now < t.expires }

// Outcome is how a request for a token ended; it is a label of the metrics.
type Outcome string

// Outcomes.
const (
	// Held: the gateway had a token.
	Held Outcome = "held"
	// Given: the owner gave one.
	Given Outcome = "given"
	// Waited: the owner gave one for a later time.
	Waited Outcome = "waited"
	// Spent: the quota is spent.
	Spent Outcome = "spent"
	// Unavailable: no owner gave tokens in time.
	Unavailable Outcome = "unavailable"
	// GivenBack: a token was not used and was given back.
	GivenBack Outcome = "given_back"
)

// Client takes tokens for one gateway. It is safe for concurrent use.
type Client struct {
	Wallet *quota.Wallet
	// Owner returns the identity of the replica that owns a slot; 0 if none is known.
	Owner func(slot int) uint64
	// Call calls a replica.
	Call func(ctx context.Context, replica uint64, r *controlpb.TakeTokensRequest) (*controlpb.TakeTokensAnswer, error)
	// Now is the monotonic clock of the gateway.
	Now func() time.Duration
	// Count counts an outcome.
	Count func(Outcome)
}

// Take returns a token for a request of a workspace. left is the remaining time of the request, of which a part may pass. The
// error is *SpentError, *UnavailableError or that of ctx.
func (c *Client) Take(ctx context.Context, workspace string, left time.Duration) (Token, error) {
	if expires, ok := c.Wallet.Spend(c.Now(), workspace); ok {
		c.Count(Held)
		return Token{workspace, expires}, nil
	}
	var last error
	for end := c.Now() + min(maxPatience, left/patienceDivisor); ; {
		askedAt := c.Now()
		answer, err := c.call(ctx, workspace, c.Wallet.Wanted(workspace))
		switch {
		case err != nil:
			last = err
		case answer.GetResult() == controlpb.TakeTokensResult_TAKE_TOKENS_GIVEN && answer.GetTokens() > 0:
			return c.accept(ctx, workspace, askedAt, answer)
		case answer.GetResult() == controlpb.TakeTokensResult_TAKE_TOKENS_REFUSED:
			c.Count(Spent)
			return Token{}, &SpentError{Workspace: workspace, RetryAfter: milliseconds(answer.GetRetryAfterMs())}
		}
		if !sleep(ctx, retryInterval) {
			return Token{}, ctx.Err()
		}
		if c.Now() >= end {
			c.Count(Unavailable)
			return Token{}, &UnavailableError{Workspace: workspace, RetryAfter: unavailableRetryAfter, Cause: last}
		}
	}
}

// accept keeps all tokens of an answer but one, which it returns when its time has come.
func (c *Client) accept(ctx context.Context, workspace string, askedAt time.Duration, answer *controlpb.TakeTokensAnswer) (Token, error) {
	wait := milliseconds(answer.GetWaitMs())
	t := Token{workspace, c.Wallet.Expiry(askedAt, wait)}
	if answer.GetTokens() > 1 {
		c.Wallet.Deposit(workspace, int(answer.GetTokens())-1, t.expires)
	}
	if wait == 0 {
		c.Count(Given)
		return t, nil
	}
	c.Count(Waited)
	if !sleep(ctx, wait) {
		return Token{}, ctx.Err()
	}
	return t, nil
}

// GiveBack gives back the token of a request that was not sent. It may block for callTimeout; if it fails, the token is lost.
func (c *Client) GiveBack(ctx context.Context, t Token) {
	c.Count(GivenBack)
	_, _ = c.call(ctx, t.workspace, 0)
}

// call calls the owner of a workspace. Without one, the answer is nil.
func (c *Client) call(ctx context.Context, workspace string, tokens int) (*controlpb.TakeTokensAnswer, error) {
	owner := c.Owner(quota.SlotOf(workspace))
	if owner == 0 {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.Call(ctx, owner, &controlpb.TakeTokensRequest{Workspace: workspace, Tokens: uint32(tokens)})
}

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// sleep waits for a duration; it returns false if ctx ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
