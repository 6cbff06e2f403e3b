package voter

import (
	"slices"

	"cherviltide.example/cherviltide"
)

// peer is what the leader knows about another voter or about a voter that seeks admission.
type peer struct {
	// match is the newest entry that is known to be durable there; next is the first one to send.
	match, next uint64
	// heard is when the leader last heard from it.
	heard cherviltide.Millis
	// round is the newest round that it has seen.
	round uint64
	// waiting is true while entries up to sent, or a chunk, are not answered.
	waiting bool
	sent    uint64
	sentAt  cherviltide.Millis
	// sending is the snapshot that is being sent, or nil; offset is the first byte that was not confirmed.
	sending *Snapshot
	offset  int
	// joining is true for a peer that asked for admission.
	joining bool
}

// read is a ConfirmLeadership that waits for a majority.
type read struct {
	token uint64
	// index must be applied, and a majority must have seen round.
	index, round uint64
}

func (v *Voter) lead() {
	v.role, v.leader = leader, v.config.Self
	v.votes = nil
	v.peers = map[ID]*peer{}
	v.start, v.mark, v.beat = v.log.last()+1, v.log.last()+1, v.now
	v.append(Entry{Index: v.start, Term: v.hard.Term})
	v.meetVoters()
	v.broadcast()
}

// meetVoters keeps a peer for each voter.
func (v *Voter) meetVoters() {
	for _, id := range v.log.voters().ids {
		if _, known := v.peers[id]; !known && id != v.config.Self {
			v.peers[id] = &peer{next: v.log.last(), heard: v.now}
		}
	}
}

// Propose appends an entry at the leader and returns its index and term. The entry is accepted when TakeOutput returns an
// entry with both; another term at its index means that it was lost.
func (v *Voter) Propose(data []byte) (uint64, uint64, error) {
	switch {
	case v.failed != nil:
		return 0, 0, fault("voter.Propose", cherviltide.KindUnavailable, ErrFailed)
	case v.role != leader:
		return 0, 0, fault("voter.Propose", cherviltide.KindUnavailable, cherviltide.ErrNotLeader)
	case len(data) > MaxEntry:
		return 0, 0, fault("voter.Propose", cherviltide.KindInvalid, ErrTooLarge)
	}
	return v.propose(EntryNormal, data), v.hard.Term, nil
}

func (v *Voter) propose(kind EntryType, data []byte) uint64 {
	index := v.log.last() + 1
	v.append(Entry{Index: index, Term: v.hard.Term, Type: kind, Data: data})
	v.meetVoters()
	for _, id := range v.peerIDs() {
		v.feed(id, v.peers[id])
	}
	v.advanceCommit()
	return index
}

// peerIDs returns the peers in a fixed order, so that equal inputs give equal outputs.
func (v *Voter) peerIDs() []ID {
	ids := make([]ID, 0, len(v.peers))
	for id := range v.peers {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compare)
	return ids
}

// ConfirmLeadership asks a majority whether this voter still leads. TakeOutput returns the answer as a Read with the token.
func (v *Voter) ConfirmLeadership(token uint64) {
	if v.role != leader {
		v.out.Reads = append(v.out.Reads, Read{Token: token})
		return
	}
	v.reads = append(v.reads, read{token: token, index: max(v.commit, v.start), round: v.round + 1})
	v.broadcast()
}

// finishReads answers the reads that a majority has confirmed and whose entries are applied.
func (v *Voter) finishReads() {
	kept := v.reads[:0]
	for _, r := range v.reads {
		seen := v.config.off.readRound || v.quorum(func(id ID) bool {
			p := v.peers[id]
			return id == v.config.Self || (p != nil && p.round >= r.round)
		})
		if seen && v.applied >= r.index {
			v.out.Reads = append(v.out.Reads, Read{Token: r.token, Confirmed: true})
		} else {
			kept = append(kept, r)
		}
	}
	v.reads = kept
}

func (v *Voter) tickLeader() {
	reached := v.quorum(func(id ID) bool {
		p := v.peers[id]
		return id == v.config.Self || (p != nil && v.now-p.heard < ElectionTimeout)
	})
	if (!reached && !v.config.off.checkQuorum) || v.disk.stalled(v.now) {
		v.follow(v.hard.Term, ID{})
		return
	}
	v.admit()
	if v.now >= v.beat {
		v.broadcast()
	}
}

// broadcast starts a round: every peer gets a message that it must answer.
func (v *Voter) broadcast() {
	v.round++
	if v.now >= v.beat {
		v.beat = v.now + Heartbeat
		v.mark = v.commit
	}
	for _, id := range v.peerIDs() {
		p := v.peers[id]
		if p.waiting && v.now-p.sentAt >= ElectionTimeout {
			p.waiting = false
		}
		if !p.waiting && (p.next <= v.log.last() || p.sending != nil) {
			v.feed(id, p)
			continue
		}
		v.beatTo(id, p)
	}
}

// beatTo sends an Append without entries whose preceding entry the peer is known to have.
func (v *Voter) beatTo(id ID, p *peer) {
	m := Message{Type: MessageAppend, To: id, Commit: min(v.commit, p.match), Round: v.round}
	if term, ok := v.log.term(p.match); ok {
		m.Index, m.LogTerm = p.match, term
	}
	v.send(m)
}

// feed sends the next entries, or the next chunk when the entries are not in memory any more.
func (v *Voter) feed(id ID, p *peer) {
	if p.waiting || (p.next > v.log.last() && p.sending == nil) {
		return
	}
	p.waiting, p.sentAt = true, v.now
	term, ok := v.log.term(p.next - 1)
	if p.sending != nil || p.next == 0 || !ok {
		v.sendChunk(id, p)
		return
	}
	entries := v.log.from(p.next, v.config.batch())
	p.sent = p.next + uint64(len(entries)) - 1
	v.send(Message{
		Type: MessageAppend, To: id, Index: p.next - 1, LogTerm: term, Commit: v.commit, Round: v.round,
		Entries: entries,
	})
}

func (v *Voter) sendChunk(id ID, p *peer) {
	if p.sending == nil {
		s := v.snapshot
		p.sending, p.offset = &s, 0
	}
	s := p.sending
	end := min(p.offset+v.config.batch(), len(s.Data))
	v.send(Message{Type: MessageChunk, To: id, Round: v.round, Chunk: &Chunk{
		Index: s.Index, Term: s.Term, Voters: s.Voters,
		Offset: p.offset, Size: len(s.Data), Data: s.Data[p.offset:end:end],
	}})
}

// onReply takes the answer to an Append or a Chunk.
func (v *Voter) onReply(m Message) {
	p := v.peers[m.From]
	if v.role != leader || p == nil || m.Term != v.hard.Term {
		return
	}
	p.heard = v.now
	p.round = max(p.round, m.Round)
	switch {
	case m.Type == MessageChunkReply:
		if p.sending == nil || m.LogTerm != p.sending.Index {
			return
		}
		p.waiting, p.offset = false, min(int(m.Index), len(p.sending.Data))
	case m.Reject:
		next := max(min(p.next-1, m.Index+1), p.match+1)
		if next == p.next {
			return // A repeated refusal; the next heartbeat sends again.
		}
		p.waiting, p.sending, p.next = false, nil, next
	case m.Index >= p.match:
		v.matched(p, m.Index)
	}
	v.feed(m.From, p)
}

func (v *Voter) matched(p *peer, index uint64) {
	if p.sending == nil && index >= p.sent {
		p.waiting = false
	}
	if p.sending != nil && index >= p.sending.Index {
		p.sending, p.waiting = nil, false
	}
	p.match = index
	p.next = max(p.next, index+1)
	v.advanceCommit()
}

// advanceCommit commits what a majority has durably. Only an entry of the leader's own term is counted; it takes those
// before it along, because an entry of an older term may still be replaced while a majority holds it.
func (v *Voter) advanceCommit() {
	if v.role != leader {
		return
	}
	for index := v.log.last(); index > v.commit; index-- {
		term, _ := v.log.term(index)
		if term != v.hard.Term && !v.config.off.ownTerm {
			return
		}
		if v.quorum(func(id ID) bool { return v.matchOf(id) >= index }) {
			v.commit = index
			return
		}
	}
}

func (v *Voter) matchOf(id ID) uint64 {
	if id == v.config.Self {
		return v.disk.durable
	}
	if p := v.peers[id]; p != nil {
		return p.match
	}
	return 0
}
