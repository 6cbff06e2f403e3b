package voter

import "cherviltide.example/cherviltide"

// diskState tracks what is durable and holds back messages that acknowledge more than that.
type diskState struct {
	// hardStateDirty, firstDirtyIndex and snapshotDirty are what the next write must include; firstDirtyIndex is 0 if no
	// entry is new.
	hardStateDirty  bool
	firstDirtyIndex uint64
	snapshotDirty   bool
	// installing is true from the arrival of a leader's snapshot until it is durable.
	installing bool
	// issuedWrite and completedWrite are the sequence numbers of the newest write and the newest completed one.
	issuedWrite, completedWrite uint64
	// issuedAt is when the newest write was issued, and usualTime how long a write has taken lately.
	issuedAt, usualTime cherviltide.Millis
	// durableTerm is the term on the disk, and writeTerm the one that the running write stores.
	durableTerm, writeTerm uint64
	// nextCompaction is when a compaction that failed is tried again; 0 if none failed.
	nextCompaction cherviltide.Millis
	// writeLastIndex is the last index that the running write makes durable.
	writeLastIndex uint64
	// durableIndex is the last index up to which memory and disk have the same entries.
	durableIndex uint64
	heldMessages []heldMessage
}

type heldMessage struct {
	// afterWrite is the sequence number of the write that must be durable before the message is sent.
	afterWrite uint64
	message    Message
}

const (
	// diskStallTimeout is how long a write may take before the voter treats its disk as stalled. A slow sync takes a fraction
	// of it.
	diskStallTimeout cherviltide.Millis = 500
	// stallFactor times the usual time of a write replaces diskStallTimeout on a disk that is always slow, up to
	// maxStallTimeout. A compaction takes several syncs. Without it, a disk that needs 300 ms for a sync cost the group its leader
	// at each compaction.
	stallFactor                        = 4
	maxStallTimeout cherviltide.Millis = 4_000
)

// isStalled reports whether a write takes much longer than usual. The voter then does not lead or start an election, and the
// entries that it applies fall behind.
func (d *diskState) isStalled(now cherviltide.Millis) bool {
	timeout := min(max(diskStallTimeout, stallFactor*d.usualTime), maxStallTimeout)
	return d.issuedWrite > d.completedWrite && now-d.issuedAt > timeout
}

// recordTime updates the usual time of a write. It rises to a longer time at once, unless that is so long that it was a stall, and
// falls gradually.
func (d *diskState) recordTime(taken cherviltide.Millis) {
	if taken <= maxStallTimeout/stallFactor && taken > d.usualTime {
		d.usualTime = taken
		return
	}
	d.usualTime = (7*d.usualTime + min(taken, maxStallTimeout/stallFactor)) / 8
}

// sendWhenStored queues a message that acknowledges the entries up to index in the current term. It waits for the disk only if
// it has not stored these: replies to heartbeats that waited for later entries would cost the leader its majority.
func (v *Voter) sendWhenStored(m Message, index uint64) {
	if index <= v.disk.durableIndex && v.disk.durableTerm == v.hardState.Term {
		v.send(m)
		return
	}
	v.sendWhenDurable(m)
}

func (d *diskState) needsWrite() bool {
	return d.hardStateDirty || d.firstDirtyIndex > 0 || d.snapshotDirty
}

// send queues a message that does not depend on the state of the disk.
func (v *Voter) send(m Message) {
	m.From = v.config.Self
	if m.Type.hasTerm() && m.Term == 0 {
		m.Term = v.hardState.Term
	}
	v.output.Messages = append(v.output.Messages, m)
}

// sendWhenDurable queues a message that may be sent only after the current state is durable, because it acknowledges
// that state.
func (v *Voter) sendWhenDurable(m Message) {
	write := v.disk.issuedWrite
	if v.disk.needsWrite() {
		write++
	}
	if write <= v.disk.completedWrite || v.config.disabled.syncBeforeSend {
		v.send(m)
		return
	}
	m.From, m.Term = v.config.Self, v.hardState.Term
	v.disk.heldMessages = append(v.disk.heldMessages, heldMessage{afterWrite: write, message: m})
}

// appendEntries adds entries to the log and to the next write.
func (v *Voter) appendEntries(entries ...Entry) {
	if len(entries) == 0 {
		return
	}
	first := entries[0].Index
	if first <= v.log.lastIndex() {
		v.log.truncateFrom(first)
		v.disk.durableIndex = min(v.disk.durableIndex, first-1)
		v.disk.writeLastIndex = min(v.disk.writeLastIndex, first-1)
	}
	for _, e := range entries {
		if e.Type == EntryVoters {
			v.learnVoters(v.log.currentVoters())
		}
		v.log.append(e)
	}
	if v.disk.firstDirtyIndex == 0 || first < v.disk.firstDirtyIndex {
		v.disk.firstDirtyIndex = first
	}
	if v.config.disabled.syncBeforeSend {
		v.disk.durableIndex = v.log.lastIndex()
	}
}

// startWrite issues the next write if none is running.
func (v *Voter) startWrite() {
	d := &v.disk
	if d.issuedWrite > d.completedWrite || !d.needsWrite() {
		return
	}
	d.issuedWrite++
	d.issuedAt = v.now
	d.writeTerm = v.hardState.Term
	w := &Write{Sequence: d.issuedWrite, Hard: v.hardState}
	d.writeLastIndex = d.durableIndex
	switch {
	case d.snapshotDirty:
		s := v.snapshot
		w.Snapshot = &s
		w.Entries = v.log.entries[s.Index-v.log.baseIndex:]
		w.IsCompaction, w.NewFrom = !d.installing, d.firstDirtyIndex
		d.writeLastIndex = v.log.lastIndex()
	case d.firstDirtyIndex > 0:
		w.Entries = v.log.entries[d.firstDirtyIndex-v.log.baseIndex-1:]
		d.writeLastIndex = v.log.lastIndex()
	}
	w.Entries = w.Entries[:len(w.Entries):len(w.Entries)]
	d.hardStateDirty, d.firstDirtyIndex, d.snapshotDirty = false, 0, false
	v.output.Write = w
}

// WriteCompleted reports the end of a write. After an error the voter stops for good.
func (v *Voter) WriteCompleted(sequence uint64, err error) {
	if v.failure != nil || sequence != v.disk.issuedWrite {
		return
	}
	if err != nil {
		v.fail(fault("voter.WriteCompleted", cherviltide.KindInternal, err))
		return
	}
	v.completeWrite(sequence)
}

// CompactionPostponed reports the end of a write whose entries are durable although its compaction failed. The voter
// compacts its log again after compactionRetryDelay.
func (v *Voter) CompactionPostponed(sequence uint64) {
	if v.failure != nil || sequence != v.disk.issuedWrite {
		return
	}
	v.disk.nextCompaction = v.now + compactionRetryDelay
	v.completeWrite(sequence)
}

// compactionRetryDelay is the time from a failed compaction to the next one.
const compactionRetryDelay cherviltide.Millis = 2_000

// retryCompaction starts a compaction again that was postponed.
func (v *Voter) retryCompaction() {
	if d := &v.disk; d.nextCompaction > 0 && v.now >= d.nextCompaction {
		d.nextCompaction, d.snapshotDirty = 0, true
	}
}

func (v *Voter) completeWrite(sequence uint64) {
	d := &v.disk
	d.completedWrite = sequence
	d.durableTerm = d.writeTerm
	d.recordTime(v.now - d.issuedAt)
	d.durableIndex = max(d.durableIndex, d.writeLastIndex)
	if d.installing && !d.snapshotDirty {
		d.installing = false
		s := v.snapshot
		v.output.Restore = &s
		v.output.Committed = nil
		v.appliedIndex = s.Index
	}
	kept := d.heldMessages[:0]
	for _, h := range d.heldMessages {
		if h.afterWrite <= sequence {
			v.output.Messages = append(v.output.Messages, h.message)
		} else {
			kept = append(kept, h)
		}
	}
	d.heldMessages = kept
	if v.role == leader {
		v.advanceCommit()
	}
}
