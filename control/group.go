package control

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"time"

	"heatherwall.example/api/raftpb"
	"heatherwall.example/controlstate"
	"heatherwall.example/raft"
	"heatherwall.example/telemetry"
)

// configurationGroup is the raft group of all control replicas.
const configurationGroup uint64 = 1

// proposalHeaderBytes is the size of the header of each entry: the identity of the proposing replica and a number that
// is unique on that replica. With it the proposer finds the request that waits for the entry.
const proposalHeaderBytes = 16

// stateMachine applies the committed entries of a group.
type stateMachine interface {
	Apply(index uint64, entry []byte) any
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// groupLog is the durable log of a group; *wal.Log in production.
type groupLog interface {
	raft.Storage
	Save(hs *raftpb.HardState, entries []*raftpb.Entry) error
	SaveSnapshot(s *raftpb.Snapshot) error
}

type proposalCallback func(result any, err error)

// proposal is a proposed entry whose outcome is not known yet.
type proposal struct {
	done       proposalCallback
	proposedAt time.Time
}

// proposalTimeout bounds how long a proposal waits for its outcome. Without it, a proposal forwarded to a replica that
// could not accept it would wait forever.
const proposalTimeout = 5 * time.Second

// group is one raft group on this replica: its node, log and state machine.
type group struct {
	id      uint64
	region  string
	node    *raft.Node
	log     groupLog
	machine stateMachine
	policy  snapshotPolicy
	self    uint64
	// counters and events are set by addGroup.
	counters *counters
	events   *telemetry.Logger

	// routes follows the route tables in the log of the configuration group; nil for other groups.
	routes *routeLog

	applied              uint64
	entriesSinceSnapshot int
	bytesSinceSnapshot   int
	lastSnapshotBytes    int
	isLeader             bool
	// demoting is the voter that this leader has removed and not yet added again as a learner; nil if there is none.
	demoting *raftpb.Member
	// leaderSeenAt is when a leader was last known.
	leaderSeenAt time.Time

	// lostData holds the voters that are known to have lost their data, by replica ID.
	lostData map[uint64]bool
	// isLeaderless is set while the group has had no leader for probeVotersAfter.
	isLeaderless bool

	proposals          map[uint64]proposal
	nextProposalNumber uint64

	// waitingReaders holds the reads that arrived while a round was running. They wait for the next round, because a round
	// confirms only the reads that arrived before it started.
	waitingReaders []readCallback
	waitingSince   time.Time
	activeRound    *readRound
	nextReadID     uint64
}

func newGroup(id uint64, region string, self uint64, node *raft.Node, log groupLog, machine stateMachine) *group {
	return &group{
		id: id, region: region, self: self, node: node, log: log, machine: machine, policy: snapshotPolicyFor(id),
		lostData:           map[uint64]bool{},
		proposals:          map[uint64]proposal{},
		nextProposalNumber: randomUint63(),
		nextReadID:         randomUint63(),
	}
}

// randomUint63 returns a random number below 2^63. Each process starts its numbering at a random number, because entries
// and messages of an earlier process with the same identity may still be in flight.
func randomUint63() uint64 {
	var b [8]byte
	rand.Read(b[:]) // never fails, by the documentation of crypto/rand
	return binary.LittleEndian.Uint64(b[:]) >> 1
}

// propose proposes data as an entry. done is called once: with the result of the state machine, with an error of
// the node such as *raft.NotLeaderError, or with *OutcomeUnknownError.
func (g *group) propose(data []byte, done proposalCallback) {
	g.submitProposal(data, g.node.Propose, done)
}

// proposeOrForward is like propose, but a follower forwards the entry to the leader. The entry must be idempotent,
// because the proposer sends it again when the outcome is unknown.
func (g *group) proposeOrForward(data []byte, done proposalCallback) {
	g.submitProposal(data, g.node.ProposeOrForward, done)
}

func (g *group) submitProposal(data []byte, propose func([]byte) error, done proposalCallback) {
	number := g.nextProposalNumber
	g.nextProposalNumber++
	entry := make([]byte, proposalHeaderBytes, proposalHeaderBytes+len(data))
	binary.LittleEndian.PutUint64(entry, g.self)
	binary.LittleEndian.PutUint64(entry[8:], number)
	if err := propose(append(entry, data...)); err != nil {
		done(nil, err)
		return
	}
	g.proposals[number] = proposal{done: done, proposedAt: time.Now()}
}

// expireProposals fails proposals whose outcome is still unknown after proposalTimeout.
func (g *group) expireProposals(now time.Time) {
	for number, p := range g.proposals {
		if now.Sub(p.proposedAt) > proposalTimeout {
			delete(g.proposals, number)
			p.done(nil, &OutcomeUnknownError{Group: g.id})
		}
	}
}

// processReady handles one Ready of the node: it syncs the log, then sends messages, then applies committed entries. It
// reports whether there was a Ready.
func (g *group) processReady(l *loop) (bool, error) {
	if err := g.node.Err(); err != nil {
		return false, err
	}
	if !g.node.HasReady() {
		return false, nil
	}
	rd := g.node.Ready()
	if err := g.save(rd); err != nil {
		return false, err
	}
	if g.routes != nil {
		g.routes.recordSaved(rd) // before the messages that acknowledge the entries
	}
	l.send(g, rd.Messages)
	if err := g.apply(rd); err != nil {
		return false, err
	}
	if g.routes != nil {
		g.routes.recordApplied(g.applied)
	}
	g.node.Advance(rd)
	for _, rs := range rd.ReadStates {
		if g.activeRound != nil && g.activeRound.id == rs.ID {
			g.activeRound.index = rs.Index
		}
	}
	g.finishReadRound()
	g.updateLeadership(l)
	return true, g.compact(l)
}

func (g *group) save(rd raft.Ready) error {
	if rd.Snapshot != nil {
		if err := g.log.SaveSnapshot(rd.Snapshot); err != nil {
			return err
		}
	}
	if rd.HardState == nil && len(rd.Entries) == 0 {
		return nil
	}
	return g.log.Save(rd.HardState, rd.Entries)
}

func (g *group) apply(rd raft.Ready) error {
	if rd.Snapshot != nil {
		if err := g.machine.Restore(rd.Snapshot.Data); err != nil {
			return err
		}
		g.applied = rd.Snapshot.Index
	}
	for _, e := range rd.CommittedEntries {
		g.applyEntry(e)
	}
	return nil
}

// applyEntry applies a committed entry. An entry that cannot be read is skipped: every replica reads it alike, and would
// otherwise fail at each start.
func (g *group) applyEntry(e *raftpb.Entry) {
	g.applied = e.Index
	g.entriesSinceSnapshot++
	g.bytesSinceSnapshot += len(e.Data)
	if e.Type != raftpb.EntryType_ENTRY_DATA || len(e.Data) == 0 {
		return
	}
	if len(e.Data) < proposalHeaderBytes {
		g.logSkipped(e, &ShortEntryError{Group: g.id, Index: e.Index})
		return
	}
	result := g.machine.Apply(e.Index, e.Data[proposalHeaderBytes:])
	g.logSkipped(e, entryError(result))
	if binary.LittleEndian.Uint64(e.Data) != g.self {
		return
	}
	number := binary.LittleEndian.Uint64(e.Data[8:])
	if p, ok := g.proposals[number]; ok {
		delete(g.proposals, number)
		p.done(result, nil)
	}
}

// logSkipped logs an entry that was not applied; err is nil for the others.
func (g *group) logSkipped(e *raftpb.Entry, err error) {
	if err != nil {
		g.events.Log(eventEntrySkipped, telemetry.F("group", g.id), telemetry.F("index", e.Index), telemetry.F("bytes", len(e.Data)), telemetry.F("error", err))
	}
}

// entryError returns the *controlstate.EntryError in the result of a state machine, or nil.
func entryError(result any) error {
	var err error
	switch r := result.(type) {
	case controlstate.ConfigurationResult:
		err = r.Err
	case controlstate.BatchResult:
		err = r.Err
	}
	var unreadable *controlstate.EntryError
	if errors.As(err, &unreadable) {
		return unreadable
	}
	return nil
}

func (g *group) updateLeadership(l *loop) {
	leading := g.node.Status().Role == raft.Leader
	if leading == g.isLeader {
		return
	}
	g.isLeader = leading
	g.counters.countLeadership(leading)
	if leading {
		l.log.Log(eventLeadershipGained, telemetry.F("group", g.id), telemetry.F("term", g.node.Status().Term))
		return
	}
	l.log.Log(eventLeadershipLost, telemetry.F("group", g.id), telemetry.F("waiting", len(g.proposals)))
	for number, p := range g.proposals {
		delete(g.proposals, number)
		p.done(nil, &OutcomeUnknownError{Group: g.id})
	}
}

// leaderAddress returns the address of the leader, or an empty string if this replica does not know it or g is nil.
func (g *group) leaderAddress() string {
	if g == nil {
		return ""
	}
	st := g.node.Status()
	if st.Membership == nil {
		return ""
	}
	for _, m := range st.Membership.Members {
		if m.Id == st.Leader {
			return m.Address
		}
	}
	return ""
}

// isNotLeaderError reports whether err is a *raft.NotLeaderError.
func isNotLeaderError(err error) bool {
	var target *raft.NotLeaderError
	return errors.As(err, &target)
}

// voterCount returns the number of voters in the committed membership that this replica knows.
func (g *group) voterCount() int { return countVoters(g.node.Status().CommittedMembership) }
