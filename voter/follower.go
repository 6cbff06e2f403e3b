package voter

import (
	"cherviltide.example/cherviltide"
)

// incomingSnapshot is a snapshot that arrives in chunks.
type incomingSnapshot struct {
	from     ID
	snapshot Snapshot
	size     int
}

// handleLeaderMessage handles a message from the leader of the current term.
func (v *Voter) handleLeaderMessage(m Message) {
	if v.role != follower || v.leader != m.From {
		v.becomeFollower(v.hardState.Term, m.From)
	}
	v.leaderContact, v.formerLeader, v.elections = v.now, m.From, 0
	v.groupExists = v.groupExists || m.From != v.hardState.Promise.Founder
	v.resetElectionTimer()
	if m.Type == MessageSnapshotChunk {
		v.handleSnapshotChunk(m)
		return
	}
	v.handleAppend(m)
}

func (v *Voter) handleAppend(m Message) {
	v.progress.learn(m.Commit, v.appliedIndex, v.now)
	if !v.log.matches(m.Index, m.LogTerm) {
		v.sendWhenDurable(Message{Type: MessageAppendReply, To: m.From, Round: m.Round, Reject: true,
			Index: min(v.log.lastIndex(), m.Index-1)})
		return
	}
	for i, e := range m.Entries {
		if v.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= v.commitIndex {
			v.fail(fault("voter.handleAppend", cherviltide.KindDamaged, errCommittedConflict))
			return
		}
		v.appendEntries(m.Entries[i:]...)
		break
	}
	last := m.Index + uint64(len(m.Entries))
	v.commitIndex = max(v.commitIndex, min(m.Commit, last))
	v.sendWhenStored(Message{Type: MessageAppendReply, To: m.From, Round: m.Round, Index: last}, last)
}

func (v *Voter) handleSnapshotChunk(m Message) {
	c := m.Chunk
	if c == nil {
		return
	}
	if c.Index <= v.commitIndex {
		v.sendWhenDurable(Message{Type: MessageAppendReply, To: m.From, Round: m.Round, Index: c.Index})
		return
	}
	transfer := v.incoming
	if transfer == nil || transfer.from != m.From || transfer.snapshot.Index != c.Index {
		transfer = &incomingSnapshot{from: m.From, size: c.Size, snapshot: Snapshot{Index: c.Index, Term: c.Term, Voters: c.Voters}}
		v.incoming = transfer
	}
	if c.Offset == len(transfer.snapshot.Data) {
		transfer.snapshot.Data = append(transfer.snapshot.Data, c.Data...)
	}
	if len(transfer.snapshot.Data) < transfer.size {
		v.sendWhenDurable(Message{Type: MessageSnapshotChunkReply, To: m.From, Round: m.Round,
			Index: uint64(len(transfer.snapshot.Data)), LogTerm: c.Index})
		return
	}
	v.incoming = nil
	v.installSnapshot(transfer.snapshot)
	v.sendWhenDurable(Message{Type: MessageAppendReply, To: m.From, Round: m.Round, Index: c.Index})
}

// installSnapshot replaces the log by a snapshot of the leader. The state machine gets it once it is durable.
func (v *Voter) installSnapshot(s Snapshot) {
	var rest []Entry
	if v.log.matches(s.Index, s.Term) {
		rest = v.log.entriesFrom(s.Index+1, int(^uint(0)>>1))
	}
	v.learnVoters(v.log.currentVoters())
	v.log = newMemoryLog(s, rest)
	v.snapshot = s
	v.commitIndex = s.Index
	v.disk.snapshotDirty, v.disk.installing = true, true
	v.disk.firstDirtyIndex, v.disk.durableIndex, v.disk.writeLastIndex = 0, 0, 0
	v.disk.nextCompaction, v.unsnapshottedBytes = 0, 0
}

// minCompactionBytes is the smallest size of the log after the snapshot that makes a compaction worthwhile.
const minCompactionBytes = 1 << 20

// NeedsCompaction reports whether more than maxEntries were applied since the last snapshot, or entries of more bytes than
// the snapshot has. So the log takes at most about twice the size of the state, whatever the size of an entry.
func (v *Voter) NeedsCompaction(maxEntries uint64) bool {
	return v.Unsnapshotted() >= maxEntries || v.unsnapshottedBytes >= max(minCompactionBytes, len(v.snapshot.Data))
}

// Compact replaces the applied part of the log by a snapshot of the state machine taken at AppliedIndex.
func (v *Voter) Compact(data []byte) {
	if v.failure != nil || v.disk.installing || v.appliedIndex <= v.snapshot.Index {
		return
	}
	term, _ := v.log.term(v.appliedIndex)
	v.snapshot = Snapshot{Index: v.appliedIndex, Term: term, Voters: v.log.votersAt(v.appliedIndex).ids, Data: data}
	v.disk.snapshotDirty, v.disk.nextCompaction, v.unsnapshottedBytes = true, 0, 0
	v.log.dropThrough(v.log.retainedFrom(v.appliedIndex) - 1)
}
