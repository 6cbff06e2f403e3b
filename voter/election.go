package voter

import (
	"maps"

	"cherviltide.example/cherviltide"
)

// resetElectionTimer chooses a random time for the next election. If there was no contact with a leader for a long time,
// as after a power failure, the timeout is short; pre-votes prevent this from disrupting a working group. It grows with each
// election that nobody has won, since the disks may take longer to store a vote.
func (v *Voter) resetElectionTimer() {
	timeout := ElectionTimeout
	if v.now-v.leaderContact >= 2*ElectionTimeout {
		timeout = leaderlessTimeout << min(v.elections, maxElectionShift)
	}
	v.electionDeadline = v.now + timeout + cherviltide.Millis(v.random.Int64N(int64(timeout)))
}

func (v *Voter) mayCampaign() bool {
	return v.isVoter(v.config.Self) && !v.removed && !v.disk.installing && !v.disk.isStalled(v.now)
}

// becomeFollower steps down from any other role. A newer term invalidates the messages that were held back in the older
// one.
func (v *Voter) becomeFollower(term uint64, leader ID) {
	if term > v.hardState.Term {
		v.hardState.Term, v.hardState.Vote = term, ID{}
		v.disk.hardStateDirty = true
		v.disk.heldMessages = nil
		v.incoming = nil
	}
	if v.role != follower {
		v.resetElectionTimer()
	}
	v.role, v.leader = follower, leader
	v.peers, v.votes = nil, nil
	for _, r := range v.pendingReads {
		v.output.Reads = append(v.output.Reads, ReadResult{Token: r.token})
	}
	v.pendingReads = nil
}

// startPreVote asks whether an election could succeed. It does not change the term, so a voter that was partitioned
// does not disrupt the others.
func (v *Voter) startPreVote() {
	v.resetElectionTimer()
	if v.config.disabled.preVote {
		v.startElection()
		return
	}
	v.becomeFollower(v.hardState.Term, ID{})
	v.role = preCandidate
	v.requestVotes(MessagePreVote, v.hardState.Term+1)
}

func (v *Voter) startElection() {
	v.becomeFollower(v.hardState.Term+1, ID{})
	v.lostBeforeTerm = maps.Clone(v.lost)
	v.elections++
	v.hardState.Vote = v.config.Self
	v.role = candidate
	v.requestVotes(MessageVote, v.hardState.Term)
}

// requestVotes votes for this voter and asks the others. A vote request is sent only after this voter's own vote is
// durable.
func (v *Voter) requestVotes(kind MessageType, term uint64) {
	v.votes = map[ID]bool{v.config.Self: true}
	for _, id := range v.decidingVoters() {
		if id == v.config.Self {
			continue
		}
		m := Message{Type: kind, To: id, Term: term, Index: v.log.lastIndex(), LogTerm: v.log.lastTerm()}
		if kind == MessagePreVote {
			v.send(m)
		} else {
			v.sendWhenDurable(m)
		}
	}
	v.countVotes()
}

func (v *Voter) countVotes() {
	if !v.hasQuorum(func(id ID) bool { return v.votes[id] }) {
		return
	}
	if v.role == preCandidate {
		v.startElection()
		return
	}
	v.becomeLeader()
}

// Receive handles a message from another voter.
func (v *Voter) Receive(m Message) {
	if v.failure != nil || m.To.Name != v.config.Self.Name {
		return
	}
	v.learnSender(m.From)
	if m.Type == MessageJoin {
		v.handleJoin(m)
		return
	}
	if m.To != v.config.Self {
		v.replyGone(m)
		return
	}
	if v.removed {
		return
	}
	if !m.Type.hasTerm() {
		v.handleTermless(m)
		return
	}
	switch {
	case m.Term < v.hardState.Term:
		v.rejectStaleTerm(m)
		return
	case m.Type == MessagePreVote:
		v.handlePreVote(m)
		return
	case m.Type == MessageVote && m.Term > v.hardState.Term && v.hasRecentLeader():
		return
	case m.Term > v.hardState.Term && (m.Type != MessagePreVoteReply || m.Reject):
		v.becomeFollower(m.Term, ID{})
	}
	v.handleCurrentTerm(m)
}

// handleTermless handles a message that belongs to no term of its sender.
func (v *Voter) handleTermless(m Message) {
	switch m.Type {
	case MessageEmptyLog:
		v.handleEmptyLog(m)
	case MessageVoters:
		v.groupExists = true
		v.addSeedIDs(m.Voters)
	case MessageLeave:
		v.handleLeave(m)
	case MessageMayStop:
		v.mayStop = v.leaving
	case MessageGone:
		v.handleGone(m)
	case MessageFound:
		v.handleFound(m)
	case MessageFoundReply:
		v.handleFoundReply(m)
	case MessageFoundingEnded:
		v.handleFoundingEnded(m)
	}
}

func (v *Voter) handleCurrentTerm(m Message) {
	switch m.Type {
	case MessagePreVoteReply:
		v.handleVoteReply(m, preCandidate, v.hardState.Term+1)
	case MessageVote:
		v.handleVote(m)
	case MessageVoteReply:
		v.handleVoteReply(m, candidate, v.hardState.Term)
	case MessageAppend, MessageSnapshotChunk:
		v.handleLeaderMessage(m)
	case MessageAppendReply, MessageSnapshotChunkReply:
		v.handleReply(m)
	}
}

// rejectStaleTerm tells the sender of a message with an older term about the newer one.
func (v *Voter) rejectStaleTerm(m Message) {
	switch m.Type {
	case MessagePreVote:
		v.sendWhenDurable(Message{Type: MessagePreVoteReply, To: m.From, Reject: true})
	case MessageVote:
		v.sendWhenDurable(Message{Type: MessageVoteReply, To: m.From, Reject: true})
	case MessageAppend, MessageSnapshotChunk:
		v.sendWhenDurable(Message{Type: MessageAppendReply, To: m.From, Reject: true})
	}
}

// hasRecentLeader reports whether the voter leads or had contact with a leader within the shortest election timeout. It
// then rejects pre-votes and ignores vote requests of newer terms.
func (v *Voter) hasRecentLeader() bool {
	if v.config.disabled.preVote {
		return false
	}
	return v.role == leader || v.now-v.leaderContact < ElectionTimeout
}

// isLogUpToDate reports whether the candidate's log is at least as up to date as the log of this voter.
func (v *Voter) isLogUpToDate(m Message) bool {
	term := v.log.lastTerm()
	return m.LogTerm > term || (m.LogTerm == term && m.Index >= v.log.lastIndex())
}

func (v *Voter) handlePreVote(m Message) {
	if m.Term > v.hardState.Term && v.isLogUpToDate(m) && !v.hasRecentLeader() {
		v.send(Message{Type: MessagePreVoteReply, To: m.From, Term: m.Term})
		return
	}
	v.sendWhenDurable(Message{Type: MessagePreVoteReply, To: m.From, Reject: true})
	if v.role == leader && !v.isVoter(m.From) && v.peers[m.From] == nil {
		// The sender was removed and does not know it yet; as a peer it receives the log with its removal.
		v.peers[m.From] = &peer{nextIndex: v.log.lastIndex() + 1, lastContact: v.now}
	}
}

func (v *Voter) handleVote(m Message) {
	mayVote := v.hardState.Vote == ID{} || v.hardState.Vote == m.From
	if !mayVote || !v.isLogUpToDate(m) {
		v.sendWhenDurable(Message{Type: MessageVoteReply, To: m.From, Reject: true})
		return
	}
	if v.hardState.Vote != m.From {
		v.hardState.Vote = m.From
		v.disk.hardStateDirty = true
	}
	v.resetElectionTimer()
	v.sendWhenDurable(Message{Type: MessageVoteReply, To: m.From})
}

func (v *Voter) handleVoteReply(m Message, expected role, term uint64) {
	if v.role != expected || m.Term != term || m.Reject {
		return
	}
	v.votes[m.From] = true
	v.countVotes()
}
