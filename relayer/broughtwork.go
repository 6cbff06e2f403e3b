package relayer

import (
	"math"

	"cherviltide.example/cherviltide"
)

// broughtWindow is the time constant of the measurement, in milliseconds.
const broughtWindow = 4_000

// broughtWork measures the share of the slots that requests on flows that stay open take.
type broughtWork struct {
	work float64
	at   cherviltide.Millis
}

// add records the work of a request.
func (b *broughtWork) add(now, work cherviltide.Millis) {
	b.work = b.decayed(now) + float64(work)
	b.at = now
}

func (b *broughtWork) decayed(now cherviltide.Millis) float64 {
	return b.work * math.Exp(-float64(max(now-b.at, 0))/broughtWindow)
}

// brought returns the share of the slots that requests on open flows take.
func (d *Decider) brought(now cherviltide.Millis) float64 {
	return d.load.brought.decayed(now) / broughtWindow / float64(max(d.target.Slots, 1))
}

// steps encodes the share for an offer.
func (d *Decider) broughtSteps(now cherviltide.Millis) cherviltide.Millis {
	return cherviltide.Millis(d.brought(now)*20) * waitStep
}

// broughtLimit is the share from which on an owner offers new flows.
const broughtLimit = 0.5
