package voter

import (
	"slices"

	"cherviltide.example/cherviltide"
)

// peer is the leader's view of another voter, of an instance that asks for admission, or of a former voter that receives
// the log with its removal.
type peer struct {
	// matchIndex is the last entry known to be durable on the peer; nextIndex is the next entry to send.
	matchIndex, nextIndex uint64
	// lastContact is when the leader last received a message from the peer.
	lastContact cherviltide.Millis
	// seenRound is the newest round that the peer has replied to.
	seenRound uint64
	// awaitingReply is true while entries up to sentIndex, or a snapshot chunk, are unacknowledged.
	awaitingReply bool
	sentIndex     uint64
	sentAt        cherviltide.Millis
	// sendingSnapshot is the snapshot that is being sent, or nil; snapshotOffset is the first byte that is not
	// acknowledged.
	sendingSnapshot *Snapshot
	snapshotOffset  int
	// joining is true if the peer asked for admission.
	joining bool
	// removedAt is when the removal of the peer from the voters was proposed; 0 if it was not. A Join that the peer sent
	// before its admission may arrive after that and must not admit it again.
	removedAt cherviltide.Millis
	// leaveAt is when the peer last announced that it is about to stop; 0 if it never did.
	leaveAt cherviltide.Millis
}

// isLeaving reports whether the peer is about to stop or has stopped since it announced it. A peer that still replies an
// election timeout later was started again.
func (p *peer) isLeaving() bool {
	return p.leaveAt > 0 && p.lastContact-p.leaveAt < ElectionTimeout
}

// pendingRead is a call of ConfirmLeadership that waits for a majority.
type pendingRead struct {
	token uint64
	// index must be applied, and a majority must have replied to round.
	index, round uint64
}

func (v *Voter) becomeLeader() {
	v.role, v.leader, v.elections = leader, v.config.Self, 0
	formerLeaderVoted := v.votes[v.formerLeader]
	v.votes = nil
	v.peers = map[ID]*peer{}
	v.termStart, v.admissionIndex, v.nextHeartbeat = v.log.lastIndex()+1, v.log.lastIndex()+1, v.now
	v.appendEntries(Entry{Index: v.termStart, Term: v.hardState.Term})
	v.progress.learn(v.termStart, v.appliedIndex, v.now)
	v.addVoterPeers()
	if p := v.peers[v.formerLeader]; p != nil && !formerLeaderVoted {
		p.lastContact = v.leaderContact
	}
	v.broadcast()
}

// addVoterPeers adds a peer for each voter that has none.
func (v *Voter) addVoterPeers() {
	for _, id := range v.decidingVoters() {
		if _, known := v.peers[id]; !known && id != v.config.Self {
			v.peers[id] = &peer{nextIndex: v.log.lastIndex(), lastContact: v.now}
		}
	}
}

// Propose appends an entry on the leader and returns its index and term. The entry is committed if TakeOutput returns
// an entry with the same index and term; an entry of another term at this index means that the proposal was lost.
func (v *Voter) Propose(data []byte) (uint64, uint64, error) {
	switch {
	case v.failure != nil:
		return 0, 0, fault("voter.Propose", cherviltide.KindUnavailable, ErrStopped)
	case v.role != leader:
		return 0, 0, fault("voter.Propose", cherviltide.KindUnavailable, cherviltide.ErrNotLeader)
	case len(data) > MaxEntrySize:
		return 0, 0, fault("voter.Propose", cherviltide.KindInvalid, ErrTooLarge)
	case v.commitIndex < v.log.lastIndex() && v.log.sizeAfter(v.commitIndex)+len(data) > maxUncommittedBytes:
		return 0, 0, fault("voter.Propose", cherviltide.KindUnavailable, ErrTooMuchUncommitted)
	}
	return v.propose(EntryNormal, data), v.hardState.Term, nil
}

func (v *Voter) propose(kind EntryType, data []byte) uint64 {
	index := v.log.lastIndex() + 1
	v.appendEntries(Entry{Index: index, Term: v.hardState.Term, Type: kind, Data: data})
	v.addVoterPeers()
	for _, id := range v.sortedPeerIDs() {
		v.replicateTo(id, v.peers[id])
	}
	v.advanceCommit()
	return index
}

// sortedPeerIDs returns the peers in a fixed order, so that the same inputs give the same outputs.
func (v *Voter) sortedPeerIDs() []ID {
	ids := make([]ID, 0, len(v.peers))
	for id := range v.peers {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareIDs)
	return ids
}

// ConfirmLeadership asks a majority whether this voter still leads, as a linearizable read requires. TakeOutput returns
// the result as a ReadResult with the token.
func (v *Voter) ConfirmLeadership(token uint64) {
	if v.role != leader {
		v.output.Reads = append(v.output.Reads, ReadResult{Token: token})
		return
	}
	v.pendingReads = append(v.pendingReads, pendingRead{token: token, index: max(v.commitIndex, v.termStart), round: v.round + 1})
	v.broadcast()
}

// completeReads returns the reads that a majority has confirmed and whose entries are applied.
func (v *Voter) completeReads() {
	kept := v.pendingReads[:0]
	for _, r := range v.pendingReads {
		confirmed := v.config.disabled.readConfirmation || v.hasQuorum(func(id ID) bool {
			p := v.peers[id]
			return id == v.config.Self || (p != nil && p.seenRound >= r.round)
		})
		if confirmed && v.appliedIndex >= r.index {
			v.output.Reads = append(v.output.Reads, ReadResult{Token: r.token, Confirmed: true})
		} else {
			kept = append(kept, r)
		}
	}
	v.pendingReads = kept
}

func (v *Voter) tickLeader() {
	hasMajority := v.hasQuorum(func(id ID) bool {
		p := v.peers[id]
		return id == v.config.Self || (p != nil && v.now-p.lastContact < ElectionTimeout)
	})
	if (!hasMajority && !v.config.disabled.checkQuorum) || v.disk.isStalled(v.now) {
		v.becomeFollower(v.hardState.Term, ID{})
		return
	}
	v.admitPeers()
	if v.now >= v.nextHeartbeat {
		v.broadcast()
	}
}

// broadcast starts a round: every peer is sent a message that it must reply to.
func (v *Voter) broadcast() {
	v.round++
	if v.now >= v.nextHeartbeat {
		v.nextHeartbeat = v.now + HeartbeatInterval
		v.admissionIndex = v.commitIndex
	}
	for _, id := range v.sortedPeerIDs() {
		p := v.peers[id]
		if p.awaitingReply && v.now-p.sentAt >= ElectionTimeout {
			p.awaitingReply = false
		}
		if !p.awaitingReply && (p.nextIndex <= v.log.lastIndex() || p.sendingSnapshot != nil) {
			v.replicateTo(id, p)
			continue
		}
		v.sendHeartbeat(id, p)
	}
}

// sendHeartbeat sends an Append without entries. It refers to an entry that the peer is known to have; the peer commits none behind that
// one, and learns how far it is behind.
func (v *Voter) sendHeartbeat(id ID, p *peer) {
	m := Message{Type: MessageAppend, To: id, Commit: v.commitIndex, Round: v.round}
	if term, ok := v.log.term(p.matchIndex); ok {
		m.Index, m.LogTerm = p.matchIndex, term
	}
	v.send(m)
}

// replicateTo sends the next entries, or the next chunk of the snapshot if the entries are no longer in memory.
func (v *Voter) replicateTo(id ID, p *peer) {
	if p.awaitingReply || (p.nextIndex > v.log.lastIndex() && p.sendingSnapshot == nil) {
		return
	}
	p.awaitingReply, p.sentAt = true, v.now
	term, ok := v.log.term(p.nextIndex - 1)
	if p.sendingSnapshot != nil || p.nextIndex == 0 || !ok {
		v.sendSnapshotChunk(id, p)
		return
	}
	entries := v.log.entriesFrom(p.nextIndex, v.config.batchLimit())
	p.sentIndex = p.nextIndex + uint64(len(entries)) - 1
	v.send(Message{
		Type: MessageAppend, To: id, Index: p.nextIndex - 1, LogTerm: term, Commit: v.commitIndex, Round: v.round,
		Entries: entries,
	})
}

func (v *Voter) sendSnapshotChunk(id ID, p *peer) {
	if p.sendingSnapshot == nil {
		s := v.snapshot
		p.sendingSnapshot, p.snapshotOffset = &s, 0
	}
	s := p.sendingSnapshot
	end := min(p.snapshotOffset+v.config.batchLimit(), len(s.Data))
	v.send(Message{Type: MessageSnapshotChunk, To: id, Round: v.round, Chunk: &SnapshotChunk{
		Index: s.Index, Term: s.Term, Voters: s.Voters,
		Offset: p.snapshotOffset, Size: len(s.Data), Data: s.Data[p.snapshotOffset:end:end],
	}})
}

// handleReply handles the reply to an Append or a SnapshotChunk.
func (v *Voter) handleReply(m Message) {
	p := v.peers[m.From]
	if v.role != leader || p == nil || m.Term != v.hardState.Term {
		return
	}
	p.lastContact = v.now
	p.seenRound = max(p.seenRound, m.Round)
	switch {
	case m.Type == MessageSnapshotChunkReply:
		if p.sendingSnapshot == nil || m.LogTerm != p.sendingSnapshot.Index {
			return
		}
		p.awaitingReply, p.snapshotOffset = false, min(int(m.Index), len(p.sendingSnapshot.Data))
	case m.Reject:
		next := max(min(p.nextIndex-1, m.Index+1), p.matchIndex+1)
		if next == p.nextIndex {
			return // A duplicate rejection; the next heartbeat tries again.
		}
		p.awaitingReply, p.sendingSnapshot, p.nextIndex = false, nil, next
	case m.Index >= p.matchIndex:
		v.recordMatch(p, m.Index)
	}
	v.replicateTo(m.From, p)
}

// recordMatch records that the peer has durable entries up to index.
func (v *Voter) recordMatch(p *peer, index uint64) {
	if p.sendingSnapshot == nil && index >= p.sentIndex {
		p.awaitingReply = false
	}
	if p.sendingSnapshot != nil && index >= p.sendingSnapshot.Index {
		p.sendingSnapshot, p.awaitingReply = nil, false
	}
	p.matchIndex = index
	p.nextIndex = max(p.nextIndex, index+1)
	v.advanceCommit()
}

// advanceCommit commits the entries that are durable on a majority. Only an entry of the leader's own term is counted,
// and it commits all entries before it: an entry of an older term may still be replaced although a majority has it.
func (v *Voter) advanceCommit() {
	if v.role != leader {
		return
	}
	for index := v.log.lastIndex(); index > v.commitIndex; index-- {
		term, _ := v.log.term(index)
		if term != v.hardState.Term && !v.config.disabled.ownTermCommit {
			return
		}
		if v.hasQuorum(func(id ID) bool { return v.matchIndex(id) >= index }) {
			v.commitIndex = index
			return
		}
	}
}

// matchIndex returns the last entry known to be durable on a voter.
func (v *Voter) matchIndex(id ID) uint64 {
	if id == v.config.Self {
		return v.disk.durableIndex
	}
	if p := v.peers[id]; p != nil {
		return p.matchIndex
	}
	return 0
}
