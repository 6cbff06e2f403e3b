package admitter

import (
	"math"

	"cherviltide.example/cherviltide"
)

const (
	// demandSpan is the time constant of the urgent demand.
	demandSpan cherviltide.Millis = 5_000
	// demandFirst is the shortest time that the average covers.
	demandFirst cherviltide.Millis = 500
	// demandMargin is what the reserve holds beyond the demand. A slot that is in use for 90% of the time by requests of
	// random length makes one of them wait for ten of its turns.
	demandMargin = 1.25
)

// demand is the number of slots that the urgent requests of the last seconds need. Long transfers could otherwise hold
// all slots but the reserve for seconds, while the urgent requests need more than the reserve.
type demand struct {
	work float64
	at   cherviltide.Millis
	// since is the time of the first arrival; the average starts there.
	since cherviltide.Millis
}

// add takes an urgent arrival with its expected time.
func (d *demand) add(now, expected cherviltide.Millis) {
	if d.at == 0 {
		d.since = now
	}
	d.work = d.left(now) + float64(expected)
	d.at = now
}

// slots returns the demand, in slots.
func (d *demand) slots(now cherviltide.Millis) float64 {
	seen := max(now-d.since, demandFirst)
	return d.left(now) / float64(demandSpan) / (1 - math.Exp(-float64(seen)/float64(demandSpan)))
}

func (d *demand) left(now cherviltide.Millis) float64 {
	return d.work * math.Exp(-float64(now-d.at)/float64(demandSpan))
}
