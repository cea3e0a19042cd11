package raft

import "heatherwall.example/api/raftpb"

// ReadState is the result of a ReadIndex request: once the caller has applied the log up to Index, its state includes every
// write that was acknowledged before the request.
type ReadState struct {
	ID    uint64
	Index uint64
}

// readRequest is a read-index request that waits on the leader. from is the replica that sent it.
type readRequest struct {
	id, from uint64
	index    uint64
	// index is the commit index when the request arrived; round is the first read round that starts after that.
	round uint64
}

// readQueue holds the leader's read requests in order of arrival. A read round confirms by a quorum of heartbeat responses
// that the node is still the leader. Rounds are numbered; a heartbeat carries the number of the latest round, and the
// response to it confirms that round and all earlier ones.
type readQueue struct {
	// held requests wait until the leader has committed an entry of its term.
	held []readRequest
	// pending requests wait until a quorum has confirmed their round.
	pending []readRequest
	// round is the latest round that has been started; confirmed is the latest one that a quorum has confirmed.
	round, confirmed uint64
}

// needsRound reports whether a request waits for a round that has not been started.
func (q *readQueue) needsRound() bool {
	return len(q.pending) > 0 && q.pending[len(q.pending)-1].round > q.round
}

// takeConfirmed records that a quorum has confirmed the round, and removes and returns the requests that waited for it or
// for earlier rounds.
func (q *readQueue) takeConfirmed(confirmed uint64) []readRequest {
	q.confirmed = confirmed
	i := 0
	for i < len(q.pending) && q.pending[i].round <= confirmed {
		i++
	}
	done := q.pending[:i]
	q.pending = q.pending[i:]
	return done
}

// ReadIndex requests a read index. The result appears in Ready.ReadStates, or never if a message or the leadership is lost.
// id must be unique, also across restarts of the replica. The error is *NotLeaderError if no leader is known.
func (n *Node) ReadIndex(id uint64) error {
	if n.log.err != nil {
		return n.log.err
	}
	if n.role == Leader {
		n.addRead(readRequest{id: id, from: n.config.ID})
		return nil
	}
	if n.leader == 0 {
		return &NotLeaderError{}
	}
	n.send(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_READ_INDEX, To: n.leader, ReadId: id})
	return nil
}

func (n *Node) handleReadIndex(m *raftpb.Message) {
	if n.role != Leader {
		return
	}
	if p := n.progress[m.From]; p != nil {
		p.lastReadTick = n.ticks
	}
	n.addRead(readRequest{id: m.ReadId, from: m.From})
}

func (n *Node) addRead(r readRequest) {
	if !n.hasCommittedInTerm() {
		n.reads.held = append(n.reads.held, r)
		return
	}
	r.index = n.log.committed
	r.round = n.reads.round + 1
	n.reads.pending = append(n.reads.pending, r)
	n.startReadRound()
}

// releaseHeldReads queues the held requests for a read round once the leader has committed an entry of its term.
func (n *Node) releaseHeldReads() {
	if len(n.reads.held) == 0 || !n.hasCommittedInTerm() {
		return
	}
	held := n.reads.held
	n.reads.held = nil
	for _, r := range held {
		n.addRead(r)
	}
}

// startReadRound starts a round for waiting requests. If a round is in progress, they share the next one instead; with
// Config.BatchReads, rounds start only in Tick unless the node is the only member.
func (n *Node) startReadRound() {
	if n.config.BatchReads && len(n.otherMembers()) > 0 {
		return
	}
	if n.reads.needsRound() && n.reads.confirmed == n.reads.round {
		n.broadcastHeartbeat()
	}
}

// broadcastHeartbeat sends a heartbeat to every member. If read requests wait for a round, the heartbeat starts it.
func (n *Node) broadcastHeartbeat() {
	n.heartbeatElapsed = 0
	n.promotionIndex = n.log.committed
	if n.reads.needsRound() {
		n.reads.round++
	}
	if own := n.progress[n.config.ID]; own != nil {
		own.confirmedRound = n.reads.round
	}
	for _, id := range n.otherMembers() {
		n.send(&raftpb.Message{
			Type: raftpb.MessageType_MESSAGE_HEARTBEAT, To: id, ReadId: n.reads.round,
			Commit: min(n.progress[id].match, n.log.committed),
		})
	}
	n.confirmReads()
}

func (n *Node) handleHeartbeatResponse(m *raftpb.Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.lastMessageTick = n.ticks
	p.paused = false
	if len(p.inflight) >= maxInflight {
		p.inflight = p.inflight[1:]
	}
	if p.match < n.log.lastIndex() {
		n.sendAppend(m.From)
	}
	p.confirmedRound = max(p.confirmedRound, m.ReadId)
	n.confirmReads()
}

// confirmReads completes the read requests whose round a quorum has confirmed.
func (n *Node) confirmReads() {
	confirmed := n.quorumValue(func(p *progress) uint64 { return p.confirmedRound })
	if confirmed <= n.reads.confirmed {
		return
	}
	for _, r := range n.reads.takeConfirmed(confirmed) {
		if r.from == n.config.ID {
			n.readStates = append(n.readStates, ReadState{ID: r.id, Index: r.index})
			continue
		}
		n.send(&raftpb.Message{
			Type: raftpb.MessageType_MESSAGE_READ_INDEX_ANSWER, To: r.from, ReadId: r.id, LogIndex: r.index,
		})
	}
	n.startReadRound()
}
