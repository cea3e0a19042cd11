package raft

import "heatherwall.example/api/raftpb"

func (n *Node) resetElectionTimer() {
	n.electionElapsed = 0
	shortest := n.config.ElectionTicks
	if !n.hasSeenLeader {
		shortest = firstElectionTicks
	}
	n.electionTimeout = shortest + n.config.Rand(n.config.ElectionTicks)
}

// hasActiveLeader reports whether a message from the leader has arrived within the minimum election timeout.
// While it does, vote requests of higher terms are ignored, except those of a leadership transfer.
func (n *Node) hasActiveLeader() bool {
	return n.leader != 0 && n.electionElapsed < n.config.ElectionTicks
}

func (n *Node) becomeFollower(term, leader uint64) {
	if term > n.term {
		n.term = term
		n.vote = 0
	}
	n.role = Follower
	n.leader = leader
	n.votes = nil
	n.progress = nil
	n.mustBroadcast = false
	n.transferTo = 0
	n.reads = readQueue{}
	n.resetElectionTimer()
}

// campaign starts an election. With preVote it only asks the voters whether they would grant a vote and does not change
// the term. transfer marks an election that the leader requested to transfer its leadership.
func (n *Node) campaign(preVote, transfer bool) {
	if !isVoter(n.membership(), n.config.ID) {
		return
	}
	n.role = PreCandidate
	if !preVote {
		n.term++
		n.vote = n.config.ID
		n.role = Candidate
	}
	n.transferCampaign = transfer
	n.leader = 0
	n.votes = map[uint64]bool{n.config.ID: true}
	n.resetElectionTimer()
	if n.countVotes() {
		return
	}
	n.sendVoteRequests()
}

// sendVoteRequests sends the vote request of the current campaign to the voters that have not responded. It runs again at
// each tick, because the first request is lost while a connection is not open yet. Repeated requests are harmless: each
// voter's response is counted once.
func (n *Node) sendVoteRequests() {
	request := raftpb.MessageType_MESSAGE_PRE_VOTE
	if n.role == Candidate {
		request = raftpb.MessageType_MESSAGE_VOTE
	}
	for _, id := range voters(n.membership()) {
		if _, responded := n.votes[id]; responded {
			continue
		}
		n.send(&raftpb.Message{
			Type: request, Term: n.campaignTerm(), To: id, Transfer: n.transferCampaign,
			LogIndex: n.log.lastIndex(), LogTerm: n.log.lastTerm(),
		})
	}
}

func (n *Node) campaignTerm() uint64 {
	if n.role == PreCandidate {
		return n.term + 1
	}
	return n.term
}

// countVotes ends the campaign once a quorum of the voters has granted its vote or a majority has refused it: if granted, a
// pre-candidate becomes a candidate and a candidate becomes the leader; if refused, both become followers. It reports
// whether the campaign has ended.
func (n *Node) countVotes() bool {
	refused, all := 0, voters(n.membership())
	for _, id := range all {
		if vote, ok := n.votes[id]; ok && !vote {
			refused++
		}
	}
	granted := n.isQuorum(func(id uint64) bool { return n.votes[id] })
	switch {
	case granted && n.role == PreCandidate:
		n.campaign(false, false)
	case granted:
		n.becomeLeader()
	case refused > len(all)/2:
		n.becomeFollower(n.term, 0)
	default:
		return false
	}
	return true
}

func (n *Node) handleVoteResponse(m *raftpb.Message) {
	preVote := m.Type == raftpb.MessageType_MESSAGE_PRE_VOTE_ANSWER
	if preVote != (n.role == PreCandidate) || (!preVote && n.role != Candidate) {
		return
	}
	if !m.Reject && m.Term != n.campaignTerm() {
		return
	}
	if _, ok := n.votes[m.From]; !ok {
		n.votes[m.From] = !m.Reject
	}
	n.countVotes()
}

func (n *Node) handleVoteRequest(m *raftpb.Message) {
	preVote := m.Type == raftpb.MessageType_MESSAGE_PRE_VOTE
	response := &raftpb.Message{Type: raftpb.MessageType_MESSAGE_VOTE_ANSWER, To: m.From}
	if preVote {
		response.Type = raftpb.MessageType_MESSAGE_PRE_VOTE_ANSWER
	}
	if !n.canGrantVote(m, preVote) {
		response.Reject = true
		n.send(response)
		return
	}
	response.Term = m.Term
	if !preVote {
		n.vote = m.From
		n.resetElectionTimer()
	}
	n.send(response)
}

// canGrantVote reports whether to grant a vote request whose term is not below the node's term.
//
// A replica outside the membership never votes. Candidates send requests only to replicas that are voters in the
// candidate's log, so a learner that receives a request has been promoted by an entry that it lacks; it votes only for a
// log that is newer than its own. Without that vote, the loss of the leader right after a promotion would leave the group
// without a majority.
func (n *Node) canGrantVote(m *raftpb.Message, preVote bool) bool {
	member := findMember(n.membership(), n.config.ID)
	if member == nil || !n.log.isUpToDate(m.LogIndex, m.LogTerm) {
		return false
	}
	if member.Learner && m.LogIndex == n.log.lastIndex() && m.LogTerm == n.log.lastTerm() {
		return false
	}
	if preVote {
		return m.Term > n.term
	}
	return n.vote == m.From || (n.vote == 0 && n.leader == 0)
}

// hasQuorum reports whether the leader has received messages from a quorum of the voters, itself included, within the
// minimum election timeout.
func (n *Node) hasQuorum() bool {
	return n.isQuorum(func(id uint64) bool {
		return id == n.config.ID || n.ticks-n.progress[id].lastMessageTick <= uint64(n.config.ElectionTicks)
	})
}

func (n *Node) handleTimeoutNow() {
	n.campaign(false, true)
}

// TransferLeadership transfers the leadership to a voter, which starts an election at once when it has the whole log.
// Propose fails until the transfer ends. The transfer is aborted after the minimum election timeout.
func (n *Node) TransferLeadership(to uint64) error {
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader}
	}
	if to == n.config.ID {
		return nil
	}
	if !isVoter(n.membership(), to) {
		return &InvalidMembershipChangeError{ID: to, Reason: ReasonNotVoter}
	}
	n.transferTo = to
	n.transferElapsed = 0
	n.sendTimeoutNowIfCaughtUp(to)
	n.sendAppend(to)
	return nil
}

func (n *Node) sendTimeoutNowIfCaughtUp(id uint64) {
	if id == n.transferTo && n.progress[id].match == n.log.lastIndex() {
		n.send(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_TIMEOUT_NOW, To: id})
	}
}
