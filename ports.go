package cherviltide

import "errors"

// ErrNotLeader tells that another instance leads the group, or none does. The operation did not run.
var ErrNotLeader = errors.New("this instance does not lead the group")

// StateMachine applies the committed entries of a log in order. The log's owner calls it from one goroutine.
type StateMachine interface {
	Apply(position uint64, entry []byte)
	Snapshot() ([]byte, error)
	Restore(position uint64, snapshot []byte) error
}

// Picker decides which agent a packet goes to.
type Picker interface {
	// Pick returns the agent for a flow, and false when the service has none.
	Pick(key FlowKey) (Member, bool)
}

// Recorder counts the outcomes of requests for the service-level report. It is safe for concurrent use.
type Recorder interface {
	Record(service, kind string, outcome Outcome, took Millis)
}
