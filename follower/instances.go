package follower

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// instances holds the base URLs of the control instances that a process knows. It is safe for concurrent use.
type instances struct {
	// configured returns the URLs from the settings, which may be out of date.
	configured func() []string
	mu         sync.Mutex
	// present has the URLs that a control instance announced last.
	present []string
	// others has URLs that were announced earlier, and those that an instance named which did not accept the process. The
	// newest come first.
	others []string
	// followed is the instance of the present subscription, or of the last one.
	followed string
	// hasNew is true after an instance became known.
	hasNew bool
}

const (
	// maxOthers bounds the URLs that are kept beside the present ones.
	maxOthers = 16
	// maxOthersTried is how many of them are tried each time, so that their number does not delay the next search.
	maxOthersTried = 4
)

// announce replaces the present instances by those that a control instance announced.
func (s *instances) announce(urls []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hasNew = s.hasNew || slices.ContainsFunc(urls, func(u string) bool { return !slices.Contains(s.present, u) })
	former := s.present
	s.present = slices.Clone(urls)
	s.addOthers(former)
}

// refer adds instances that were named by one that did not accept the process. Its knowledge may be out of date.
func (s *instances) refer(urls []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := func(u string) bool { return slices.Contains(s.present, u) || slices.Contains(s.others, u) }
	s.hasNew = s.hasNew || slices.ContainsFunc(urls, func(u string) bool { return !known(u) })
	s.addOthers(urls)
}

// addOthers puts URLs in front of the others.
func (s *instances) addOthers(urls []string) {
	list := slices.Clone(urls)
	for _, u := range s.others {
		if !slices.Contains(list, u) {
			list = append(list, u)
		}
	}
	list = slices.DeleteFunc(list, func(u string) bool { return slices.Contains(s.present, u) })
	s.others = list[:min(len(list), maxOthers)]
}

// takeHasNew reports whether an instance became known since the last call.
func (s *instances) takeHasNew() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	hasNew := s.hasNew
	s.hasNew = false
	return hasNew
}

// voters returns the instances that control announced, the present ones first.
func (s *instances) voters() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Concat(s.present, s.others)
}

// setFollowed records the instance of a new subscription.
func (s *instances) setFollowed(url string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.followed = url
}

// toFollow returns the instances for a new subscription in the order in which to try them: the present ones, the configured
// ones, and some of the others. Each group is shuffled, so that the processes spread over the instances and do not move
// together; the instance of the last subscription is the last of the present ones.
func (s *instances) toFollow() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := shuffled(s.present)
	if i := slices.Index(present, s.followed); i >= 0 {
		present = append(slices.Delete(present, i, i+1), s.followed)
	}
	others := shuffled(s.others)
	return unique(present, shuffled(s.configured()), others[:min(len(others), maxOthersTried)])
}

// toCall returns the instances for a call in the order in which to try them. The instance of the subscription comes first,
// since it is known to respond.
func (s *instances) toCall(preferred string) []string {
	list := s.toFollow()
	s.mu.Lock()
	defer s.mu.Unlock()
	return unique(slices.DeleteFunc([]string{preferred, s.followed}, func(u string) bool { return u == "" }), list)
}

func shuffled(list []string) []string {
	list = slices.Clone(list)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// unique concatenates lists without repetitions.
func unique(lists ...[]string) []string {
	var all []string
	for _, u := range slices.Concat(lists...) {
		if !slices.Contains(all, u) {
			all = append(all, u)
		}
	}
	return all
}
