package admitter

import "cherviltide.example/cherviltide"

const (
	// shortTermWeight and longTermWeight are the weights of a new completion in the two moving averages of a kind.
	shortTermWeight = 0.1
	longTermWeight  = 0.02
	// slowFactor is the ratio of the short-term to the long-term average above which the target counts as slow. With
	// exponentially distributed service times, the ratio exceeds 2 by chance every few hundred requests.
	slowFactor = 2.5
	// minSamples is the number of completions of a kind that are needed before the target can count as slow for it.
	minSamples = 20
	// maxTrackedKinds limits the number of kinds with statistics.
	maxTrackedKinds = 256
	// estimateTTL is how long the short-term average is used without a new completion. An average above the deadline
	// refuses all requests of the kind, so without a limit no completion would ever correct it.
	estimateTTL cherviltide.Millis = 5_000
)

// serviceTime has the service time statistics of one kind at the target, in milliseconds.
type serviceTime struct {
	shortTerm, longTerm float64
	count               int
	lastCompletion      cherviltide.Millis
}

// serviceTimes has the statistics of each kind, by its name.
type serviceTimes map[string]*serviceTime

// observe records a completion and reports whether the target has become slow for the kind.
func (s serviceTimes) observe(now cherviltide.Millis, kind cherviltide.Kind, took cherviltide.Millis) bool {
	v := s[kind.Name]
	if v == nil {
		if len(s) >= maxTrackedKinds {
			clear(s)
		}
		v = &serviceTime{shortTerm: float64(took), longTerm: float64(took)}
		s[kind.Name] = v
	}
	v.count++
	v.lastCompletion = now
	// The first completions are averaged with equal weights, so that the very first one does not bias the averages for
	// long.
	v.shortTerm += max(shortTermWeight, 1/float64(v.count)) * (float64(took) - v.shortTerm)
	v.longTerm += max(longTermWeight, 1/float64(v.count)) * (float64(took) - v.longTerm)
	return kind.Class != cherviltide.ClassBulky && v.count >= minSamples && v.shortTerm > slowFactor*max(v.longTerm, 1)
}

// expected returns the expected service time of a request of a kind; 0 when it is not known.
func (s serviceTimes) expected(now cherviltide.Millis, kind cherviltide.Kind) cherviltide.Millis {
	if v := s[kind.Name]; v != nil && now-v.lastCompletion < estimateTTL {
		return cherviltide.Millis(v.shortTerm)
	}
	return 0
}

// mean returns the mean service time over all kinds, weighted by their completions, in milliseconds.
func (s serviceTimes) mean() float64 {
	sum, count := 0.0, 0
	for _, v := range s {
		sum += v.longTerm * float64(v.count)
		count += v.count
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}
