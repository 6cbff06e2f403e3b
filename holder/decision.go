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
	ActionDrop    Action = iota // No agent holds the flow and the datagram cannot open one.
	ActionDeliver               // The agent holds the flow.
	ActionOpen                  // The agent opens the flow and delivers.
	ActionForward               // The datagram is forwarded to another agent.
	ActionReturn                // The datagram is sent back to the sender.
	ActionConsume               // The datagram is a holder notice without payload and is not delivered.
	ActionRefuse                // The agent refuses the connection because it accepts no more flows.
	ActionReset                 // The agent of the connection has died; the transport answers with a stateless reset.
)

// Decision is an action with its parameters.
type Decision struct {
	Action Action
	// To is set for ActionForward.
	To netip.AddrPort
	// Flags and Position go into the header of a forwarded or returned datagram. The position of a probe is the index of
	// the candidate, or 0 if the probe goes to the recorded holder.
	Flags    framer.Flags
	Position uint8
	// OpeningGeneration is set for ActionOpen: the generation recorded for the flow. At a former owner it is lower than the
	// generation at which the agent lost the bucket, so that the agent does not release the bucket while it holds the
	// flow.
	OpeningGeneration uint64
	// Notify is true when the sender must get a holder notice: this agent holds the flow, or has offered it to an agent
	// that may be opening it.
	Notify bool
	// Remote is stored for the flow unless its state is RemoteNone. ForgetRemote removes the stored record first.
	Remote       RemoteFlow
	ForgetRemote bool
}

// DecisionInput is everything that a decision about a datagram depends on.
type DecisionInput struct {
	Self   cherviltide.Member
	Table  *picker.Table
	Header framer.Header
	// Sender is the address that the datagram came from.
	Sender netip.AddrPort
	// Remote is the unexpired record of the flow, in state RemoteNone when there is none.
	Remote RemoteFlow
	// Held is true when the agent holds the flow.
	Held bool
	// CanOpen is true when the datagram can open a flow.
	CanOpen bool
	// Full is true when the agent accepts no more flows.
	Full bool
	// Busy is true when a new flow would wait too long here.
	Busy bool
	// ReleasedGeneration is the highest generation for which the agent has announced that it holds no flow opened before
	// it. Tables drop the agent's history entries up to that generation, so no search finds a flow recorded at a lower one.
	ReleasedGeneration uint64
	// Unresponsive reports whether a candidate has left probes unanswered. A nil function means that none has.
	Unresponsive func(netip.AddrPort) bool
}

// Decide returns what to do with a datagram. Only the owner of the flow's bucket, or an agent that acts for an owner with
// an older table, probes the candidates. A candidate that does not hold the flow returns the datagram, so agents with
// different tables cannot create a forwarding loop.
func Decide(in DecisionInput) Decision {
	if in.Header.Flags == framer.FlagHolderNotice {
		return handleHolderNotice(in)
	}
	if in.Held {
		return Decision{Action: ActionDeliver, Notify: in.Header.Flags == framer.FlagProbe && in.Header.Position > 0}
	}
	if in.Header.Flags == framer.FlagProbe {
		return handleProbe(in)
	}
	if in.Header.Flags == framer.FlagReturned && in.Header.Position == 0 && in.Remote.State == RemoteHeld {
		return handleHolderMiss(in)
	}
	return decideNotHeld(in)
}

// handleHolderMiss handles a datagram returned by the agent that had been recorded as the holder of its flow.
func handleHolderMiss(in DecisionInput) Decision {
	in.Remote = in.Remote.withoutHolder()
	decision := decideNotHeld(in)
	if decision.Remote == (RemoteFlow{}) && !decision.ForgetRemote {
		decision.Remote = in.Remote
	}
	decision.ForgetRemote = true
	return decision
}

// decideNotHeld decides about a datagram of a flow that this agent does not hold.
func decideNotHeld(in DecisionInput) Decision {
	candidates := in.Table.AppendCandidates(nil, in.Header.Flow)
	if defersToSearcher(in, candidates) {
		return Decision{Action: ActionForward, To: in.Remote.Agent}
	}
	switch in.Header.Flags {
	case framer.FlagOffered:
		if isOwner(in, candidates) && in.Remote.State == RemoteSearched && in.Remote.Generation == in.Table.Generation() {
			// Another agent started to search under the same table before this agent had that table, and may open the
			// flow. The search of this agent probes the other one, which then records this agent and does not open the flow.
			return searchFrom(in, candidates, 1)
		}
		return handleOffer(in)
	case framer.FlagDeclined:
		return handleDecline(in, candidates)
	case framer.FlagStaleTable:
		return handleStaleTable(in, candidates)
	case framer.FlagReturned:
		return handleReturned(in, candidates)
	}
	if decision, ok := forwardToRemote(in); ok {
		return decision
	}
	return routeByTable(in, candidates)
}

// handleHolderNotice records the agent that holds a flow.
func handleHolderNotice(in DecisionInput) Decision {
	if in.Held {
		return Decision{Action: ActionConsume}
	}
	return Decision{Action: ActionConsume, Remote: in.Remote.withHolder(in.Sender)}
}

// handleProbe returns a datagram to the agent that searches for the holder. If that agent's table is equal or newer, it
// may open the flow, so later datagrams that arrive here are forwarded to it instead of starting a second search.
func handleProbe(in DecisionInput) Decision {
	if in.Remote.State == RemoteOffered && in.Remote.Agent != in.Sender && in.CanOpen {
		// The agent that was offered the flow may be opening it, so the probing agent must not. The datagram follows the
		// offer.
		decision := offerTo(in.Remote.Agent)
		decision.Notify = true
		return decision
	}
	decision := Decision{Action: ActionReturn, Flags: framer.FlagReturned, Position: in.Header.Position}
	if in.Header.Generation >= in.Table.Generation() && !recordedSearcherWins(in) {
		decision.Remote = RemoteFlow{
			State: RemoteSearched, Agent: in.Sender, Generation: in.Header.Generation,
			Declined: in.Remote.Declined && in.Remote.Agent == in.Sender,
		}
	}
	return decision
}

// recordedSearcherWins reports whether the recorded searching agent takes precedence over the sender of a probe: the agent
// with the newer table may open the flow, then the owner, then the agent with the lower address.
func recordedSearcherWins(in DecisionInput) bool {
	if in.Remote.State != RemoteSearched || in.Remote.Generation < in.Header.Generation {
		return false
	}
	if in.Remote.Generation > in.Header.Generation {
		return true
	}
	if in.Remote.Generation == in.Table.Generation() {
		if candidates := in.Table.AppendCandidates(nil, in.Header.Flow); len(candidates) > 0 {
			switch candidates[0].Address {
			case in.Remote.Agent:
				return true
			case in.Sender:
				return false
			}
		}
	}
	return in.Remote.Agent.Compare(in.Sender) < 0
}

// defersToSearcher reports whether another agent has searched for the flow's holder under a table that is not older than
// this agent's, so that this agent must not open the flow. With equal tables the owner takes the flow, then the agent with
// the lower address. The record is ignored once this agent's table is newer, because the two agents could then forward
// the flow to each other.
func defersToSearcher(in DecisionInput, candidates []cherviltide.Member) bool {
	if in.Remote.State != RemoteSearched || in.Remote.Generation < in.Table.Generation() {
		return false
	}
	newOrOffered := in.Header.Flags == 0 || in.Header.Flags == framer.FlagOffered
	if in.Remote.Agent == in.Sender && newOrOffered {
		return false
	}
	if in.Remote.Generation > in.Table.Generation() {
		return true
	}
	if isOwner(in, candidates) {
		return false
	}
	if in.Header.Flags == framer.FlagOffered {
		// This agent is not searching itself, so the searching agent decides about the offered flow.
		return true
	}
	return len(candidates) > 0 && in.Remote.Agent == candidates[0].Address || in.Remote.Agent.Compare(in.Self.Address) < 0
}

// handleOffer accepts or declines a flow that the owner offers. A declined flow stays declined as long as the record of the
// decline is kept, because the owner opens the flow after the decline.
func handleOffer(in DecisionInput) Decision {
	declinedBefore := in.Remote.Declined && in.Remote.Agent == in.Sender
	opened := min(in.Header.Generation, in.Table.Generation())
	if declinedBefore || in.Full || in.Busy || opened < in.ReleasedGeneration {
		remote := RemoteFlow{State: RemoteDeclined, Agent: in.Sender}
		if in.Remote.State == RemoteSearched && in.Remote.Agent == in.Sender {
			remote = in.Remote
		}
		remote.Declined = true
		return Decision{Action: ActionReturn, Flags: framer.FlagDeclined, Remote: remote}
	}
	return Decision{Action: ActionOpen, OpeningGeneration: opened}
}

// handleDecline opens a flow that the secondary did not accept, provided that this agent is still the owner.
func handleDecline(in DecisionInput, candidates []cherviltide.Member) Decision {
	if !isOwner(in, candidates) {
		decision := routeByTable(in, candidates)
		decision.ForgetRemote = true
		return decision
	}
	return openOrOffer(in, candidates, false)
}

// handleStaleTable searches for the holder on behalf of an owner whose table does not yet name it as the owner. The search
// probes the owner as well: it may be opening the flow under its older table, and the probe makes it record this agent and
// not open the flow afterwards.
func handleStaleTable(in DecisionInput, candidates []cherviltide.Member) Decision {
	if in.Header.Generation != in.Table.Generation() {
		return routeByTable(in, candidates)
	}
	return searchFrom(in, candidates, 0)
}

// handleReturned continues the search after a candidate has returned the datagram. If the table has changed since the
// probe, the search starts again.
func handleReturned(in DecisionInput, candidates []cherviltide.Member) Decision {
	if in.Header.Generation == in.Table.Generation() {
		return searchFrom(in, candidates, int(in.Header.Position)+1)
	}
	return routeByTable(in, candidates)
}

// forwardToRemote forwards a datagram to the agent that is recorded as holding the flow or as having been offered it.
func forwardToRemote(in DecisionInput) (Decision, bool) {
	if in.Remote.Agent == in.Sender {
		return Decision{}, false
	}
	probe := Decision{Action: ActionForward, To: in.Remote.Agent, Flags: framer.FlagProbe}
	switch in.Remote.State {
	case RemoteHeld:
		return probe, true
	case RemoteOffered:
		if in.CanOpen {
			return offerTo(in.Remote.Agent), true
		}
		return probe, true
	}
	return Decision{}, false
}

// routeByTable decides about a datagram by the table alone: the owner starts a search, other agents forward the datagram
// to the owner, or return it if the sender's table is newer.
func routeByTable(in DecisionInput, candidates []cherviltide.Member) Decision {
	if isOwner(in, candidates) {
		return searchFrom(in, candidates, 1)
	}
	if in.Header.Flags == 0 && in.Header.Hops > 0 && in.Header.Generation > in.Table.Generation() {
		return Decision{Action: ActionReturn, Flags: framer.FlagStaleTable}
	}
	if len(candidates) == 0 {
		return Decision{Action: ActionDrop}
	}
	return Decision{Action: ActionForward, To: candidates[0].Address}
}

// searchFrom probes the next candidate from a position on, or opens the flow when there is none left.
func searchFrom(in DecisionInput, candidates []cherviltide.Member, next int) Decision {
	for next < len(candidates) && shouldSkip(in, candidates[next]) {
		next++
	}
	if next >= len(candidates) {
		return openOrOffer(in, candidates, true)
	}
	if next > math.MaxUint8 {
		return Decision{Action: ActionDrop}
	}
	return Decision{Action: ActionForward, To: candidates[next].Address, Flags: framer.FlagProbe, Position: uint8(next)}
}

// shouldSkip reports whether the search skips a candidate: this agent itself, and for the first datagrams of a flow an
// unresponsive candidate. Later datagrams are still sent there, because only the holder can use them.
func shouldSkip(in DecisionInput, candidate cherviltide.Member) bool {
	return isSameMember(candidate, in.Self) || (in.CanOpen && in.Unresponsive != nil && in.Unresponsive(candidate.Address))
}

// openOrOffer opens a flow here, or offers it to the secondary when this agent is busy or full. mayOffer is false after the
// secondary has declined the flow.
func openOrOffer(in DecisionInput, candidates []cherviltide.Member, mayOffer bool) Decision {
	if !in.CanOpen {
		return Decision{Action: ActionDrop}
	}
	if in.Remote.State == RemoteHeld {
		// A candidate opened the flow after it had returned this datagram.
		return Decision{Action: ActionForward, To: in.Remote.Agent, Flags: framer.FlagProbe}
	}
	if !isOwner(in, candidates) {
		return openAsFormerOwner(in)
	}
	if mayOffer && in.Remote.State == RemoteOffered {
		return offerTo(in.Remote.Agent)
	}
	secondary, ok := in.Table.Secondary(in.Header.Flow)
	if mayOffer && ok && (in.Busy || in.Full) && !shouldSkip(in, secondary) {
		return offerTo(secondary.Address)
	}
	if in.Full {
		return Decision{Action: ActionRefuse, ForgetRemote: true}
	}
	return Decision{Action: ActionOpen, OpeningGeneration: in.Table.Generation(), ForgetRemote: true}
}

// openAsFormerOwner opens a flow at an agent that does not own its bucket. If the agent is not a candidate, no search would
// find the flow again, so the datagram is dropped; the owner's table is up to date by the caller's retransmission.
func openAsFormerOwner(in DecisionInput) Decision {
	if in.Remote.State == RemoteOffered {
		// The former secondary may still accept the offer that this agent made while it was the owner.
		return Decision{Action: ActionDrop}
	}
	opened, ok := in.Table.OpeningGeneration(in.Header.Flow, in.Self)
	if !ok || opened < in.ReleasedGeneration {
		return Decision{Action: ActionDrop}
	}
	if in.Full {
		return Decision{Action: ActionRefuse}
	}
	return Decision{Action: ActionOpen, OpeningGeneration: opened}
}

// offerTo forwards a datagram to the secondary as an offer and records that the secondary may hold the flow.
func offerTo(to netip.AddrPort) Decision {
	return Decision{Action: ActionForward, To: to, Flags: framer.FlagOffered, Remote: RemoteFlow{State: RemoteOffered, Agent: to}}
}

func isOwner(in DecisionInput, candidates []cherviltide.Member) bool {
	return len(candidates) > 0 && isSameMember(candidates[0], in.Self)
}

// isSameMember compares members by name and address instead of incarnation: a process that control has expelled is in the
// table under a newer incarnation than the one it started with.
func isSameMember(a, b cherviltide.Member) bool {
	return a.Name == b.Name && a.Address == b.Address
}
