package claimer

import (
	"cmp"
	"slices"

	"cherviltide.example/cherviltide"
)

// Limits of keys and of a store.
const (
	// MaxClockSkew is the largest difference between the clocks of callers and agents that the timestamps of keys may
	// show.
	MaxClockSkew cherviltide.Millis = 2_000
	// KeyLifetime is how long after its timestamp a key may be claimed.
	KeyLifetime cherviltide.Millis = 10 * 60_000
	// maxClaims is the largest number of claims that a home agent stores. It refuses further keys, since a claim that is
	// dropped early would permit a second execution.
	maxClaims = 65_536
	// maxAnswerBytes limits the total size of the response bodies that a home agent stores. Above it, responses are stored
	// without their bodies.
	maxAnswerBytes = 16 << 20
)

// Store holds the claims of the keys of one home agent. It reads no clock and takes no lock: callers pass the time and
// serialize the calls.
type Store struct {
	claims map[Key]*record
	// keys is in the order of the times at which the claims expire.
	keys []Key
	// answerBytes is the total size of the stored response bodies.
	answerBytes int
}

type record struct {
	digest    Digest
	execution string
	attempt   uint32
	state     State
	// settleBy is the time after which the effect of an execution without a settlement counts as unknown.
	settleBy cherviltide.Millis
	// expires is the time after which no claim of the key can be granted, so that the record may be dropped.
	expires cherviltide.Millis
	answer  *Answer
}

// HomeAuthority tells how far a home agent may decide about a key.
type HomeAuthority struct {
	// Since is the time from which no other agent acts as the home agent of the key.
	Since cherviltide.Millis
	// LeaseLeft is the time left of the home agent's lease.
	LeaseLeft cherviltide.Millis
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{claims: map[Key]*record{}}
}

// Claim decides about a claim. It grants a key only once, unless the granted execution was settled as not run.
func (s *Store) Claim(now cherviltide.Millis, authority HomeAuthority, c Claim) Verdict {
	if authority.LeaseLeft <= 0 {
		return refused(ReasonHomeLease)
	}
	if reason := s.checkTimestamp(now, authority, c.Key); reason != "" {
		return refused(reason)
	}
	s.dropExpired(now)
	r, ok := s.claims[c.Key]
	if !ok {
		if len(s.claims) >= maxClaims {
			return refused(ReasonHomeFull)
		}
		r = &record{digest: c.Digest, state: StateRefused, expires: c.Key.IssuedAt() + KeyLifetime + MaxClockSkew}
		s.claims[c.Key] = r
		i, _ := slices.BinarySearchFunc(s.keys, r.expires, func(k Key, expires cherviltide.Millis) int {
			return cmp.Compare(s.claims[k].expires, expires+1)
		})
		s.keys = slices.Insert(s.keys, i, c.Key)
	}
	if r.digest != c.Digest {
		return refused(ReasonKeyReused)
	}
	return s.decide(now, authority, c, r)
}

// Settle records the end of an execution. It returns false for a settlement that does not apply to the current attempt,
// which has no effect.
func (s *Store) Settle(settlement Settlement) bool {
	r, ok := s.claims[settlement.Key]
	if !ok || r.execution != settlement.Run || (settlement.Attempt != 0 && settlement.Attempt != r.attempt) || r.state == StateStored || r.state == StateRefused {
		return false
	}
	switch settlement.Ending {
	case EndingNotRun:
		r.state = StateRefused
	case EndingStored:
		r.state = StateStored
		r.answer = s.limitAnswer(settlement.Answer)
	default:
		r.state = StateUnknown
	}
	return true
}

// Len returns the number of stored claims.
func (s *Store) Len() int {
	return len(s.claims)
}

// checkTimestamp returns the reason to refuse a key because of its timestamp, or an empty reason.
func (s *Store) checkTimestamp(now cherviltide.Millis, authority HomeAuthority, key Key) Reason {
	issued := key.IssuedAt()
	switch {
	case issued > now+MaxClockSkew:
		return ReasonKeyAhead
	case issued+KeyLifetime < now:
		return ReasonKeyOld
	case issued < authority.Since+MaxClockSkew:
		return ReasonKeyTakeover
	}
	return ""
}

// decide decides about a claim whose key has a record with the same digest.
func (s *Store) decide(now cherviltide.Millis, authority HomeAuthority, c Claim, r *record) Verdict {
	if r.state == StateGranted && r.execution != c.Run && now > r.settleBy {
		r.state = StateUnknown
	}
	switch r.state {
	case StateGranted:
		if r.execution == c.Run {
			return Verdict{State: StateGranted, Attempt: r.attempt, Left: authority.LeaseLeft}
		}
		return Verdict{State: StateInProgress}
	case StateStored:
		return Verdict{State: StateStored, Answer: r.answer}
	case StateUnknown:
		return Verdict{State: StateUnknown}
	}
	if r.execution == c.Run {
		// The execution was settled as not run. A delayed duplicate of its claim must not start it.
		return refused(ReasonHomeSilent)
	}
	r.execution, r.state, r.settleBy = c.Run, StateGranted, now+authority.LeaseLeft+c.Until
	r.attempt++
	return Verdict{State: StateGranted, Attempt: r.attempt, Left: authority.LeaseLeft}
}

// limitAnswer returns the response to store. The body is left out when it would exceed maxAnswerBytes.
func (s *Store) limitAnswer(a *Answer) *Answer {
	if a == nil {
		return &Answer{Cut: true}
	}
	if s.answerBytes+len(a.Body) > maxAnswerBytes {
		return &Answer{Status: a.Status, Header: a.Header, Cut: true}
	}
	s.answerBytes += len(a.Body)
	return a
}

// dropExpired removes the records of keys that can no longer be claimed. It stops at the first key that has not
// expired.
func (s *Store) dropExpired(now cherviltide.Millis) {
	for len(s.keys) > 0 {
		r := s.claims[s.keys[0]]
		if r.expires >= now {
			return
		}
		if r.answer != nil {
			s.answerBytes -= len(r.answer.Body)
		}
		delete(s.claims, s.keys[0])
		s.keys = s.keys[1:]
	}
}

func refused(reason Reason) Verdict {
	return Verdict{State: StateRefused, Reason: reason}
}
