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

// Timing of the loop. Heartbeat and election timeouts are given in ticks; see docs/design.md, section 5.1.
const (
	tickInterval   = 100 * time.Millisecond
	heartbeatTicks = 2
	// catalogueHeartbeatTicks takes its place where changes are pushed and renewals may wait for a heartbeat; fewer
	// heartbeats save bytes between regions.
	catalogueHeartbeatTicks = 3
	electionTicks           = 8

	// readTimeout bounds a read index round; a lost round is given up so that gateways try another replica.
	readTimeout = 700 * time.Millisecond

	taskQueueLength = 4096
	// tasksPerTurn bounds the tasks handled between two syncs, so that one sync serves many of them.
	maxTasksPerIteration = 512
)

// loop owns all replicated state of a replica. Its fields are touched by the goroutine of run only, except tasks, stop
// and done.
type loop struct {
	self      *raftpb.Member
	clusterID uint64
	log       *telemetry.Logger
	counters  *counters
	// send collects messages; flush hands what was collected to the transport. Neither blocks.
	send  func(group *group, messages []*raftpb.Message)
	flush func()

	// groups holds the groups by number, ordered the same ones by ascending number; addGroup changes both.
	groups  map[uint64]*group
	ordered []*group
	// contacts holds the address of each replica that has sent a message, by identity.
	peerAddresses map[uint64]string
	// beforeSettle runs before each round of syncs, for work that is collected during a turn.
	beforeReady func()
	// afterSettle runs at the end of each turn, when everything committed has been applied.
	afterReady func()
	// everyTick runs after each tick, for work that depends on time.
	tickHooks []func(now time.Time)

	tasks chan func()
	stop  chan struct{}
	done  chan struct{}
	fatal error
}

func newLoop(self *raftpb.Member, cluster uint64, log *telemetry.Logger, counters *counters) *loop {
	return &loop{
		self: self, clusterID: cluster, log: log, counters: counters,
		groups: map[uint64]*group{}, peerAddresses: map[uint64]string{},
		flush: func() {},
		tasks: make(chan func(), taskQueueLength),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
}

// submit hands a task to the loop without waiting. A full queue gives *OverloadedError.
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

// call runs a task in the loop and waits until the task has handed a value to its argument, ctx ends, or the loop
// stops. The task may hand over the value later than it returns.
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

// run handles tasks and ticks until stop is closed or the storage fails.
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

// fail stops the loop at the end of its turn.
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

// settle syncs, sends and applies until no group has anything left to do.
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

// addGroup makes the loop drive a group.
func (l *loop) addGroup(g *group) {
	g.counters = l.counters
	l.groups[g.id] = g
	l.ordered = slices.SortedFunc(maps.Values(l.groups), func(a, b *group) int { return cmp.Compare(a.id, b.id) })
}
