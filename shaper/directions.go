package shaper

import "cherviltide.example/cherviltide"

// Directions tells whether the two directions of a link share its rate.
type Directions uint8

// The kinds of links.
const (
	// DirectionsMeasured means that it is not known. A link that is taken for shared but is not carries half of what it could; one
	// that is shared but not taken for it sends data twice. So the link is taken for separate, and evaluated while it is
	// saturated.
	DirectionsMeasured Directions = 0
	DirectionsShared   Directions = 1 // Packets that arrive and packets that leave share the rate.
	DirectionsSeparate Directions = 2 // The link carries the rate in each direction at the same time.
)

const (
	// evaluationTime is the time for which openings have waited after which the data that arrived meanwhile is compared with the
	// rate of the link. The windows in progress at its start, at most 0.17 s of the link, change the result by a tenth at most.
	evaluationTime cherviltide.Millis = 2_000
	// shortEvaluationTime is enough when more than maxCopyShare of the packets were copies, as on a shared link that gets more than
	// it carries within the callers' retransmission time.
	shortEvaluationTime cherviltide.Millis = 250
	// firstTrialDelay is the time until a link that turned out to be shared is taken for separate again, as after a stall of
	// the targets that looked like a shared link. It doubles with each trial up to maxTrialDelay.
	firstTrialDelay cherviltide.Millis = 60_000
	maxTrialDelay   cherviltide.Millis = 3_600_000
	// maxUpdateInterval bounds the time between two updates that counts: in a longer one, the process did not run.
	maxUpdateInterval cherviltide.Millis = 50
)

const (
	// separateShare is the share of the rate that new data must reach on a saturated link with separate directions. It reaches
	// about 0.9 there. On a shared link it stays below 0.48, because each packet leaves again with a longer header.
	separateShare = 0.6
	// maxCopyShare is the share of copies among the packets with data that a link within its budget does not reach.
	maxCopyShare = 0.1
)

// directionMeter finds out whether the directions of a link are separate.
type directionMeter struct {
	separate bool
	// measures is false when the configuration tells the directions.
	measures bool
	// saturated is the time for which openings have waited since the last evaluation. Meanwhile bytes of new data have arrived, in
	// packets, besides copies of earlier ones.
	saturated              cherviltide.Millis
	bytes, packets, copies int
	// updatedAt is the time of the last update, and waited whether openings waited then.
	updatedAt cherviltide.Millis
	waited    bool
	// trialAt is when a shared link is taken for separate again, trialDelay the time from the last trial to the next.
	trialAt, trialDelay cherviltide.Millis
}

func newDirectionMeter(d Directions) directionMeter {
	return directionMeter{separate: d != DirectionsShared, measures: d == DirectionsMeasured, trialDelay: firstTrialDelay}
}

// update records whether openings wait, and reports whether the directions have to be taken for others than before.
func (m *directionMeter) update(now cherviltide.Millis, waits bool, rate int64) bool {
	if !m.measures {
		return false
	}
	if m.waited {
		m.saturated += min(now-m.updatedAt, maxUpdateInterval)
	}
	m.updatedAt, m.waited = now, waits
	switch {
	case !m.separate:
		if !waits || now < m.trialAt {
			return false
		}
		m.separate = true
		m.reset()
		return true
	case m.saturated >= evaluationTime, m.saturated >= shortEvaluationTime && m.congested():
		return !m.evaluate(now, rate)
	}
	return false
}

func (m *directionMeter) congested() bool {
	return float64(m.copies) > maxCopyShare*float64(m.copies+m.packets)
}

// evaluate reports whether as much new data has arrived as only separate directions carry. After a short time, the answer is no
// only.
func (m *directionMeter) evaluate(now cherviltide.Millis, rate int64) bool {
	m.separate = float64(m.bytes) >= separateShare*float64(rate)*float64(m.saturated)/1000
	if m.separate && m.saturated < evaluationTime {
		return true
	}
	m.reset()
	if m.separate {
		m.trialDelay = firstTrialDelay
		return true
	}
	m.trialAt, m.trialDelay = now+m.trialDelay, min(2*m.trialDelay, maxTrialDelay)
	return false
}

func (m *directionMeter) reset() {
	m.saturated, m.bytes, m.packets, m.copies = 0, 0, 0, 0
}

// count adds a packet with data that has arrived.
func (m *directionMeter) count(bytes int, isCopy bool) {
	switch {
	case !m.waited:
	case isCopy:
		m.copies++
	default:
		m.bytes += bytes
		m.packets++
	}
}
