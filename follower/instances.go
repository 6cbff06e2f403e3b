package follower

import (
	"slices"
	"sync"
)

// instances are the base URLs of the control instances that a process knows. It is safe for concurrent use.
type instances struct {
	// configured returns those of the settings, which may be out of date.
	configured func() []string
	mu         sync.Mutex
	// learned are those that control named last, with those that it named before behind them.
	learned []string
}

// maxLearned bounds the instances that are remembered.
const maxLearned = 64

// learn takes the instances that control names.
func (s *instances) learn(urls []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := slices.Clone(urls)
	for _, u := range s.learned {
		if !slices.Contains(list, u) && len(list) < maxLearned {
			list = append(list, u)
		}
	}
	s.learned = list
}

// list returns all known instances, the learned ones first.
func (s *instances) list() []string {
	s.mu.Lock()
	list := slices.Clone(s.learned)
	s.mu.Unlock()
	for _, u := range s.configured() {
		if !slices.Contains(list, u) {
			list = append(list, u)
		}
	}
	return list
}

// pick returns the instance of an attempt.
func (s *instances) pick(attempt int) string {
	list := s.list()
	return list[attempt%len(list)]
}
