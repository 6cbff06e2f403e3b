package distributor

import (
	"sync"

	"cherviltide.example/cherviltide/messenger"
)

// maxSharedRules bounds the rules updates that are kept for one revision. Followers differ by the revision that they have;
// nearly all have one of the last few.
const maxSharedRules = 16

// sharedRules keeps the rules updates to one revision, so that each is computed and encoded once for all followers with the
// same rules. Without it, a change of 1,500 routes was encoded and compressed for each of 230 followers, which took a leader
// seconds of its share of a core and cost it the leadership. It is safe for concurrent use.
type sharedRules struct {
	mu     sync.Mutex
	byHeld map[heldRules]*sharedUpdate
}

// heldRules identifies the rules that a follower has.
type heldRules struct{ revision, digest uint64 }

// sharedUpdate is a rules update with its packed form, which is nil for a small update.
type sharedUpdate struct {
	once   sync.Once
	update *messenger.RulesUpdate
	packed []byte
	err    error
}

func newSharedRules() *sharedRules {
	return &sharedRules{byHeld: map[heldRules]*sharedUpdate{}}
}

// get returns the update for a follower. The caller must not change it.
func (s *sharedRules) get(held heldRules, compute func() *messenger.RulesUpdate) (*sharedUpdate, error) {
	s.mu.Lock()
	u := s.byHeld[held]
	if u == nil {
		u = &sharedUpdate{}
		if len(s.byHeld) < maxSharedRules {
			s.byHeld[held] = u
		}
	}
	s.mu.Unlock()
	u.once.Do(func() {
		u.update = compute()
		u.packed, u.err = messenger.PackRules(u.update)
	})
	return u, u.err
}
