package holder

import (
	"net/netip"

	"cherviltide.example/cherviltide"
)

// Bounds of the notes.
const (
	// noteLife is longer than a QUIC handshake with two retransmissions of its first flight.
	noteLife cherviltide.Millis = 5_000
	// noteLimit is the highest number of notes. The oldest are dropped first.
	noteLimit = 8192
)

// RemoteState tells what an agent remembers about a flow that it does not hold.
type RemoteState int

// The kinds of notes.
const (
	RemoteNone   RemoteState = iota
	NoteHeld                 // Another agent said that it holds the flow.
	NoteOffered              // The flow was offered to the second.
	NoteProber               // Another agent searches for the holder and may open the flow.
	NoteDeclined             // The offer of the flow was declined.
)

// RemoteFlow is what an agent remembers about one flow.
type RemoteFlow struct {
	Kind RemoteState
	// To is the other agent.
	To netip.AddrPort
	// Prober is set for NoteHeld when the notice replaced a note of kind NoteProber: the agent that searches. Without it
	// a notice that turns out wrong would leave this agent free to open the flow as well.
	Prober netip.AddrPort
	// Generation is set for NoteProber, and for NoteHeld with a Prober: the generation of the searching agent's table.
	Generation uint64
	// Declined is true when this agent declined an offer of the flow by To.
	Declined bool
}

// withHolder returns the note after a notice that another agent holds the flow.
func (n RemoteFlow) withHolder(holder netip.AddrPort) RemoteFlow {
	held := RemoteFlow{Kind: NoteHeld, To: holder}
	switch n.Kind {
	case NoteProber:
		held.Prober, held.Generation = n.To, n.Generation
	case NoteHeld:
		held.Prober, held.Generation = n.Prober, n.Generation
	}
	return held
}

// withoutHolder returns the note that remains when the agent of a note of kind NoteHeld does not hold the flow.
func (n RemoteFlow) withoutHolder() RemoteFlow {
	if !n.Prober.IsValid() {
		return RemoteFlow{}
	}
	return RemoteFlow{Kind: NoteProber, To: n.Prober, Generation: n.Generation}
}

// notes is a bounded set of short-lived notes. Only the receiver of datagrams uses it.
type notes struct {
	byFlow map[cherviltide.FlowKey]kept
	// queue has the flows in the order in which their notes were set. A flow whose note was set again is in it twice.
	queue []queued
}

type kept struct {
	note RemoteFlow
	end  cherviltide.Millis
}

type queued struct {
	key cherviltide.FlowKey
	end cherviltide.Millis
}

func newNotes() *notes {
	return &notes{byFlow: map[cherviltide.FlowKey]kept{}}
}

// get returns the live note of a flow.
func (n *notes) get(key cherviltide.FlowKey, now cherviltide.Millis) RemoteFlow {
	k, ok := n.byFlow[key]
	if !ok || k.end <= now {
		return RemoteFlow{}
	}
	return k.note
}

// set keeps a note and drops those that have ended or are too many.
func (n *notes) set(key cherviltide.FlowKey, note RemoteFlow, now cherviltide.Millis) {
	end := now + noteLife
	n.byFlow[key] = kept{note: note, end: end}
	n.queue = append(n.queue, queued{key: key, end: end})
	for len(n.queue) > 0 && (n.queue[0].end <= now || len(n.queue) > noteLimit) {
		first := n.queue[0]
		n.queue = n.queue[1:]
		if n.byFlow[first.key].end == first.end {
			delete(n.byFlow, first.key)
		}
	}
}

func (n *notes) forget(key cherviltide.FlowKey) {
	delete(n.byFlow, key)
}
