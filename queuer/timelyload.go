package queuer

import (
	"math"

	"cherviltide.example/cherviltide"
)

// timelyLoadWindow is the time constant of the measured rate of timely starts, in milliseconds. It is longer than callers
// wait, so that a short peak does not make the queue refuse flows that can be served after it: their callers would return at
// once and look like new ones.
const timelyLoadWindow = 5_000

// timelyLoad measures the rate at which timely flows take slots, as an exponentially decaying count.
type timelyLoad struct {
	count float64
	at    cherviltide.Millis
}

func (l *timelyLoad) add(now cherviltide.Millis) {
	l.count = l.decayed(now) + 1
	l.at = now
}

// perSecond returns the rate of timely starts.
func (l *timelyLoad) perSecond(now cherviltide.Millis) float64 {
	return l.decayed(now) * 1000 / timelyLoadWindow
}

func (l *timelyLoad) decayed(now cherviltide.Millis) float64 {
	return l.count * math.Exp(-float64(max(now-l.at, 0))/timelyLoadWindow)
}
