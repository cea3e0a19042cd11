package tokens

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/quota"
)

// takeFunc answers a call.
type takeFunc func(r *controlpb.TakeTokensRequest) (*controlpb.TakeTokensAnswer, error)

// stub is a control group of one replica.
type stub struct {
	client *Client
	start  time.Time
	calls  int
	counts map[Outcome]int

	mu    sync.Mutex // guards owner and answer
	owner uint64
	// answer answers a call; a nil answer stands for a replica that does not answer.
	answer takeFunc
}

func newStub(answer takeFunc) *stub {
	s := &stub{start: time.Now(), owner: 7, counts: map[Outcome]int{}, answer: answer}
	s.client = &Client{
		Wallet: quota.NewWallet(quota.Bounds{Window: 5 * time.Second, Overage: 0.1}),
		Owner:  func(int) uint64 { owner, _ := s.current(); return owner },
		Now:    func() time.Duration { return time.Since(s.start) + time.Hour },
		Count:  func(o Outcome) { s.counts[o]++ },
		Call: func(ctx context.Context, replica uint64, r *controlpb.TakeTokensRequest) (*controlpb.TakeTokensAnswer, error) {
			s.calls++
			if owner, _ := s.current(); replica != owner {
				return nil, fmt.Errorf("replica %d was called", replica)
			}
			time.Sleep(10 * time.Millisecond)
			_, answer := s.current()
			a, err := answer(r)
			if a == nil && err == nil {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return a, err
		},
	}
	return s
}

// current returns the owner and its answer at this moment.
func (s *stub) current() (owner uint64, answer takeFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owner, s.answer
}

// change calls f, which may change the owner and its answer.
func (s *stub) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func answer(result controlpb.TakeTokensResult, tokens, wait, retryAfter uint32) *controlpb.TakeTokensAnswer {
	return &controlpb.TakeTokensAnswer{Result: result, Tokens: tokens, WaitMs: wait, RetryAfterMs: retryAfter}
}

// Guards against a request that waits for a message although the gateway holds a token, and against tokens that are spent
// after they have ended.
func TestHeldTokensAreSpentFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStub(func(*controlpb.TakeTokensRequest) (*controlpb.TakeTokensAnswer, error) {
			return answer(controlpb.TakeTokensResult_TAKE_TOKENS_GIVEN, 3, 0, 0), nil
		})
		for range 3 {
			if token, err := s.client.Take(t.Context(), "w", time.Second); err != nil || !token.IsValid(s.client.Now()) {
				t.Fatal(token, err)
			}
		}
		if s.calls != 1 || s.counts[Held] != 2 || s.counts[Given] != 1 {
			t.Errorf("%d calls, %v; want one call for three requests", s.calls, s.counts)
		}
		_, _ = s.client.Take(t.Context(), "w", time.Second) // leaves two
		time.Sleep(time.Second)
		if _, err := s.client.Take(t.Context(), "w", time.Second); err != nil || s.calls != 3 {
			t.Errorf("%d calls, %v; want a new call after the tokens have ended", s.calls, err)
		}
	})
}

// Guards against a token that is spent before its time.
func TestTokenForLaterWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStub(func(*controlpb.TakeTokensRequest) (*controlpb.TakeTokensAnswer, error) {
			return answer(controlpb.TakeTokensResult_TAKE_TOKENS_GIVEN, 1, 150, 0), nil
		})
		begun := time.Now()
		token, err := s.client.Take(t.Context(), "w", 3*time.Second)
		if took := time.Since(begun); err != nil || took < 150*time.Millisecond || !token.IsValid(s.client.Now()) {
			t.Errorf("%v after %s", err, took)
		}
	})
}

// Guards against a refusal that is tried again and again, and against its time to return getting lost.
func TestSpentQuotaIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStub(func(*controlpb.TakeTokensRequest) (*controlpb.TakeTokensAnswer, error) {
			return answer(controlpb.TakeTokensResult_TAKE_TOKENS_REFUSED, 0, 0, 1700), nil
		})
		var spent *SpentError
		if _, err := s.client.Take(t.Context(), "w", time.Second); !errors.As(err, &spent) || spent.RetryAfter != 1700*time.Millisecond || s.calls != 1 {
			t.Errorf("%v after %d calls", err, s.calls)
		}
	})
}

// Guards against requests that are sent without a token, or that wait without limit, when the owner of the quota is lost,
// silent, not known, without a tenure, or behind with the configuration; and against one that is refused although a new owner
// was found in time.
func TestOwnerIsLost(t *testing.T) {
	for name, fail := range map[string]func(s *stub) (*controlpb.TakeTokensAnswer, error){
		"refuses": func(*stub) (*controlpb.TakeTokensAnswer, error) { return nil, errors.New("connection refused") },
		"silent":  func(*stub) (*controlpb.TakeTokensAnswer, error) { return nil, nil },
		"not known": func(s *stub) (*controlpb.TakeTokensAnswer, error) {
			s.change(func() { s.owner = 0 })
			return nil, errors.New("gone")
		},
		"no tenure": func(*stub) (*controlpb.TakeTokensAnswer, error) {
			return answer(controlpb.TakeTokensResult_TAKE_TOKENS_NOT_OWNER, 0, 0, 0), nil
		},
		"behind": func(*stub) (*controlpb.TakeTokensAnswer, error) {
			return answer(controlpb.TakeTokensResult_TAKE_TOKENS_UNKNOWN, 0, 0, 0), nil
		},
		"unreadable": func(*stub) (*controlpb.TakeTokensAnswer, error) { return answer(99, 5, 0, 0), nil },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStub(nil)
				s.answer = func(*controlpb.TakeTokensRequest) (*controlpb.TakeTokensAnswer, error) { return fail(s) }
				var unavailable *UnavailableError
				begun := time.Now()
				_, err := s.client.Take(t.Context(), "w", 10*time.Second)
				if took := time.Since(begun); !errors.As(err, &unavailable) || unavailable.RetryAfter == 0 || took > time.Second {
					t.Errorf("%v after %s", err, took)
				}
				go func() {
					time.Sleep(300 * time.Millisecond)
					s.change(func() {
						s.owner, s.answer = 8, func(*controlpb.TakeTokensRequest) (*controlpb.TakeTokensAnswer, error) {
							return answer(controlpb.TakeTokensResult_TAKE_TOKENS_GIVEN, 1, 0, 0), nil
						}
					})
				}()
				if _, err := s.client.Take(t.Context(), "w", 10*time.Second); err != nil {
					t.Errorf("%v although another owner was there after 300 ms", err)
				}
			})
		})
	}
}

// Guards against a request that goes on to wait after its caller has left.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStub(func(*controlpb.TakeTokensRequest) (*controlpb.TakeTokensAnswer, error) { return nil, nil })
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		defer cancel()
		begun := time.Now()
		if _, err := s.client.Take(ctx, "w", 10*time.Second); !errors.Is(err, context.DeadlineExceeded) || time.Since(begun) > 50*time.Millisecond {
			t.Errorf("%v after %s", err, time.Since(begun))
		}
	})
}
