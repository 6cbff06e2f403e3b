package voter

import (
	"cherviltide.example/cherviltide"
)

// incoming is a snapshot that arrives in chunks.
type incoming struct {
	from     ID
	snapshot Snapshot
	size     int
}

// onLeader takes a message of the leader of the present term.
func (v *Voter) onLeader(m Message) {
	if v.role != follower || v.leader != m.From {
		v.follow(v.hard.Term, m.From)
	}
	v.heard = v.now
	v.resetElection()
	if m.Type == MessageChunk {
		v.onChunk(m)
		return
	}
	v.onAppend(m)
}

func (v *Voter) onAppend(m Message) {
	if !v.log.matches(m.Index, m.LogTerm) {
		v.promise(Message{Type: MessageAppendReply, To: m.From, Round: m.Round, Reject: true,
			Index: min(v.log.last(), m.Index-1)})
		return
	}
	for i, e := range m.Entries {
		if v.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= v.commit {
			v.fail(fault("voter.onAppend", cherviltide.KindDamaged, errConflict))
			return
		}
		v.append(m.Entries[i:]...)
		break
	}
	last := m.Index + uint64(len(m.Entries))
	v.commit = max(v.commit, min(m.Commit, last))
	v.promise(Message{Type: MessageAppendReply, To: m.From, Round: m.Round, Index: last})
}

func (v *Voter) onChunk(m Message) {
	c := m.Chunk
	if c == nil {
		return
	}
	if c.Index <= v.commit {
		v.promise(Message{Type: MessageAppendReply, To: m.From, Round: m.Round, Index: c.Index})
		return
	}
	in := v.incoming
	if in == nil || in.from != m.From || in.snapshot.Index != c.Index {
		in = &incoming{from: m.From, size: c.Size, snapshot: Snapshot{Index: c.Index, Term: c.Term, Voters: c.Voters}}
		v.incoming = in
	}
	if c.Offset == len(in.snapshot.Data) {
		in.snapshot.Data = append(in.snapshot.Data, c.Data...)
	}
	if len(in.snapshot.Data) < in.size {
		v.promise(Message{Type: MessageChunkReply, To: m.From, Round: m.Round, Index: uint64(len(in.snapshot.Data)),
			LogTerm: c.Index})
		return
	}
	v.incoming = nil
	v.install(in.snapshot)
	v.promise(Message{Type: MessageAppendReply, To: m.From, Round: m.Round, Index: c.Index})
}

// install replaces the log by a snapshot of the leader. The state machine gets it once it is durable.
func (v *Voter) install(s Snapshot) {
	var rest []Entry
	if v.log.matches(s.Index, s.Term) {
		rest = v.log.from(s.Index+1, int(^uint(0)>>1))
	}
	v.log = newMemory(s, rest)
	v.snapshot = s
	v.commit = s.Index
	v.disk.snapshot, v.disk.installing = true, true
	v.disk.from, v.disk.durable, v.disk.last = 0, 0, 0
}

// Compact replaces the applied part of the log by a snapshot of the state machine, whose newest entry is AppliedIndex.
func (v *Voter) Compact(data []byte) {
	if v.failed != nil || v.disk.installing || v.applied <= v.snapshot.Index {
		return
	}
	term, _ := v.log.term(v.applied)
	v.snapshot = Snapshot{Index: v.applied, Term: term, Voters: v.log.votersAt(v.applied).ids, Data: data}
	v.disk.snapshot, v.disk.from = true, 0
	if v.applied > tail {
		v.log.drop(v.applied - tail)
	}
}
