package claimer

import (
	"cherviltide.example/cherviltide"
)

// Bounds of a ledger.
const (
	// MaxClockSkew is the largest difference between the clocks of callers and agents that keys may show.
	MaxClockSkew cherviltide.Millis = 2_000
	// KeyLife is how long after its issue a key may be claimed.
	KeyLife cherviltide.Millis = 10 * 60_000
	// claimLimit is the highest number of claims that a home keeps. It refuses further keys and drops none early.
	claimLimit = 65_536
	// answerBytes bounds the bodies that a home keeps; beyond it, answers are kept without their bodies.
	answerBytes = 16 << 20
)

// Store is the home's memory of claims. It has no clock and no lock: each call brings the time.
type Store struct {
	claims map[Key]*entry
	// queue has the keys in the order of their first grant.
	queue []Key
	bytes int
}

type entry struct {
	digest  Digest
	run     string
	attempt uint32
	state   State
	// until is the time after which an execution without a settlement counts as unknown.
	until cherviltide.Millis
	// kept is the time after which no claim of the key can be granted, so the entry may be dropped.
	kept   cherviltide.Millis
	answer *Answer
}

// HomeAuthority is what a home knows about its right to answer.
type HomeAuthority struct {
	// Since is the time from which no other agent acts as the home of the key.
	Since cherviltide.Millis
	// LeaseLeft is what is left of the home's lease.
	LeaseLeft cherviltide.Millis
}

// NewStore returns an empty claim store.
func NewStore() *Store {
	return &Store{claims: map[Key]*entry{}}
}

// Claim decides about a claim. It grants a key at most once, unless the execution ended without having run.
func (l *Store) Claim(now cherviltide.Millis, tenure HomeAuthority, c Claim) Verdict {
	if tenure.LeaseLeft <= 0 {
		return refused(ReasonLease)
	}
	if reason := l.issue(now, tenure, c.Key); reason != "" {
		return refused(reason)
	}
	l.drop(now)
	e, ok := l.claims[c.Key]
	if !ok {
		if len(l.claims) >= claimLimit {
			return refused(ReasonFull)
		}
		e = &entry{digest: c.Digest, state: StateRefused, kept: c.Key.Issued() + KeyLife + MaxClockSkew}
		l.claims[c.Key] = e
		l.queue = append(l.queue, c.Key)
	}
	if e.digest != c.Digest {
		return refused(ReasonReused)
	}
	return l.answer(now, tenure, c, e)
}

// Settle records the end of an execution. A settlement of an earlier attempt is dropped and reported as false.
func (l *Store) Settle(s Settlement) bool {
	e, ok := l.claims[s.Key]
	if !ok || e.run != s.Run || (s.Attempt != 0 && s.Attempt != e.attempt) || e.state == StateStored || e.state == StateRefused {
		return false
	}
	switch s.Ending {
	case EndingNotRun:
		e.state = StateRefused
	case EndingStored:
		e.state = StateStored
		e.answer = l.keep(s.Answer)
	default:
		e.state = StateUnknown
	}
	return true
}

// Len returns the number of claims kept.
func (l *Store) Len() int {
	return len(l.claims)
}

// issue checks the time that a key carries.
func (l *Store) issue(now cherviltide.Millis, tenure HomeAuthority, key Key) Reason {
	issued := key.Issued()
	switch {
	case issued > now+MaxClockSkew:
		return ReasonAhead
	case issued+KeyLife < now:
		return ReasonOld
	case issued < tenure.Since+MaxClockSkew:
		return ReasonTakeover
	}
	return ""
}

// answer decides about a claim of a known key with the right digest.
func (l *Store) answer(now cherviltide.Millis, tenure HomeAuthority, c Claim, e *entry) Verdict {
	if e.state == StateGranted && e.run != c.Run && now > e.until {
		e.state = StateUnknown
	}
	switch e.state {
	case StateGranted:
		if e.run == c.Run {
			return Verdict{State: StateGranted, Attempt: e.attempt, Left: tenure.LeaseLeft}
		}
		return Verdict{State: StateInProgress}
	case StateStored:
		return Verdict{State: StateStored, Answer: e.answer}
	case StateUnknown:
		return Verdict{State: StateUnknown}
	}
	if e.run == c.Run {
		// The execution was settled as not run; a late copy of its claim starts nothing.
		return refused(ReasonHomeSilent)
	}
	e.run, e.state, e.until = c.Run, StateGranted, now+tenure.LeaseLeft+c.Until
	e.attempt++
	return Verdict{State: StateGranted, Attempt: e.attempt, Left: tenure.LeaseLeft}
}

// keep returns the answer as far as there is room for its body.
func (l *Store) keep(a *Answer) *Answer {
	if a == nil {
		return &Answer{Cut: true}
	}
	if l.bytes+len(a.Body) > answerBytes {
		return &Answer{Status: a.Status, Header: a.Header, Cut: true}
	}
	l.bytes += len(a.Body)
	return a
}

// drop removes claims that no key can reach any more.
func (l *Store) drop(now cherviltide.Millis) {
	for len(l.queue) > 0 {
		e := l.claims[l.queue[0]]
		if e.kept >= now {
			return
		}
		if e.answer != nil {
			l.bytes -= len(e.answer.Body)
		}
		delete(l.claims, l.queue[0])
		l.queue = l.queue[1:]
	}
}

func refused(reason Reason) Verdict {
	return Verdict{State: StateRefused, Reason: reason}
}
