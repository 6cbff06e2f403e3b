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
	// fresh is true after an instance was named that was not known.
	fresh bool
}

// maxLearned bounds the instances that are remembered.
const maxLearned = 64

// learn takes the instances that control names.
func (s *instances) learn(urls []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fresh = s.fresh || slices.ContainsFunc(urls, func(u string) bool { return !slices.Contains(s.learned, u) })
	list := slices.Clone(urls)
	for _, u := range s.learned {
		if !slices.Contains(list, u) && len(list) < maxLearned {
			list = append(list, u)
		}
	}
	s.learned = list
}

// changed reports whether an instance was named since the last call that was not known before.
func (s *instances) changed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	fresh := s.fresh
	s.fresh = false
	return fresh
}

// named returns the instances that control named.
func (s *instances) named() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.learned)
}

// list returns all known instances, the learned ones first.
func (s *instances) list() []string {
	list := s.named()
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
