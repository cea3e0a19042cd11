package raft

// replicationState tells how the leader sends entries to a replica.
type replicationState int

const (
	// stateProbe: the common part of the logs is unknown; one append at a time.
	stateProbe replicationState = iota
	// stateReplicate: appends are sent without waiting for answers.
	stateReplicate
	// stateSnapshot: a snapshot is on its way; nothing else is sent.
	stateSnapshot
)

// maxInflight is the number of unanswered appends per replica.
const maxInflight = 64

// snapshotRetryTimeouts is the number of election timeouts after which an unanswered snapshot is sent again.
const snapshotRetryTimeouts = 4

// progress is what the leader knows of a replica.
//
// Invariant: the replica has synced the leader's log up to match, and match < next.
type progress struct {
	match, next uint64
	state       replicationState
	// paused is set in stateProbe until an answer or a heartbeat answer arrives.
	paused bool
	// inflight holds the last index of each unanswered append.
	inflight []uint64
	// snapshotIndex and snapshotSentTick (a tick) describe the snapshot on its way.
	snapshotIndex    uint64
	snapshotSentTick uint64
	// lastMessageTick is the tick of the last message.
	lastMessageTick uint64
	// confirmedRound is the latest read round that the replica has answered.
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

// recordSent notes an append that ends at last, with count entries.
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

// acknowledge notes that the replica has synced up to index. It returns whether that is news.
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

// decreaseNext moves next back after the replica refused an append that follows index. It returns false for an old answer.
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
