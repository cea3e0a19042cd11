package control

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"heatherwall.example/api/raftpb"
	"heatherwall.example/telemetry"
)

// Timing of the loop. Heartbeat intervals and election timeouts are in ticks; see docs/design.md, section 5.1.
const (
	tickInterval   = 100 * time.Millisecond
	heartbeatTicks = 2
	// catalogueHeartbeatTicks replaces heartbeatTicks when the replica has a catalogue. Changes are then pushed and
	// renewals may wait for a heartbeat, so fewer heartbeats save bytes between regions.
	catalogueHeartbeatTicks = 3
	electionTicks           = 8

	// readTimeout bounds a read index round. A round without confirmation fails, so that gateways try another replica.
	readTimeout = 700 * time.Millisecond

	taskQueueLength = 4096
	// maxTasksPerIteration bounds the tasks run between two syncs. One sync covers all of them.
	maxTasksPerIteration = 512
)

// loop owns all replicated state of a replica. Only the goroutine of run accesses its fields, except tasks, stop and
// done.
type loop struct {
	self      *raftpb.Member
	clusterID uint64
	log       *telemetry.Logger
	counters  *counters
	// send collects messages; flush passes the collected messages to the transport. Neither blocks.
	send  func(group *group, messages []*raftpb.Message)
	flush func()

	// groups holds the groups by ID, and ordered holds the same groups by ascending ID; addGroup updates both.
	groups  map[uint64]*group
	ordered []*group
	// peerAddresses holds the address of each replica that has sent a message, by replica ID.
	peerAddresses map[uint64]string
	// beforeReady runs in each iteration before the groups are processed. It proposes what the iteration has collected.
	beforeReady func()
	// afterReady runs at the end of each iteration, when all committed entries have been applied.
	afterReady func()
	// tickHooks run after each tick.
	tickHooks []func(now time.Time)
	// minVoters is the number of voters that the demotion of silent voters leaves in a group.
	minVoters int

	tasks chan func()
	stop  chan struct{}
	done  chan struct{}
	fatal error
}

func newLoop(self *raftpb.Member, cluster uint64, log *telemetry.Logger, counters *counters) *loop {
	return &loop{
		self: self, clusterID: cluster, log: log, counters: counters,
		groups: map[uint64]*group{}, peerAddresses: map[uint64]string{},
		flush:     func() {},
		minVoters: defaultMinVoters,
		tasks:     make(chan func(), taskQueueLength),
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
	}
}

// submit queues a task for the loop without waiting. It returns *OverloadedError if the queue is full, and *StoppedError
// if the loop has stopped.
func (l *loop) submit(task func()) error {
	select {
	case <-l.done:
		return &StoppedError{}
	default:
	}
	select {
	case l.tasks <- task:
		return nil
	default:
		return &OverloadedError{}
	}
}

// runInLoop runs a task in the loop and waits until the task calls finish, ctx ends, or the loop stops. The task may
// return before finish is called; only the first call of finish counts.
func runInLoop[T any](ctx context.Context, l *loop, task func(finish func(T, error))) (T, error) {
	type outcome struct {
		value T
		err   error
	}
	result := make(chan outcome, 1)
	finish := func(value T, err error) {
		select {
		case result <- outcome{value, err}:
		default:
		}
	}
	var none T
	if err := l.submit(func() { task(finish) }); err != nil {
		return none, err
	}
	select {
	case o := <-result:
		return o.value, o.err
	case <-ctx.Done():
		return none, ctx.Err()
	case <-l.done:
		return none, &StoppedError{}
	}
}

// run executes tasks and ticks until stop is closed or an error stops the loop.
func (l *loop) run() {
	defer close(l.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.stop:
			return
		case task := <-l.tasks:
			task()
			l.drainTasks()
		case now := <-ticker.C:
			l.tick(now)
		}
		if l.beforeReady != nil {
			l.beforeReady()
		}
		if err := l.processReadyGroups(); err != nil {
			l.fail(err)
		}
		if l.afterReady != nil {
			l.afterReady()
		}
		if l.fatal != nil {
			l.log.Log(eventStorageFailed, telemetry.F("error", l.fatal))
			return
		}
	}
}

// fail records the error that stops the loop at the end of the current iteration; only the first error is kept.
func (l *loop) fail(err error) {
	if l.fatal == nil {
		l.fatal = err
	}
}

func (l *loop) drainTasks() {
	for range maxTasksPerIteration {
		select {
		case task := <-l.tasks:
			task()
		default:
			return
		}
	}
}

func (l *loop) tick(now time.Time) {
	for _, g := range l.ordered {
		g.node.Tick()
		g.recordLeaderSeen(now)
		g.expireReadRound(now)
		g.expireProposals(now)
	}
	for _, f := range l.tickHooks {
		f(now)
	}
}

// processReadyGroups processes the groups until none of them has a Ready left.
func (l *loop) processReadyGroups() error {
	for progress := true; progress; {
		progress = false
		for _, g := range l.ordered {
			advanced, err := g.processReady(l)
			if err != nil {
				return err
			}
			progress = progress || advanced
		}
		l.flush()
	}
	return nil
}

// addGroup adds a group to the loop.
func (l *loop) addGroup(g *group) {
	g.counters, g.events = l.counters, l.log
	l.groups[g.id] = g
	l.ordered = slices.SortedFunc(maps.Values(l.groups), func(a, b *group) int { return cmp.Compare(a.id, b.id) })
}
