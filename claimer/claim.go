// Package claimer makes sure that a request of an at-most-once kind is executed at most once. Each idempotency key has
// one home agent, which stores the key's claim. The agent that executes the request claims the key there before it
// sends the first byte to the target.
package claimer

import (
	"crypto/sha256"
	"errors"

	"github.com/google/uuid"

	"cherviltide.example/cherviltide"
)

// Error is returned for an invalid idempotency key.
type Error struct{ cherviltide.Fault }

var errInvalidKey = errors.New("the idempotency key is not a UUID of version 7")

// Digest is the SHA-256 digest of a request.
type Digest [sha256.Size]byte

// Key is an idempotency key. It is scoped to one customer and one service.
type Key struct {
	Customer string
	Service  string
	ID       uuid.UUID
}

// ParseKey parses the value of an Idempotency-Key header.
func ParseKey(customer, service, value string) (Key, error) {
	id, err := uuid.Parse(value)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 || len(value) != 36 {
		return Key{}, &Error{cherviltide.Fault{Op: "claimer.ParseKey", Kind: cherviltide.KindInvalid, Err: errInvalidKey}}
	}
	return Key{Customer: customer, Service: service, ID: id}, nil
}

// IssuedAt returns the timestamp of the key's UUID.
func (k Key) IssuedAt() cherviltide.Millis {
	b := k.ID
	ms := int64(0)
	for _, x := range b[:6] {
		ms = ms<<8 | int64(x)
	}
	return cherviltide.Millis(ms)
}

// Claim asks for the right to execute a request.
type Claim struct {
	Key    Key
	Digest Digest
	// Run identifies the execution, so that a claim that is sent again gets the same answer.
	Run string
	// Until is the longest time that the execution takes.
	Until cherviltide.Millis
}

// State is the state of a key in the answer of its home agent.
type State string

// The states. Only a granted claim permits the execution.
const (
	StateGranted    State = "Granted"
	StateInProgress State = "InProgress" // Another execution with the key has not ended.
	StateStored     State = "Stored"     // A request with the key was executed; its response is attached.
	StateUnknown    State = "Unknown"    // The key was granted before, and the effect of that execution is unknown.
	StateRefused    State = "Refused"    // The home agent knows of no execution with the key, and does not permit this one.
)

// Reason tells why a claim is refused.
type Reason string

// The reasons for refusals.
const (
	ReasonKeyAhead    Reason = "KeyAhead"    // The key's timestamp is more than MaxClockSkew ahead of the home agent's clock.
	ReasonKeyOld      Reason = "KeyOld"      // The key is older than KeyLifetime.
	ReasonKeyTakeover Reason = "KeyTakeover" // The key was issued before its home agent took over from another agent.
	ReasonKeyReused   Reason = "KeyReused"   // The key was used for a request with another digest.
	ReasonHomeLease   Reason = "HomeLease"   // The home agent has no lease.
	ReasonNotHome     Reason = "NotHome"     // The agent is not the key's home agent.
	ReasonHomeFull    Reason = "HomeFull"    // The home agent stores as many claims as it may.
	ReasonHomeSilent  Reason = "HomeSilent"  // The home agent did not answer, or too late for its grant to be used.
)

// Answer is a target's response as the home agent stores it.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
	// Cut is true when the body was too large to be stored.
	Cut bool
}

// Verdict is the home agent's answer to a claim.
type Verdict struct {
	State  State
	Reason Reason
	// Attempt is set for StateGranted and grows with each grant of the key.
	Attempt uint32
	// Left is set for StateGranted: how long after the claim was sent the execution may start.
	Left cherviltide.Millis
	// Answer is set for StateStored.
	Answer *Answer
}

// Ending tells how a granted execution ended.
type Ending string

// The endings.
const (
	EndingNotRun  Ending = "NotRun"  // No byte was sent to the target; the key may be claimed again.
	EndingStored  Ending = "Stored"  // The target's response is complete.
	EndingUnknown Ending = "Unknown" // The effect is unknown; the key is never granted again.
)

// Settlement reports the end of an execution to the key's home agent.
type Settlement struct {
	Key     Key
	Run     string
	Attempt uint32
	Ending  Ending
	Answer  *Answer
}
