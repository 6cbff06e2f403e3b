package picker

import "math/bits"

const (
	// logSegments is the number of segments of the linear interpolation of the binary logarithm.
	logSegments = 256
	// costShift adds fractional bits to the quotient of a logarithm and a weight; the dividend stays below 2^63.
	costShift = 24
)

// logTable holds log2(1 + i/logSegments) with 32 fractional bits. It is computed with integers, because all processes
// must rank targets alike and floating-point logarithms may differ between processor architectures.
var logTable = newLogTable()

// newLogTable computes each logarithm bit by bit: it squares x, a number from 1 to 2 with 63 fractional bits. If the square
// is at least 2, the next bit is 1 and the square is halved.
func newLogTable() (table [logSegments + 1]uint64) {
	for i := range logSegments {
		x := uint64(logSegments+i) << 55
		for range 32 {
			high, low := bits.Mul64(x, x)
			table[i] <<= 1
			if high>>63 == 1 {
				table[i] |= 1
				x = high
				continue
			}
			x = high<<1 | low>>63
		}
	}
	table[logSegments] = 1 << 32
	return table
}

// cost is the weighted rendezvous cost -log2(u)/weight of a target for a bucket, where u is a hash of both in (0, 1).
// The target with the lowest cost comes first. The seed is the hash of the target's name.
func cost(seed, bucket uint64, weight uint32) uint64 {
	h := mix(seed^mix(bucket+0x9e3779b97f4a7c15)) | 1
	zeros := bits.LeadingZeros64(h)
	m := h << zeros
	segment := m >> 55 & (logSegments - 1)
	low, high := logTable[segment], logTable[segment+1]
	fraction := low + (high-low)*(m>>23&(1<<32-1))>>32
	return ((uint64(zeros)+1)<<32 - fraction) << costShift / uint64(max(weight, 1))
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
