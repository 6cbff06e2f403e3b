package reporter

import (
	"math"

	"cherviltide.example/cherviltide"
)

// ringSize is the number of time buckets of a ring: 20 complete ones and the current one. A window is therefore up to 5%
// longer than its nominal length.
const ringSize = 21

// bucket has the counts of one interval, in the order of the fields of cherviltide.Counts.
type bucket struct {
	// index is the start of the interval divided by the width of the buckets.
	index  int64
	counts [5]uint32
}

// ring is a ring buffer of buckets that sums counts over a sliding time window in constant memory.
type ring struct {
	buckets [ringSize]bucket
}

// add adds counts at the time now. If the clock went back so far that the bucket is in use for a newer interval, the counts
// are added to that interval.
func (r *ring) add(now, windowLength cherviltide.Millis, c cherviltide.Counts) {
	index := int64(now / bucketWidth(windowLength))
	b := &r.buckets[index%ringSize]
	if b.index < index {
		*b = bucket{index: index}
	}
	for i, n := range [5]uint64{c.Timely, c.Late, c.Partial, c.Refused, c.Unknown} {
		b.counts[i] = uint32(min(uint64(b.counts[i])+n, math.MaxUint32))
	}
}

// sum returns the counts of the window that ends now.
func (r *ring) sum(now, windowLength cherviltide.Millis) cherviltide.Counts {
	var total cherviltide.Counts
	for i := range ringSize {
		total = total.Plus(r.at(int64(now/bucketWidth(windowLength)) - int64(i)))
	}
	return total
}

// at returns the counts of the interval with an index, or none if the ring no longer has it.
func (r *ring) at(index int64) cherviltide.Counts {
	if index < 0 {
		return cherviltide.Counts{}
	}
	b := r.buckets[index%ringSize]
	if b.index != index {
		return cherviltide.Counts{}
	}
	return cherviltide.Counts{
		Timely: uint64(b.counts[0]), Late: uint64(b.counts[1]), Partial: uint64(b.counts[2]),
		Refused: uint64(b.counts[3]), Unknown: uint64(b.counts[4]),
	}
}

// points returns the intervals of the window by time, the current one last.
func (r *ring) points(now, windowLength cherviltide.Millis) []Point {
	newest := int64(now / bucketWidth(windowLength))
	points := make([]Point, 0, ringSize)
	for i := newest - ringSize + 1; i <= newest; i++ {
		c := r.at(i)
		points = append(points, Point{
			Start: cherviltide.Millis(i) * bucketWidth(windowLength), Requests: c.Total(), TimelyPercent: timelyPercent(c),
		})
	}
	return points
}

// bucketWidth returns the length of the interval of one bucket.
func bucketWidth(windowLength cherviltide.Millis) cherviltide.Millis {
	return windowLength / (ringSize - 1)
}
