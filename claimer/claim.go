// Package claimer decides which requests of at-most-once kinds may run. Each key has one home, the agent that keeps its
// claim; the agent that executes the request claims the key there before the first byte goes to the target.
package claimer

import (
	"crypto/sha256"
	"errors"

	"github.com/google/uuid"

	"cherviltide.example/cherviltide"
)

// Error is a failure to claim a key.
type Error struct{ cherviltide.Fault }

var errKey = errors.New("the idempotency key is not a UUID of version 7")

// Digest is the SHA-256 of a request.
type Digest [sha256.Size]byte

// Key identifies a request of an at-most-once kind in the scope of one customer and one service.
type Key struct {
	Customer string
	Service  string
	ID       uuid.UUID
}

// ParseKey reads the value of an Idempotency-Key header.
func ParseKey(customer, service, value string) (Key, error) {
	id, err := uuid.Parse(value)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 || len(value) != 36 {
		return Key{}, &Error{cherviltide.Fault{Op: "claimer.ParseKey", Kind: cherviltide.KindInvalid, Err: errKey}}
	}
	return Key{Customer: customer, Service: service, ID: id}, nil
}

// Issued returns the time that the key carries.
func (k Key) Issued() cherviltide.Millis {
	b := k.ID
	ms := int64(0)
	for _, x := range b[:6] {
		ms = ms<<8 | int64(x)
	}
	return cherviltide.Millis(ms)
}

// Claim asks for the right to run a request.
type Claim struct {
	Key    Key
	Digest Digest
	// Run is different for each execution, so that a claim that is sent again gets the same answer.
	Run string
	// Until is the longest time that the execution takes.
	Until cherviltide.Millis
}

// State is a home's answer to a claim.
type State string

// The answers. Only a granted claim may run.
const (
	StateGranted    State = "Granted"
	StateInProgress State = "InProgress" // Another execution of the key has not ended.
	StateStored     State = "Stored"     // The key has run; its answer is attached.
	StateUnknown    State = "Unknown"    // The key has been granted before and its effect is unknown.
	StateRefused    State = "Refused"    // The key has not run at this home's knowledge, and this claim does not run.
)

// Reason tells why a claim is refused.
type Reason string

// The reasons of refusals.
const (
	ReasonAhead      Reason = "KeyAhead"    // The key was issued further ahead of the home's clock than the skew bound.
	ReasonOld        Reason = "KeyOld"      // The key is older than claims are kept.
	ReasonTakeover   Reason = "KeyTakeover" // The key was issued before its home took over.
	ReasonReused     Reason = "KeyReused"   // The key belongs to another request.
	ReasonLease      Reason = "HomeLease"   // The home has no lease.
	ReasonNotHome    Reason = "NotHome"     // The agent is not the key's home.
	ReasonFull       Reason = "HomeFull"    // The home keeps as many claims as it may.
	ReasonHomeSilent Reason = "HomeSilent"  // The home did not answer, or too late to use its grant.
)

// Answer is a target's answer as the home keeps it.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
	// Cut is true when the body was too large to keep.
	Cut bool
}

// Verdict is a home's answer to a claim.
type Verdict struct {
	State  State
	Reason Reason
	// Attempt is set for StateGranted and grows with each grant of the key.
	Attempt uint32
	// Left is set for StateGranted: how long the grant may be used to start, counted from the moment the claim was sent.
	Left cherviltide.Millis
	// Answer is set for StateStored.
	Answer *Answer
}

// Ending is how a granted execution ended.
type Ending string

// The endings.
const (
	EndingNotRun  Ending = "NotRun"  // No byte went to the target; the key may be claimed again.
	EndingStored  Ending = "Stored"  // The target's answer is complete.
	EndingUnknown Ending = "Unknown" // The effect is unknown; the key never runs again.
)

// Settlement reports the end of an execution to the key's home.
type Settlement struct {
	Key     Key
	Run     string
	Attempt uint32
	Ending  Ending
	Answer  *Answer
}
