package raft

// replicationState determines how the leader sends entries to a replica.
type replicationState int

const (
	// stateProbe: the index at which the logs match is unknown; one append is in flight at a time.
	stateProbe replicationState = iota
	// stateReplicate: appends are pipelined, that is, sent without waiting for responses.
	stateReplicate
	// stateSnapshot: a snapshot is in flight; no appends are sent.
	stateSnapshot
)

// maxInflight limits the number of unacknowledged appends per replica.
const maxInflight = 64

// snapshotRetryTimeouts is the number of election timeouts after which the leader stops waiting for the acknowledgement of
// a snapshot and tries again.
const snapshotRetryTimeouts = 4

// progress is the leader's view of a replica's log.
//
// The leader sends entries from index next on. Invariant: the replica has synced the leader's log up to index match, and
// match < next.
type progress struct {
	match, next uint64
	state       replicationState
	// paused is set in stateProbe after an append until a response to it or to a heartbeat arrives.
	paused bool
	// inflight holds the last index of each unacknowledged append.
	inflight []uint64
	// snapshotIndex is the index of the snapshot in flight, snapshotSentTick the tick at which it was sent.
	snapshotIndex    uint64
	snapshotSentTick uint64
	// lastMessageTick is the tick at which the last message from the replica arrived.
	lastMessageTick uint64
	// lastReadTick is the tick at which the last read request from the replica arrived. It is kept apart, because a replica
	// that sends requests and receives nothing is not in contact.
	lastReadTick uint64
	// confirmedRound is the latest read round that the replica has confirmed.
	confirmedRound uint64
}

func (p *progress) becomeProbe() {
	if p.state == stateSnapshot {
		p.next = max(p.match, p.snapshotIndex) + 1
	} else {
		p.next = p.match + 1
	}
	p.state = stateProbe
	p.paused = false
	p.inflight = nil
	p.snapshotIndex = 0
}

func (p *progress) becomeReplicate() {
	p.state = stateReplicate
	p.next = p.match + 1
	p.paused = false
	p.inflight = nil
	p.snapshotIndex = 0
}

func (p *progress) becomeSnapshot(index, now uint64) {
	p.state = stateSnapshot
	p.snapshotIndex = index
	p.snapshotSentTick = now
	p.inflight = nil
}

func (p *progress) isPaused() bool {
	switch p.state {
	case stateProbe:
		return p.paused
	case stateReplicate:
		return len(p.inflight) >= maxInflight
	}
	return true
}

// recordSent records that an append with count entries has been sent, the last of them at index last.
func (p *progress) recordSent(last uint64, count int) {
	if p.state == stateProbe {
		p.paused = true
		return
	}
	if count > 0 {
		p.next = last + 1
		p.inflight = append(p.inflight, last)
	}
}

// acknowledge records that the replica has synced up to index. It reports whether match advanced.
func (p *progress) acknowledge(index uint64) bool {
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
	p.next = max(p.next, index+1)
	if index <= p.match {
		return false
	}
	p.match = index
	return true
}

// decreaseNext moves next back after the replica rejected an append that follows index. It returns false if the rejection
// is outdated.
func (p *progress) decreaseNext(index, next uint64) bool {
	if index <= p.match || p.state == stateSnapshot {
		return false
	}
	if p.state == stateReplicate {
		p.becomeProbe()
		return true
	}
	if p.next-1 != index {
		return false
	}
	p.next = max(min(next, index), p.match+1)
	p.paused = false
	return true
}
