package reporter

import (
	"math"

	"cherviltide.example/cherviltide"
)

// slots is the number of time buckets of a ring: 20 full ones and the current one. A window is therefore up to 5% longer
// than its span.
const slots = 21

// bucket has the counts of one stretch of time, in the order of cherviltide.Counts.
type bucket struct {
	// index is the stretch's start divided by the width of the ring's buckets.
	index  int64
	counts [5]uint32
}

// ring sums counts over a window of time in constant memory.
type ring struct {
	buckets [slots]bucket
}

// add adds counts at a time. A time before buckets that are in use already counts for the newer bucket.
func (r *ring) add(now, span cherviltide.Millis, c cherviltide.Counts) {
	index := int64(now / width(span))
	b := &r.buckets[index%slots]
	if b.index < index {
		*b = bucket{index: index}
	}
	for i, n := range [5]uint64{c.Timely, c.Late, c.Partial, c.Refused, c.Unknown} {
		b.counts[i] = uint32(min(uint64(b.counts[i])+n, math.MaxUint32))
	}
}

// sum returns the counts of the window that ends now.
func (r *ring) sum(now, span cherviltide.Millis) cherviltide.Counts {
	var total cherviltide.Counts
	for i := range slots {
		total = total.Plus(r.at(int64(now/width(span)) - int64(i)))
	}
	return total
}

// at returns the counts of the stretch with an index.
func (r *ring) at(index int64) cherviltide.Counts {
	if index < 0 {
		return cherviltide.Counts{}
	}
	b := r.buckets[index%slots]
	if b.index != index {
		return cherviltide.Counts{}
	}
	return cherviltide.Counts{
		Timely: uint64(b.counts[0]), Late: uint64(b.counts[1]), Partial: uint64(b.counts[2]),
		Refused: uint64(b.counts[3]), Unknown: uint64(b.counts[4]),
	}
}

// points returns the stretches of the window in the order of time, the current one last.
func (r *ring) points(now, span cherviltide.Millis) []Point {
	newest := int64(now / width(span))
	points := make([]Point, 0, slots)
	for i := newest - slots + 1; i <= newest; i++ {
		c := r.at(i)
		points = append(points, Point{
			Start: cherviltide.Millis(i) * width(span), Requests: c.Total(), TimelyPercent: timelyPercent(c),
		})
	}
	return points
}

func width(span cherviltide.Millis) cherviltide.Millis {
	return span / (slots - 1)
}
