package admitter

import "cherviltide.example/cherviltide"

const (
	// recentShare and usualShare are the weights of a new completion in the two moving averages of a kind.
	recentShare = 0.1
	usualShare  = 0.02
	// slowFactor is how many times its usual time a kind's recent time must reach for the target to count as slow. With
	// exponentially distributed times the recent average alone exceeds twice the usual one every few hundred requests.
	slowFactor = 2.5
	// slowMin is the number of completions before a kind's usual time means something.
	slowMin = 20
	// speedsLimit bounds the number of kinds that are watched.
	speedsLimit = 256
	// speedLife is how long a kind's recent time is used without a new completion. Without an end, a time above the
	// deadline would refuse all requests of the kind, and no completion would ever correct it.
	speedLife cherviltide.Millis = 5_000
)

// speed is how long the requests of one kind take at the target, in milliseconds.
type speed struct {
	recent, usual float64
	count         int
	last          cherviltide.Millis
}

// speeds has the speed of each kind, by its name.
type speeds map[string]*speed

// observe records a completion and reports whether the target has become slow for the kind.
func (s speeds) observe(now cherviltide.Millis, kind cherviltide.Kind, took cherviltide.Millis) bool {
	v := s[kind.Name]
	if v == nil {
		if len(s) >= speedsLimit {
			clear(s)
		}
		v = &speed{recent: float64(took), usual: float64(took)}
		s[kind.Name] = v
	}
	v.count++
	v.last = now
	// The first completions count as a plain mean, so that the very first one does not bias the averages for long.
	v.recent += max(recentShare, 1/float64(v.count)) * (float64(took) - v.recent)
	v.usual += max(usualShare, 1/float64(v.count)) * (float64(took) - v.usual)
	return kind.Class != cherviltide.ClassBulky && v.count >= slowMin && v.recent > slowFactor*max(v.usual, 1)
}

// expected returns how long a request of a kind is expected to hold its slot; 0 when that is
// not known.
func (s speeds) expected(now cherviltide.Millis, kind cherviltide.Kind) cherviltide.Millis {
	if v := s[kind.Name]; v != nil && now-v.last < speedLife {
		return cherviltide.Millis(v.recent)
	}
	return 0
}

// mean returns the mean time of a request over all kinds, weighted by their numbers, in milliseconds.
func (s speeds) mean() float64 {
	sum, count := 0.0, 0
	for _, v := range s {
		sum += v.usual * float64(v.count)
		count += v.count
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}
