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
	ActionForward               // Another agent gets the datagram.
	ActionReturn                // The sender gets the datagram back.
	ActionAbsorb                // The datagram is a notice and ends here.
	ActionRefuse                // The agent holds as many flows as the service allows.
	ActionReset                 // The agent of the connection has died; the transport answers with a stateless reset.
)

// Decision is an action with its parameters.
type Decision struct {
	Action Action
	// To is set for ActionForward.
	To netip.AddrPort
	// Flags and Position go into the header of a passed or returned datagram.
	Flags    framer.Flags
	Position uint8
	// Opened is set for ActionOpen: the generation that the flow counts as opened at. It is lower than the generation
	// at which the agent left the bucket, so that the agent's release waits for the flow.
	Opened uint64
	// Notify asks that the sender be told that the agent holds the flow.
	Notify bool
	// Remote is kept for the flow unless its kind is RemoteNone. ForgetRemote removes the flow's note.
	Remote       RemoteFlow
	ForgetRemote bool
}

// DecisionInput is what an agent knows when a datagram arrives.
type DecisionInput struct {
	Self   cherviltide.Member
	Table  *picker.Table
	Header framer.Header
	// Sender is the address that the datagram came from.
	Sender netip.AddrPort
	// Remote is the live note of the flow, of kind RemoteNone when there is none.
	Remote RemoteFlow
	// Held is true when the agent holds the flow.
	Held bool
	// CanOpen is true when the datagram can open a flow.
	CanOpen bool
	// Full is true when the agent accepts no further flow.
	Full bool
	// Busy is true when a new flow would wait too long here.
	Busy bool
	// Declared is the highest generation before which the agent has said that it holds no flow. A flow that counts as
	// opened earlier would be forgotten by the tables.
	Declared uint64
	// Unresponsive reports whether a candidate has left probes without an answer. A nil function means that none has.
	Unresponsive func(netip.AddrPort) bool
}

// Decide returns what to do with a datagram. Only the owner of the flow's bucket, or an agent that stands in for an owner
// with an older table, walks the candidate chain. A candidate that does not hold the flow returns the datagram, so agents
// with different tables cannot send it in circles.
func Decide(s DecisionInput) Decision {
	if s.Header.Flags == framer.FlagHolderNotice {
		return told(s)
	}
	if s.Held {
		return Decision{Action: ActionDeliver, Notify: s.Header.Flags == framer.FlagProbe && s.Header.Position > 0}
	}
	if s.Header.Flags == framer.FlagProbe {
		return probed(s)
	}
	if s.Header.Flags == framer.FlagReturned && s.Header.Position == 0 && s.Remote.Kind == NoteHeld {
		return refuted(s)
	}
	return search(s)
}

// refuted handles a datagram that came back from the agent that was said to hold its flow.
func refuted(s DecisionInput) Decision {
	s.Remote = s.Remote.withoutHolder()
	step := search(s)
	if step.Remote == (RemoteFlow{}) && !step.ForgetRemote {
		step.Remote = s.Remote
	}
	step.ForgetRemote = true
	return step
}

// search handles a datagram of a flow that this agent does not hold.
func search(s DecisionInput) Decision {
	chain := s.Table.AppendCandidates(nil, s.Header.Flow)
	if deflects(s, chain) {
		return Decision{Action: ActionForward, To: s.Remote.To}
	}
	switch s.Header.Flags {
	case framer.FlagOffered:
		if owner(s, chain) && s.Remote.Kind == NoteProber && s.Remote.Generation == s.Table.Generation() {
			// Another agent began to search under the same table before this one had it, and may open the flow. The
			// walk asks that agent, whose note then keeps it from doing so.
			return walk(s, chain, 1)
		}
		return offered(s)
	case framer.FlagDeclined:
		return declined(s, chain)
	case framer.FlagStaleTable:
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
func told(s DecisionInput) Decision {
	if s.Held {
		return Decision{Action: ActionAbsorb}
	}
	return Decision{Action: ActionAbsorb, Remote: s.Remote.withHolder(s.Sender)}
}

// probed returns a datagram to the agent that searches for the holder. Under an equal or newer table that agent may open
// the flow, so later datagrams that arrive here go to it instead of starting a second search.
func probed(s DecisionInput) Decision {
	if s.Remote.Kind == NoteOffered && s.Remote.To != s.Sender && s.CanOpen {
		// The agent that was offered the flow may be opening it, so the prober must not. The datagram follows the offer.
		step := offer(s.Remote.To)
		step.Notify = true
		return step
	}
	step := Decision{Action: ActionReturn, Flags: framer.FlagReturned, Position: s.Header.Position}
	if s.Header.Generation >= s.Table.Generation() && !outranked(s) {
		step.Remote = RemoteFlow{
			Kind: NoteProber, To: s.Sender, Generation: s.Header.Generation,
			Declined: s.Remote.Declined && s.Remote.To == s.Sender,
		}
	}
	return step
}

// outranked reports whether the note of another prober stays in spite of a probe: the one with the newer table, then the
// owner, then the lower address may open the flow.
func outranked(s DecisionInput) bool {
	if s.Remote.Kind != NoteProber || s.Remote.Generation < s.Header.Generation {
		return false
	}
	if s.Remote.Generation > s.Header.Generation {
		return true
	}
	if s.Remote.Generation == s.Table.Generation() {
		if chain := s.Table.AppendCandidates(nil, s.Header.Flow); len(chain) > 0 {
			switch chain[0].Address {
			case s.Remote.To:
				return true
			case s.Sender:
				return false
			}
		}
	}
	return s.Remote.To.Compare(s.Sender) < 0
}

// deflects reports whether another agent has searched for the flow's holder under a table that is not older than this
// agent's, so that this agent must not open the flow. Between equal tables the owner takes the flow, then the lower
// address. The note is void once this agent's table is newer, since the two could then send the flow to each other.
func deflects(s DecisionInput, chain []cherviltide.Member) bool {
	if s.Remote.Kind != NoteProber || s.Remote.Generation < s.Table.Generation() {
		return false
	}
	plain := s.Header.Flags == 0 || s.Header.Flags == framer.FlagOffered
	if s.Remote.To == s.Sender && plain {
		return false
	}
	if s.Remote.Generation > s.Table.Generation() {
		return true
	}
	if owner(s, chain) {
		return false
	}
	if s.Header.Flags == framer.FlagOffered {
		// This agent searches for nothing itself, so the one that searches decides about the offered flow.
		return true
	}
	return len(chain) > 0 && s.Remote.To == chain[0].Address || s.Remote.To.Compare(s.Self.Address) < 0
}

// offered accepts or declines a flow that the owner offers. A decline holds for the rest of the first flight, since the
// owner opens the flow after it.
func offered(s DecisionInput) Decision {
	again := s.Remote.Declined && s.Remote.To == s.Sender
	opened := min(s.Header.Generation, s.Table.Generation())
	if again || s.Full || s.Busy || opened < s.Declared {
		note := RemoteFlow{Kind: NoteDeclined, To: s.Sender}
		if s.Remote.Kind == NoteProber && s.Remote.To == s.Sender {
			note = s.Remote
		}
		note.Declined = true
		return Decision{Action: ActionReturn, Flags: framer.FlagDeclined, Remote: note}
	}
	return Decision{Action: ActionOpen, Opened: opened}
}

// declined opens a flow that the second did not accept, provided that this agent is still the owner.
func declined(s DecisionInput, chain []cherviltide.Member) Decision {
	if !owner(s, chain) {
		step := fresh(s, chain)
		step.ForgetRemote = true
		return step
	}
	return open(s, chain, false)
}

// behind searches for the holder in place of an owner whose table does not name it yet. The owner is asked as well: it may
// be opening the flow under its older table, and its note keeps it from doing so after this search.
func behind(s DecisionInput, chain []cherviltide.Member) Decision {
	if s.Header.Generation != s.Table.Generation() {
		return fresh(s, chain)
	}
	return walk(s, chain, 0)
}

// returned goes on with the search after a candidate's answer. After a change of the table the search starts again.
func returned(s DecisionInput, chain []cherviltide.Member) Decision {
	if s.Header.Generation == s.Table.Generation() {
		return walk(s, chain, int(s.Header.Position)+1)
	}
	return fresh(s, chain)
}

// direct uses a note to send a datagram to the agent that holds the flow or was offered it.
func direct(s DecisionInput) (Decision, bool) {
	if s.Remote.To == s.Sender {
		return Decision{}, false
	}
	probe := Decision{Action: ActionForward, To: s.Remote.To, Flags: framer.FlagProbe}
	switch s.Remote.Kind {
	case NoteHeld:
		return probe, true
	case NoteOffered:
		if s.CanOpen {
			return offer(s.Remote.To), true
		}
		return probe, true
	}
	return Decision{}, false
}

// fresh handles a datagram about which nothing is known.
func fresh(s DecisionInput, chain []cherviltide.Member) Decision {
	if owner(s, chain) {
		return walk(s, chain, 1)
	}
	if s.Header.Flags == 0 && s.Header.Hops > 0 && s.Header.Generation > s.Table.Generation() {
		return Decision{Action: ActionReturn, Flags: framer.FlagStaleTable}
	}
	if len(chain) == 0 {
		return Decision{Action: ActionDrop}
	}
	return Decision{Action: ActionForward, To: chain[0].Address}
}

// walk asks the next candidate, or opens the flow when there is none left.
func walk(s DecisionInput, chain []cherviltide.Member, next int) Decision {
	for next < len(chain) && passesOver(s, chain[next]) {
		next++
	}
	if next >= len(chain) {
		return open(s, chain, true)
	}
	if next > math.MaxUint8 {
		return Decision{Action: ActionDrop}
	}
	return Decision{Action: ActionForward, To: chain[next].Address, Flags: framer.FlagProbe, Position: uint8(next)}
}

// passesOver reports whether the search skips a candidate: this agent itself, and for the first datagrams of a flow a
// candidate that answers no probes. Later datagrams are still sent there, since only the holder can use them.
func passesOver(s DecisionInput, candidate cherviltide.Member) bool {
	return same(candidate, s.Self) || (s.CanOpen && s.Unresponsive != nil && s.Unresponsive(candidate.Address))
}

// open opens a flow here, or offers it to the second when this agent is busy or full.
func open(s DecisionInput, chain []cherviltide.Member, mayOffer bool) Decision {
	if !s.CanOpen {
		return Decision{Action: ActionDrop}
	}
	if s.Remote.Kind == NoteHeld {
		// The candidate opened the flow after it had returned this datagram.
		return Decision{Action: ActionForward, To: s.Remote.To, Flags: framer.FlagProbe}
	}
	if !owner(s, chain) {
		return standIn(s)
	}
	if mayOffer && s.Remote.Kind == NoteOffered {
		return offer(s.Remote.To)
	}
	second, ok := s.Table.Secondary(s.Header.Flow)
	if mayOffer && ok && (s.Busy || s.Full) && !passesOver(s, second) {
		return offer(second.Address)
	}
	if s.Full {
		return Decision{Action: ActionRefuse, ForgetRemote: true}
	}
	return Decision{Action: ActionOpen, Opened: s.Table.Generation(), ForgetRemote: true}
}

// standIn opens a flow at an agent that no longer owns its bucket. Without a place in the chain nobody would find the
// flow again, so the datagram is dropped and the caller's next one finds the owner's table up to date.
func standIn(s DecisionInput) Decision {
	if s.Remote.Kind == NoteOffered {
		// The former second may still accept the offer that this agent made while it was the owner.
		return Decision{Action: ActionDrop}
	}
	opened, ok := s.Table.OpeningGeneration(s.Header.Flow, s.Self)
	if !ok || opened < s.Declared {
		return Decision{Action: ActionDrop}
	}
	if s.Full {
		return Decision{Action: ActionRefuse}
	}
	return Decision{Action: ActionOpen, Opened: opened}
}

// offer passes a datagram to the second and remembers that the flow may be there.
func offer(to netip.AddrPort) Decision {
	return Decision{Action: ActionForward, To: to, Flags: framer.FlagOffered, Remote: RemoteFlow{Kind: NoteOffered, To: to}}
}

func owner(s DecisionInput, chain []cherviltide.Member) bool {
	return len(chain) > 0 && same(chain[0], s.Self)
}

// same compares members by address instead of incarnation: a process that control had expelled is in the table under a
// newer incarnation than the one it started with.
func same(a, b cherviltide.Member) bool {
	return a.Name == b.Name && a.Address == b.Address
}
