package replayer

import (
	"slices"

	"cherviltide.example/cherviltide"
)

// Result has the counts of requests of one kind by their outcome, for the requests of one second.
type Result struct {
	// Timely requests met their goal, Late ones their deadline; Refused ones were reset in their last attempt, or rejected by
	// a target, and Failed ones got no answer.
	Asked, Timely, Late, Refused, Failed int
}

// TimelyShare returns the share of timely requests.
func (r Result) TimelyShare() float64 { return float64(r.Timely) / float64(max(r.Asked, 1)) }

// Results has the results by kind and second of arrival.
type Results map[string][]Result

// at returns the result for the requests of a kind that arrive at a time.
func (r Results) at(kind string, arrival cherviltide.Millis) *Result {
	second := int(arrival / 1000)
	for len(r[kind]) <= second {
		r[kind] = append(r[kind], Result{})
	}
	return &r[kind][second]
}

// Sum returns the results of the given kinds, or of all, whose requests arrived in an interval of whole seconds.
func (r Results) Sum(from, to int, kinds ...string) Result {
	var sum Result
	for name, seconds := range r {
		if len(kinds) > 0 && !slices.Contains(kinds, name) {
			continue
		}
		for s := from; s < min(to, len(seconds)); s++ {
			sum.Asked += seconds[s].Asked
			sum.Timely += seconds[s].Timely
			sum.Late += seconds[s].Late
			sum.Refused += seconds[s].Refused
			sum.Failed += seconds[s].Failed
		}
	}
	return sum
}

// Seconds returns the number of seconds in which requests arrived.
func (r Results) Seconds() int {
	n := 0
	for _, seconds := range r {
		n = max(n, len(seconds))
	}
	return n
}
