package quota

import "time"

// Limit is the quota of a workspace.
type Limit struct {
	// Rate is the number of requests per second; 0 for no limit.
	Rate float64
	// Burst is the number of requests beyond the rate.
	Burst float64
}

// IsUnlimited reports whether requests need no token.
func (l Limit) IsUnlimited() bool { return l.Rate <= 0 }

// Bounds says how exactly a quota is kept: in each window all gateways together send at most
// (rate x window + burst) x (1 + Overage) + Slack requests of a workspace.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// within returns the number of requests within a quota in one window.
func (b Bounds) within(l Limit) float64 { return l.Rate*b.Window.Seconds() + l.Burst }

const (
	// usedOverage is the part of the overage that the lifetime of tokens may use.
	usedOverage = 0.6
	// minLifetime leaves time for an answer from another region.
	minLifetime = 100 * time.Millisecond
	maxLifetime = time.Second
	// sendDelay is the time from the last check of a token to the arrival of its request at a backend server.
	sendDelay = 100 * time.Millisecond
)

// Lifetime returns the time from the request for a token in which it may be spent. What is given in a window and a lifetime
// before it may be spent in the window.
func (b Bounds) Lifetime() time.Duration {
	return min(max(time.Duration(usedOverage*b.Overage*float64(b.Window)), minLifetime), maxLifetime)
}

// refill is the number of tokens per second that a bucket gets. Each window may hold the burst anew, so a lasting demand gets it
// in each window. Of a burst that is larger than the rate of a second, the rest is left to the depth.
func (b Bounds) refill(l Limit) float64 { return l.Rate + min(l.Burst, l.Rate)/b.Window.Seconds() }

// room is the number of tokens that all owners of a workspace may give at once, on top of the refill, within the bounds.
func (b Bounds) room(l Limit) float64 {
	return b.within(l)*(1+b.Overage) + b.Slack - b.refill(l)*(b.Window+b.Lifetime()+sendDelay).Seconds()
}

// depthWindows is the number of windows whose requests a bucket holds.
const depthWindows = 2

// depth is the number of tokens that a bucket holds at most: all requests that are within the quota in depthWindows, if the
// bounds leave room for that. The few requests of a small workspace come unevenly, and its burst alone would refuse many that
// are within its quota. A bucket that never holds a whole token would never give one.
func (b Bounds) depth(l Limit) float64 { return max(min(depthWindows*b.within(l), b.room(l)), 1) }

// ownersInWindow is the number of times that an owner may begin in one window: processes that end restart after a second or so.
const ownersInWindow = 4

// initial is the number of tokens in the bucket of an owner that begins. An earlier owner may just have given a full bucket,
// and what comes in MaxWait; so it is what the bounds leave beside that.
func (b Bounds) initial(l Limit) float64 {
	depth := b.depth(l)
	return min(max((b.room(l)-depth)/ownersInWindow, 0), depth) - b.refill(l)*MaxWait.Seconds()
}
