package voter

import (
	"cherviltide.example/cherviltide"
)

// resetElection draws the time of the next election. A voter that has heard from no leader for long, as after a loss of
// power, need not wait for one to speak; pre-votes keep it from disturbing others.
func (v *Voter) resetElection() {
	span := ElectionTimeout
	if v.now-v.heard >= 2*ElectionTimeout {
		span = leaderlessTimeout
	}
	v.electionAt = v.now + span + cherviltide.Millis(v.random.Int64N(int64(span)))
}

func (v *Voter) mayCampaign() bool {
	return v.isVoter(v.config.Self) && !v.removed && !v.disk.installing && !v.disk.stalled(v.now)
}

// follow gives up every other role. A newer term voids the promises of the older one.
func (v *Voter) follow(term uint64, leader ID) {
	if term > v.hard.Term {
		v.hard.Term, v.hard.Vote = term, ID{}
		v.disk.hard = true
		v.disk.held = nil
		v.incoming = nil
	}
	if v.role != follower {
		v.resetElection()
	}
	v.role, v.leader = follower, leader
	v.peers, v.votes = nil, nil
	for _, r := range v.reads {
		v.out.Reads = append(v.out.Reads, Read{Token: r.token})
	}
	v.reads = nil
}

// preCampaign asks whether an election could succeed. It changes no term, so a voter that was cut off disturbs nobody.
func (v *Voter) preCampaign() {
	v.resetElection()
	if v.config.off.preVote {
		v.campaign()
		return
	}
	v.follow(v.hard.Term, ID{})
	v.role = preCandidate
	v.askForVotes(MessagePreVote, v.hard.Term+1)
}

func (v *Voter) campaign() {
	v.follow(v.hard.Term+1, ID{})
	v.hard.Vote = v.config.Self
	v.role = candidate
	v.askForVotes(MessageVote, v.hard.Term)
}

// askForVotes counts the own vote and asks the others. A request to vote leaves only after the own vote is durable.
func (v *Voter) askForVotes(kind MessageType, term uint64) {
	v.votes = map[ID]bool{v.config.Self: true}
	for _, id := range v.log.voters().ids {
		if id == v.config.Self {
			continue
		}
		m := Message{Type: kind, To: id, Term: term, Index: v.log.last(), LogTerm: v.log.lastTerm()}
		if kind == MessagePreVote {
			v.send(m)
		} else {
			v.promise(m)
		}
	}
	v.countVotes()
}

func (v *Voter) countVotes() {
	if !v.quorum(func(id ID) bool { return v.votes[id] }) {
		return
	}
	if v.role == preCandidate {
		v.campaign()
		return
	}
	v.lead()
}

// Receive takes a message of another voter.
func (v *Voter) Receive(m Message) {
	if v.failed != nil || m.To.Name != v.config.Self.Name {
		return
	}
	if m.Type == MessageJoin {
		v.onJoin(m)
		return
	}
	if m.To != v.config.Self || v.removed {
		return
	}
	switch {
	case m.Type == MessageEmptyLog:
		v.onBlank(m)
		return
	case m.Type == MessageKnown:
		v.learn(m.Voters)
		return
	case m.Term < v.hard.Term:
		v.refuseOld(m)
		return
	case m.Type == MessagePreVote:
		v.onPreVote(m)
		return
	case m.Type == MessageVote && m.Term > v.hard.Term && v.hasLeader():
		return
	case m.Term > v.hard.Term && (m.Type != MessagePreVoteReply || m.Reject):
		v.follow(m.Term, ID{})
	}
	v.dispatch(m)
}

func (v *Voter) dispatch(m Message) {
	switch m.Type {
	case MessagePreVoteReply:
		v.onVoteReply(m, preCandidate, v.hard.Term+1)
	case MessageVote:
		v.onVote(m)
	case MessageVoteReply:
		v.onVoteReply(m, candidate, v.hard.Term)
	case MessageAppend, MessageChunk:
		v.onLeader(m)
	case MessageAppendReply, MessageChunkReply:
		v.onReply(m)
	}
}

// refuseOld tells a voter of an older term about the newer one.
func (v *Voter) refuseOld(m Message) {
	switch m.Type {
	case MessagePreVote:
		v.promise(Message{Type: MessagePreVoteReply, To: m.From, Reject: true})
	case MessageVote:
		v.promise(Message{Type: MessageVoteReply, To: m.From, Reject: true})
	case MessageAppend, MessageChunk:
		v.promise(Message{Type: MessageAppendReply, To: m.From, Reject: true})
	}
}

// hasLeader reports whether the voter leads or heard from a leader within the shortest election timeout.
func (v *Voter) hasLeader() bool {
	if v.config.off.preVote {
		return false
	}
	return v.role == leader || v.now-v.heard < ElectionTimeout
}

func (v *Voter) current(m Message) bool {
	term := v.log.lastTerm()
	return m.LogTerm > term || (m.LogTerm == term && m.Index >= v.log.last())
}

func (v *Voter) onPreVote(m Message) {
	if m.Term > v.hard.Term && v.current(m) && !v.hasLeader() {
		v.send(Message{Type: MessagePreVoteReply, To: m.From, Term: m.Term})
		return
	}
	v.promise(Message{Type: MessagePreVoteReply, To: m.From, Reject: true})
	if v.role == leader && !v.isVoter(m.From) && v.peers[m.From] == nil {
		// The sender was removed and does not know it yet.
		v.peers[m.From] = &peer{next: v.log.last() + 1, heard: v.now}
	}
}

func (v *Voter) onVote(m Message) {
	free := v.hard.Vote == ID{} || v.hard.Vote == m.From
	if !free || !v.current(m) {
		v.promise(Message{Type: MessageVoteReply, To: m.From, Reject: true})
		return
	}
	if v.hard.Vote != m.From {
		v.hard.Vote = m.From
		v.disk.hard = true
	}
	v.resetElection()
	v.promise(Message{Type: MessageVoteReply, To: m.From})
}

func (v *Voter) onVoteReply(m Message, asked role, term uint64) {
	if v.role != asked || m.Term != term || m.Reject {
		return
	}
	v.votes[m.From] = true
	v.countVotes()
}
