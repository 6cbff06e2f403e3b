package follower

import (
	"slices"
	"sync"
)

// instances holds the base URLs of the control instances that a process knows. It is safe for concurrent use.
type instances struct {
	// configured returns the URLs from the settings, which may be out of date.
	configured func() []string
	mu         sync.Mutex
	// learned has the URLs that control announced last, followed by those that it announced earlier.
	learned []string
	// hasNew is true after control announced an instance that was not in learned.
	hasNew bool
}

// maxLearned bounds the number of learned URLs.
const maxLearned = 64

// add adds the instances that control announced, in front of those that it announced earlier.
func (s *instances) add(urls []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hasNew = s.hasNew || slices.ContainsFunc(urls, func(u string) bool { return !slices.Contains(s.learned, u) })
	list := slices.Clone(urls)
	for _, u := range s.learned {
		if !slices.Contains(list, u) && len(list) < maxLearned {
			list = append(list, u)
		}
	}
	s.learned = list
}

// takeHasNew reports whether control has announced an unknown instance since the last call.
func (s *instances) takeHasNew() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	hasNew := s.hasNew
	s.hasNew = false
	return hasNew
}

// learnedURLs returns the instances that control announced.
func (s *instances) learnedURLs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.learned)
}

// all returns all known instances, the learned ones before the configured ones.
func (s *instances) all() []string {
	list := s.learnedURLs()
	for _, u := range s.configured() {
		if !slices.Contains(list, u) {
			list = append(list, u)
		}
	}
	return list
}

// forAttempt returns the instance for an attempt; attempts go through all known instances in turn.
func (s *instances) forAttempt(attempt int) string {
	list := s.all()
	return list[attempt%len(list)]
}
