package voter

import "cherviltide.example/cherviltide"

// disk tracks what is durable and holds back the messages that promise more.
type disk struct {
	// hard, from and snapshot tell what the next write must hold; from is 0 when no entry is new.
	hard     bool
	from     uint64
	snapshot bool
	// installing is true from the arrival of a leader's snapshot until it is durable.
	installing bool
	// issued and stored are the sequences of the newest write and of the newest completed one.
	issued, stored uint64
	// issuedAt is when the newest write was issued.
	issuedAt cherviltide.Millis
	// last is the newest index that the running write makes durable.
	last uint64
	// durable is the newest index up to which memory and disk agree.
	durable uint64
	held    []heldMessage
}

type heldMessage struct {
	// after is the write that must be durable first.
	after   uint64
	message Message
}

// diskLimit is how long a write may take before the voter gives up what depends on its disk. It is several times a slow sync.
const diskLimit cherviltide.Millis = 500

// stalled reports whether the disk leaves a write unanswered. The voter then learns nothing new: it does not lead, and
// what it has applied falls behind.
func (d *disk) stalled(now cherviltide.Millis) bool {
	return d.issued > d.stored && now-d.issuedAt > diskLimit
}

func (d *disk) dirty() bool {
	return d.hard || d.from > 0 || d.snapshot
}

// send queues a message that promises nothing about the disk.
func (v *Voter) send(m Message) {
	m.From = v.config.Self
	if m.Type != MessageJoin && m.Type != MessageEmptyLog && m.Type != MessageKnown && m.Term == 0 {
		m.Term = v.hard.Term
	}
	v.out.Messages = append(v.out.Messages, m)
}

// promise queues a message that may leave only after the present state is durable.
func (v *Voter) promise(m Message) {
	after := v.disk.issued
	if v.disk.dirty() {
		after++
	}
	if after <= v.disk.stored || v.config.off.sync {
		v.send(m)
		return
	}
	m.From, m.Term = v.config.Self, v.hard.Term
	v.disk.held = append(v.disk.held, heldMessage{after: after, message: m})
}

// append adds entries to the log and to the next write.
func (v *Voter) append(entries ...Entry) {
	if len(entries) == 0 {
		return
	}
	first := entries[0].Index
	if first <= v.log.last() {
		v.log.truncate(first)
		v.disk.durable = min(v.disk.durable, first-1)
		v.disk.last = min(v.disk.last, first-1)
	}
	for _, e := range entries {
		v.log.append(e)
	}
	if v.disk.from == 0 || first < v.disk.from {
		v.disk.from = first
	}
	if v.config.off.sync {
		v.disk.durable = v.log.last()
	}
}

// startWrite issues the next write when none is running.
func (v *Voter) startWrite() {
	d := &v.disk
	if d.issued > d.stored || !d.dirty() {
		return
	}
	d.issued++
	d.issuedAt = v.now
	w := &Write{Sequence: d.issued, Hard: v.hard}
	d.last = d.durable
	switch {
	case d.snapshot:
		s := v.snapshot
		w.Snapshot = &s
		w.Entries = v.log.entries[s.Index-v.log.base:]
		d.last = v.log.last()
	case d.from > 0:
		w.Entries = v.log.entries[d.from-v.log.base-1:]
		d.last = v.log.last()
	}
	w.Entries = w.Entries[:len(w.Entries):len(w.Entries)]
	d.hard, d.from, d.snapshot = false, 0, false
	v.out.Write = w
}

// WriteCompleted reports the end of a write. After an error the voter stops for good.
func (v *Voter) WriteCompleted(sequence uint64, err error) {
	if v.failed != nil || sequence != v.disk.issued {
		return
	}
	if err != nil {
		v.fail(fault("voter.WriteCompleted", cherviltide.KindInternal, err))
		return
	}
	d := &v.disk
	d.stored = sequence
	d.durable = max(d.durable, d.last)
	if d.installing && !d.snapshot {
		d.installing = false
		s := v.snapshot
		v.out.Restore = &s
		v.out.Committed = nil
		v.applied = s.Index
	}
	kept := d.held[:0]
	for _, h := range d.held {
		if h.after <= sequence {
			v.out.Messages = append(v.out.Messages, h.message)
		} else {
			kept = append(kept, h)
		}
	}
	d.held = kept
	if v.role == leader {
		v.advanceCommit()
	}
}
