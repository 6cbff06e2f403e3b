package holder

import (
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
)

// Step is an action with its parameters.
type Step struct {
	Action Action
	// Next is set for ActionPass.
	Next cherviltide.Member
	// Flags and Position go into the header of a passed or returned datagram.
	Flags    framer.Flags
	Position uint8
}

// Situation is what an agent knows when a datagram arrives.
type Situation struct {
	Self   cherviltide.Member
	Table  *picker.Table
	Header framer.Header
	// Held is true when the agent holds the flow.
	Held bool
	// Opening is true when the datagram can open a flow.
	Opening bool
	// Full is true when the agent accepts no further flow.
	Full bool
	// Busy is true when a new flow would wait too long here.
	Busy bool
}

// Decide returns what to do with a datagram. Only the owner of the flow's bucket walks the candidate chain; a candidate
// that does not hold the flow returns the datagram, so agents with different tables cannot send it in circles.
func Decide(s Situation) Step {
	if s.Held {
		return Step{Action: ActionDeliver}
	}
	switch s.Header.Flags {
	case framer.FlagProbe:
		return Step{Action: ActionReturn, Flags: framer.FlagReturned, Position: s.Header.Position}
	case framer.FlagOffered:
		return offered(s)
	case framer.FlagDeclined, framer.FlagBehind:
		return open(s)
	}
	chain := s.Table.Chain(nil, s.Header.Flow)
	if len(chain) == 0 || !same(chain[0], s.Self) {
		return redirect(s, chain)
	}
	return walk(s, chain)
}

// offered accepts or declines a flow that the owner offers.
func offered(s Situation) Step {
	if s.Full || s.Busy {
		return Step{Action: ActionReturn, Flags: framer.FlagDeclined}
	}
	return Step{Action: ActionOpen}
}

// redirect sends a datagram to the owner that the agent's own table names.
func redirect(s Situation, chain []cherviltide.Member) Step {
	if s.Header.Hops > 0 && s.Header.Generation > s.Table.Generation() {
		return Step{Action: ActionReturn, Flags: framer.FlagBehind}
	}
	if len(chain) == 0 {
		return Step{Action: ActionDrop}
	}
	return Step{Action: ActionPass, Next: chain[0]}
}

// walk asks the next candidate, or opens the flow when there is none left.
func walk(s Situation, chain []cherviltide.Member) Step {
	next := 1
	if s.Header.Flags == framer.FlagReturned && s.Header.Generation == s.Table.Generation() {
		next = int(s.Header.Position) + 1
	}
	if next < len(chain) {
		return Step{Action: ActionPass, Next: chain[next], Flags: framer.FlagProbe, Position: uint8(next)}
	}
	return open(s)
}

// open opens a flow here, or offers it to the second when this agent is busy.
func open(s Situation) Step {
	if !s.Opening {
		return Step{Action: ActionDrop}
	}
	return Step{Action: ActionOpen}
}

func same(a, b cherviltide.Member) bool {
	return a.Name == b.Name && a.Incarnation == b.Incarnation
}
