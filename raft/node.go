package raft

import (
	"heatherwall.example/api/raftpb"
)

// Role is the current Raft role of a replica.
type Role int

// Roles. A learner, or a replica outside the membership, stays a follower.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Node is one replica of a group. It is not safe for concurrent use. Step and Tick may be called between Ready and
// Advance.
type Node struct {
	config Config
	log    *replicatedLog

	term   uint64
	vote   uint64
	role   Role
	leader uint64

	// hasSeenLeader is set once any leader has been known since the start.
	hasSeenLeader bool
	// ticks counts Tick calls since the start.
	ticks uint64
	// electionElapsed counts ticks since the last message from the leader, the last granted vote or the start of the last
	// campaign.
	electionElapsed  int
	electionTimeout  int
	heartbeatElapsed int

	memberships membershipHistory
	// votes holds the responses of the voters in the current campaign, true if granted. transferCampaign is set if the
	// leader requested the campaign to transfer its leadership.
	votes            map[uint64]bool
	transferCampaign bool
	// lost holds the members whose storage is known to be gone; see MarkDataLost.
	lost map[uint64]bool

	// Leader state. leaderSince is the tick of the election.
	leaderSince uint64
	progress    map[uint64]*progress
	// promotionIndex is the commit index at the last heartbeat or, before the first one, the last index at the election. A
	// learner must have synced up to it to be promoted.
	promotionIndex uint64
	reads          readQueue
	transferTo     uint64
	// mustBroadcast is set when new entries or a new commit index have to be sent.
	mustBroadcast bool
	// transferElapsed counts ticks since the leadership transfer started.
	transferElapsed int

	// Output for the next Ready.
	messages   []*raftpb.Message
	readStates []ReadState
	saved      savedState
	// reportedMembership is the membership that a Ready reported last.
	reportedMembership *raftpb.Membership
}

// firstElectionTicks is the minimum election timeout after a start until a leader is known. It may be shorter than
// Config.ElectionTicks: if there is a live leader, its followers ignore the pre-vote, and if all replicas start together,
// no request can be served before an election, whose first messages are lost while connections are being opened.
const firstElectionTicks = 2

// New starts a replica from its stored state. A replica with empty storage is one that joins a group: it waits for a
// leader to contact it.
func New(c Config) (*Node, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	state, membership, err := c.Storage.InitialState()
	if err != nil {
		return nil, err
	}
	log, err := newReplicatedLog(c.Storage, state.Commit)
	if err != nil {
		return nil, err
	}
	n := &Node{config: c, log: log, term: state.Term, vote: state.Vote}
	n.term = max(n.term, log.lastTerm())
	n.saved = savedState{term: state.Term, vote: state.Vote, commit: state.Commit}
	if err := n.loadMemberships(membership); err != nil {
		return nil, err
	}
	n.resetElectionTimer()
	return n, log.err
}

// loadMemberships builds the membership history from the snapshot's membership and the changes in the log after it.
func (n *Node) loadMemberships(base *raftpb.Membership) error {
	start := n.log.applied
	n.memberships = membershipHistory{{index: start, membership: base}}
	entries, err := n.log.entries(start+1, n.log.lastIndex()+1, ^uint64(0))
	if err != nil {
		return err
	}
	n.memberships, err = n.memberships.add(entries)
	return err
}

// Err returns the error that stopped the node, or nil. A stopped node sends no more messages.
func (n *Node) Err() error { return n.log.err }

// Tick advances the node's logical clock by one tick.
func (n *Node) Tick() {
	if n.log.err != nil {
		return
	}
	n.ticks++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	n.electionElapsed++
	if n.electionElapsed >= n.electionTimeout {
		n.leader = 0
		n.resetElectionTimer()
		n.campaign(true, false)
		return
	}
	if n.role != Follower {
		n.sendVoteRequests()
	}
}

func (n *Node) tickLeader() {
	if !n.hasQuorum() {
		n.becomeFollower(n.term, 0)
		return
	}
	if n.transferTo != 0 {
		n.transferElapsed++
		if n.transferElapsed >= n.config.ElectionTicks {
			n.transferTo = 0
		}
	}
	n.retrySnapshots()
	n.heartbeatElapsed++
	readsDue := n.reads.needsRound() && (!n.config.ReadsWithHeartbeats || n.isNewLeader())
	if n.heartbeatElapsed >= n.config.HeartbeatTicks || readsDue {
		n.broadcastHeartbeat()
	}
}

// isNewLeader reports whether the node was elected within the last 2*ElectionTicks ticks. Reads have then been waiting for
// the election and arrive in bursts as replicas find the leader, so their read rounds do not wait for the next heartbeat.
func (n *Node) isNewLeader() bool {
	return n.ticks-n.leaderSince < uint64(2*n.config.ElectionTicks)
}

// Step handles a message of another replica. Messages may be lost, duplicated or reordered. *InvalidMessageError leaves
// the node unchanged; every other error stops it.
func (n *Node) Step(m *raftpb.Message) error {
	if n.log.err != nil {
		return n.log.err
	}
	if err := n.validateMessage(m); err != nil {
		return err
	}
	if !n.processTerm(m) {
		return nil
	}
	n.dispatch(m)
	return n.log.err
}

func (n *Node) dispatch(m *raftpb.Message) {
	switch m.Type {
	case raftpb.MessageType_MESSAGE_PRE_VOTE, raftpb.MessageType_MESSAGE_VOTE:
		n.handleVoteRequest(m)
	case raftpb.MessageType_MESSAGE_PRE_VOTE_ANSWER, raftpb.MessageType_MESSAGE_VOTE_ANSWER:
		n.handleVoteResponse(m)
	case raftpb.MessageType_MESSAGE_APPEND:
		n.followLeader(m)
		n.handleAppend(m)
	case raftpb.MessageType_MESSAGE_HEARTBEAT:
		n.followLeader(m)
		n.handleHeartbeat(m)
	case raftpb.MessageType_MESSAGE_SNAPSHOT:
		n.followLeader(m)
		n.handleSnapshot(m)
	case raftpb.MessageType_MESSAGE_APPEND_ANSWER:
		n.handleAppendResponse(m)
	case raftpb.MessageType_MESSAGE_HEARTBEAT_ANSWER:
		n.handleHeartbeatResponse(m)
	case raftpb.MessageType_MESSAGE_READ_INDEX:
		n.handleReadIndex(m)
	case raftpb.MessageType_MESSAGE_READ_INDEX_ANSWER:
		n.readStates = append(n.readStates, ReadState{ID: m.ReadId, Index: m.LogIndex})
	case raftpb.MessageType_MESSAGE_TIMEOUT_NOW:
		n.handleTimeoutNow()
	case raftpb.MessageType_MESSAGE_PROPOSE:
		n.handlePropose(m)
	}
}

// processTerm compares the term of a message with the node's term and adopts a higher one. It returns false if the
// message must be ignored.
func (n *Node) processTerm(m *raftpb.Message) bool {
	switch {
	case m.Term < n.term:
		n.replyToStaleTerm(m)
		return false
	case m.Term == n.term:
		return true
	}
	switch m.Type {
	case raftpb.MessageType_MESSAGE_PRE_VOTE:
		return !n.hasActiveLeader()
	case raftpb.MessageType_MESSAGE_VOTE:
		if n.hasActiveLeader() && !m.Transfer {
			return false
		}
	case raftpb.MessageType_MESSAGE_PRE_VOTE_ANSWER:
		if !m.Reject {
			return true // a granted pre-vote carries the term that the candidate would campaign in
		}
	}
	n.becomeFollower(m.Term, 0)
	return true
}

// replyToStaleTerm sends the current term to a leader or pre-candidate of an earlier term, so that it steps down or catches
// up. Without the response it might never learn of the newer term.
func (n *Node) replyToStaleTerm(m *raftpb.Message) {
	switch m.Type {
	case raftpb.MessageType_MESSAGE_APPEND, raftpb.MessageType_MESSAGE_HEARTBEAT, raftpb.MessageType_MESSAGE_SNAPSHOT:
		n.send(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_HEARTBEAT_ANSWER, To: m.From})
	case raftpb.MessageType_MESSAGE_PRE_VOTE:
		n.send(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_PRE_VOTE_ANSWER, To: m.From, Reject: true})
	}
}

// followLeader accepts the sender of the message as the leader of the current term. The message has the node's term.
func (n *Node) followLeader(m *raftpb.Message) {
	if n.role == Leader {
		n.log.fail(&InvariantError{Index: m.LogIndex, Detail: "two leaders in one term"})
		return
	}
	if n.role != Follower {
		n.becomeFollower(m.Term, m.From)
	}
	n.leader = m.From
	if !n.hasSeenLeader {
		n.hasSeenLeader = true
		n.resetElectionTimer() // ends the short timeout that applies until a leader is known
	}
	n.electionElapsed = 0
}

// send queues a message for the next Ready. It sets the sender, the group and, unless the message has a term, the node's
// term.
func (n *Node) send(m *raftpb.Message) {
	m.From = n.config.ID
	m.Group = n.config.Group
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}

func (n *Node) membership() *raftpb.Membership { return n.memberships.latest().membership }

// otherMembers returns the IDs of all members except the node itself, in ascending order.
func (n *Node) otherMembers() []uint64 {
	var ids []uint64
	for _, member := range n.membership().GetMembers() {
		if member.Id != n.config.ID {
			ids = append(ids, member.Id)
		}
	}
	return ids
}
