package holder

import (
	"math"
	"net/netip"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/framer"
	"cherviltide.example/cherviltide/picker"
)

// Action is what an agent does with a forwarded datagram.
type Action int

// The actions.
const (
	ActionDrop    Action = iota // Nobody holds the flow and the datagram cannot open one.
	ActionDeliver               // The agent holds the flow.
	ActionOpen                  // The agent opens the flow and delivers.
	ActionPass                  // Another agent gets the datagram.
	ActionReturn                // The sender gets the datagram back.
	ActionAbsorb                // The datagram is a notice and ends here.
	ActionRefuse                // The agent holds as many flows as the service allows.
	ActionReset                 // The agent of the connection has died; the transport answers with a stateless reset.
)

// Step is an action with its parameters.
type Step struct {
	Action Action
	// To is set for ActionPass.
	To netip.AddrPort
	// Flags and Position go into the header of a passed or returned datagram.
	Flags    framer.Flags
	Position uint8
	// Opened is set for ActionOpen: the generation that the flow counts as opened at. It is lower than the generation
	// at which the agent left the bucket, so that the agent's release waits for the flow.
	Opened uint64
	// Notify asks that the sender be told that the agent holds the flow.
	Notify bool
	// Note is kept for the flow unless its kind is NoteNone. Forget removes the flow's note.
	Note   Note
	Forget bool
}

// Situation is what an agent knows when a datagram arrives.
type Situation struct {
	Self   cherviltide.Member
	Table  *picker.Table
	Header framer.Header
	// Sender is the address that the datagram came from.
	Sender netip.AddrPort
	// Note is the live note of the flow, of kind NoteNone when there is none.
	Note Note
	// Held is true when the agent holds the flow.
	Held bool
	// Opening is true when the datagram can open a flow.
	Opening bool
	// Full is true when the agent accepts no further flow.
	Full bool
	// Busy is true when a new flow would wait too long here.
	Busy bool
	// Declared is the highest generation before which the agent has said that it holds no flow. A flow that counts as
	// opened earlier would be forgotten by the tables.
	Declared uint64
	// Silent reports whether a candidate has left probes without an answer. A nil function means that none has.
	Silent func(netip.AddrPort) bool
}

// Decide returns what to do with a datagram. Only the owner of the flow's bucket, or an agent that stands in for an owner
// with an older table, walks the candidate chain. A candidate that does not hold the flow returns the datagram, so agents
// with different tables cannot send it in circles.
func Decide(s Situation) Step {
	if s.Header.Flags == framer.FlagHeld {
		return told(s)
	}
	if s.Held {
		return Step{Action: ActionDeliver, Notify: s.Header.Flags == framer.FlagProbe && s.Header.Position > 0}
	}
	if s.Header.Flags == framer.FlagProbe {
		return probed(s)
	}
	if s.Header.Flags == framer.FlagReturned && s.Header.Position == 0 && s.Note.Kind == NoteHeld {
		return refuted(s)
	}
	return search(s)
}

// refuted handles a datagram that came back from the agent that was said to hold its flow.
func refuted(s Situation) Step {
	s.Note = s.Note.withoutHolder()
	step := search(s)
	if step.Note == (Note{}) && !step.Forget {
		step.Note = s.Note
	}
	step.Forget = true
	return step
}

// search handles a datagram of a flow that this agent does not hold.
func search(s Situation) Step {
	chain := s.Table.Chain(nil, s.Header.Flow)
	if deflects(s, chain) {
		return Step{Action: ActionPass, To: s.Note.To}
	}
	switch s.Header.Flags {
	case framer.FlagOffered:
		if owner(s, chain) && s.Note.Kind == NoteProber && s.Note.Generation == s.Table.Generation() {
			// Another agent began to search under the same table before this one had it, and may open the flow. The
			// walk asks that agent, whose note then keeps it from doing so.
			return walk(s, chain, 1)
		}
		return offered(s)
	case framer.FlagDeclined:
		return declined(s, chain)
	case framer.FlagBehind:
		return behind(s, chain)
	case framer.FlagReturned:
		return returned(s, chain)
	}
	if step, ok := direct(s); ok {
		return step
	}
	return fresh(s, chain)
}

// told notes the holder of a flow.
func told(s Situation) Step {
	if s.Held {
		return Step{Action: ActionAbsorb}
	}
	return Step{Action: ActionAbsorb, Note: s.Note.withHolder(s.Sender)}
}

// probed returns a datagram to the agent that searches for the holder. Under an equal or newer table that agent may open
// the flow, so later datagrams that arrive here go to it instead of starting a second search.
func probed(s Situation) Step {
	if s.Note.Kind == NoteOffered && s.Note.To != s.Sender && s.Opening {
		// The agent that was offered the flow may be opening it, so the prober must not. The datagram follows the offer.
		step := offer(s.Note.To)
		step.Notify = true
		return step
	}
	step := Step{Action: ActionReturn, Flags: framer.FlagReturned, Position: s.Header.Position}
	if s.Header.Generation >= s.Table.Generation() && !outranked(s) {
		step.Note = Note{
			Kind: NoteProber, To: s.Sender, Generation: s.Header.Generation,
			Declined: s.Note.Declined && s.Note.To == s.Sender,
		}
	}
	return step
}

// outranked reports whether the note of another prober stays in spite of a probe: the one with the newer table, then the
// owner, then the lower address may open the flow.
func outranked(s Situation) bool {
	if s.Note.Kind != NoteProber || s.Note.Generation < s.Header.Generation {
		return false
	}
	if s.Note.Generation > s.Header.Generation {
		return true
	}
	if s.Note.Generation == s.Table.Generation() {
		if chain := s.Table.Chain(nil, s.Header.Flow); len(chain) > 0 {
			switch chain[0].Address {
			case s.Note.To:
				return true
			case s.Sender:
				return false
			}
		}
	}
	return s.Note.To.Compare(s.Sender) < 0
}

// deflects reports whether another agent has searched for the flow's holder under a table that is not older than this
// agent's, so that this agent must not open the flow. Between equal tables the owner takes the flow, then the lower
// address. The note is void once this agent's table is newer, since the two could then send the flow to each other.
func deflects(s Situation, chain []cherviltide.Member) bool {
	if s.Note.Kind != NoteProber || s.Note.Generation < s.Table.Generation() {
		return false
	}
	plain := s.Header.Flags == 0 || s.Header.Flags == framer.FlagOffered
	if s.Note.To == s.Sender && plain {
		return false
	}
	if s.Note.Generation > s.Table.Generation() {
		return true
	}
	if owner(s, chain) {
		return false
	}
	if s.Header.Flags == framer.FlagOffered {
		// This agent searches for nothing itself, so the one that searches decides about the offered flow.
		return true
	}
	return len(chain) > 0 && s.Note.To == chain[0].Address || s.Note.To.Compare(s.Self.Address) < 0
}

// offered accepts or declines a flow that the owner offers. A decline holds for the rest of the first flight, since the
// owner opens the flow after it.
func offered(s Situation) Step {
	again := s.Note.Declined && s.Note.To == s.Sender
	opened := min(s.Header.Generation, s.Table.Generation())
	if again || s.Full || s.Busy || opened < s.Declared {
		note := Note{Kind: NoteDeclined, To: s.Sender}
		if s.Note.Kind == NoteProber && s.Note.To == s.Sender {
			note = s.Note
		}
		note.Declined = true
		return Step{Action: ActionReturn, Flags: framer.FlagDeclined, Note: note}
	}
	return Step{Action: ActionOpen, Opened: opened}
}

// declined opens a flow that the second did not accept, provided that this agent is still the owner.
func declined(s Situation, chain []cherviltide.Member) Step {
	if !owner(s, chain) {
		step := fresh(s, chain)
		step.Forget = true
		return step
	}
	return open(s, chain, false)
}

// behind searches for the holder in place of an owner whose table does not name it yet. The owner is asked as well: it may
// be opening the flow under its older table, and its note keeps it from doing so after this search.
func behind(s Situation, chain []cherviltide.Member) Step {
	if s.Header.Generation != s.Table.Generation() {
		return fresh(s, chain)
	}
	return walk(s, chain, 0)
}

// returned goes on with the search after a candidate's answer. After a change of the table the search starts again.
func returned(s Situation, chain []cherviltide.Member) Step {
	if s.Header.Generation == s.Table.Generation() {
		return walk(s, chain, int(s.Header.Position)+1)
	}
	return fresh(s, chain)
}

// direct uses a note to send a datagram to the agent that holds the flow or was offered it.
func direct(s Situation) (Step, bool) {
	if s.Note.To == s.Sender {
		return Step{}, false
	}
	probe := Step{Action: ActionPass, To: s.Note.To, Flags: framer.FlagProbe}
	switch s.Note.Kind {
	case NoteHeld:
		return probe, true
	case NoteOffered:
		if s.Opening {
			return offer(s.Note.To), true
		}
		return probe, true
	}
	return Step{}, false
}

// fresh handles a datagram about which nothing is known.
func fresh(s Situation, chain []cherviltide.Member) Step {
	if owner(s, chain) {
		return walk(s, chain, 1)
	}
	if s.Header.Flags == 0 && s.Header.Hops > 0 && s.Header.Generation > s.Table.Generation() {
		return Step{Action: ActionReturn, Flags: framer.FlagBehind}
	}
	if len(chain) == 0 {
		return Step{Action: ActionDrop}
	}
	return Step{Action: ActionPass, To: chain[0].Address}
}

// walk asks the next candidate, or opens the flow when there is none left.
func walk(s Situation, chain []cherviltide.Member, next int) Step {
	for next < len(chain) && passesOver(s, chain[next]) {
		next++
	}
	if next >= len(chain) {
		return open(s, chain, true)
	}
	if next > math.MaxUint8 {
		return Step{Action: ActionDrop}
	}
	return Step{Action: ActionPass, To: chain[next].Address, Flags: framer.FlagProbe, Position: uint8(next)}
}

// passesOver reports whether the search skips a candidate: this agent itself, and for the first datagrams of a flow a
// candidate that answers no probes. Later datagrams are still sent there, since only the holder can use them.
func passesOver(s Situation, candidate cherviltide.Member) bool {
	return same(candidate, s.Self) || (s.Opening && s.Silent != nil && s.Silent(candidate.Address))
}

// open opens a flow here, or offers it to the second when this agent is busy or full.
func open(s Situation, chain []cherviltide.Member, mayOffer bool) Step {
	if !s.Opening {
		return Step{Action: ActionDrop}
	}
	if s.Note.Kind == NoteHeld {
		// The candidate opened the flow after it had returned this datagram.
		return Step{Action: ActionPass, To: s.Note.To, Flags: framer.FlagProbe}
	}
	if !owner(s, chain) {
		return standIn(s)
	}
	if mayOffer && s.Note.Kind == NoteOffered {
		return offer(s.Note.To)
	}
	second, ok := s.Table.Second(s.Header.Flow)
	if mayOffer && ok && (s.Busy || s.Full) && !passesOver(s, second) {
		return offer(second.Address)
	}
	if s.Full {
		return Step{Action: ActionRefuse, Forget: true}
	}
	return Step{Action: ActionOpen, Opened: s.Table.Generation(), Forget: true}
}

// standIn opens a flow at an agent that no longer owns its bucket. Without a place in the chain nobody would find the
// flow again, so the datagram is dropped and the caller's next one finds the owner's table up to date.
func standIn(s Situation) Step {
	if s.Note.Kind == NoteOffered {
		// The former second may still accept the offer that this agent made while it was the owner.
		return Step{Action: ActionDrop}
	}
	opened, ok := s.Table.OpenedAt(s.Header.Flow, s.Self)
	if !ok || opened < s.Declared {
		return Step{Action: ActionDrop}
	}
	if s.Full {
		return Step{Action: ActionRefuse}
	}
	return Step{Action: ActionOpen, Opened: opened}
}

// offer passes a datagram to the second and remembers that the flow may be there.
func offer(to netip.AddrPort) Step {
	return Step{Action: ActionPass, To: to, Flags: framer.FlagOffered, Note: Note{Kind: NoteOffered, To: to}}
}

func owner(s Situation, chain []cherviltide.Member) bool {
	return len(chain) > 0 && same(chain[0], s.Self)
}

// same compares members by address instead of incarnation: a process that control had expelled is in the table under a
// newer incarnation than the one it started with.
func same(a, b cherviltide.Member) bool {
	return a.Name == b.Name && a.Address == b.Address
}
