package cherviltide

import "errors"

// ErrNotLeader means that another instance leads the group, or none does. The operation was not executed.
var ErrNotLeader = errors.New("this instance does not lead the group")

// StateMachine applies the committed entries of a replicated log in order. The owner of the log calls it from one
// goroutine.
type StateMachine interface {
	Apply(position uint64, entry []byte)
	Snapshot() ([]byte, error)
	Restore(position uint64, snapshot []byte) error
}

// Picker selects the agent of a flow.
type Picker interface {
	// Pick returns the agent of a flow, and false when the service has no agent.
	Pick(key FlowKey) (Member, bool)
}

// Recorder records the outcomes of requests for the service-level report. It is safe for concurrent use.
type Recorder interface {
	Record(service, kind string, outcome Outcome, duration Millis)
}
