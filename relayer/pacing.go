package relayer

import (
	"slices"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/pacer"
	"cherviltide.example/cherviltide/picker"
)

// silentAfter is how long the target may leave all packets unanswered before it gets new flows at a pace again. It is longer than
// the pauses of a process on a slow machine, which count as unresponsive after unresponsiveAfter.
const silentAfter cherviltide.Millis = 500

// pacing connects the decider with the pacer of its target.
type pacing struct {
	pacer *pacer.Pacer
	// limit is the number of concurrent requests that the pacer allowed last.
	limit int
	// table is the last table whose service and weights the pacer knows.
	table *picker.Table
	// evacuated is true when that table has the agent's failure domain evacuated.
	evacuated bool
	// reported is true after the first report of the target.
	reported bool
	// heldBack counts the deliveries of opening packets that the hard bound did not allow.
	heldBack uint64
	// weights is a buffer.
	weights []uint32
}

// setTarget gives the pacer a report of the target.
func (p *pacing) setTarget(t Target, replaced bool) {
	first := !p.reported && t.Slots > 0
	p.reported = p.reported || first
	p.pacer.SetTarget(t.ReportedAt, pacer.State{
		Slots: t.Slots, WarmUpLeft: t.WarmUpLeft, Age: t.Age, HasAge: t.HasAge, Available: t.AcceptsNewFlows,
		Started: replaced || first && !t.PredatesAgent, Unserved: t.Unserved,
	})
	p.limit = p.pacer.Limit(t.ReportedAt)
}

// observePace gives the pacer the warm-up of the service and the weights of the target's peers when they may have changed, begins
// the pace anew when the evacuation of the agent's failure domain is withdrawn, and updates the limit of concurrent requests.
func (d *Decider) observePace(in Input) {
	p := &d.pacing
	if in.Table != p.table {
		p.table = in.Table
		warmUp := in.Table.Service().WarmUp
		p.pacer.SetService(in.Now, warmUp, d.peerServiceTime(in, warmUp))
		evacuated := in.isEvacuated()
		if p.evacuated && !evacuated {
			p.pacer.Restart(in.Now)
		}
		p.evacuated = evacuated
	}
	p.limit = p.pacer.Limit(in.Now)
}

// peerServiceTime returns the service time, in milliseconds, that the median weight of the other targets stands for, if they
// have as many slots as this one. It returns 0 when no speed is known or the service has no warm-up.
func (d *Decider) peerServiceTime(in Input, warmUp cherviltide.WarmUp) float64 {
	if warmUp.Duration == 0 {
		return 0
	}
	weights := d.pacing.weights[:0]
	d.members = in.Table.AppendActive(d.members[:0])
	for _, m := range d.members {
		if !isSelf(in, m) && m.Weight > 0 && m.Weight != cherviltide.NominalWeight {
			weights = append(weights, m.Weight)
		}
	}
	d.pacing.weights = weights
	if len(weights) == 0 {
		return 0
	}
	slices.Sort(weights)
	perSecond := float64(weights[len(weights)/2]) * cherviltide.NominalRate / cherviltide.NominalWeight
	return float64(d.target.Slots) * 1000 / perSecond
}

// observeServiceTime gives the pacer a service time. That of an upload tells the speed of its caller's link, not of the target.
func (d *Decider) observeServiceTime(now cherviltide.Millis, f *flow, serviceTime cherviltide.Millis) {
	if !f.upload {
		d.pacing.pacer.Observe(now, serviceTime)
	}
}

// slots returns the number of requests that the target may have at once.
func (d *Decider) slots() int { return min(d.target.Slots, d.pacing.limit) }

// expectedServiceTime returns the measured service time of the target, or the expected one of a target that has started and
// has not answered yet, so that predictions of its queue are not 0.
func (d *Decider) expectedServiceTime() float64 {
	if t := d.load.serviceTime.value; t > 0 {
		return t
	}
	return d.pacing.pacer.ExpectedTime()
}

// boundAllows reports whether the hard bound of a cold target allows the delivery of an opening packet, and counts one that it
// holds back.
func (d *Decider) boundAllows(now cherviltide.Millis) bool {
	if d.pacing.pacer.Allow(now) {
		return true
	}
	d.pacing.heldBack++
	return false
}

// Pace returns the number of requests that the target may have at once, and the number of deliveries of opening packets that
// the hard bound has held back.
func (d *Decider) Pace() (limit int, heldBack uint64) { return d.slots(), d.pacing.heldBack }

// Pace returns the number of requests that the target may have at once, and the number of deliveries of opening packets that
// the hard bound has held back since the start.
func (r *Relayer) Pace() (limit int, heldBack uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decider.Pace()
}

// logPace writes a log line for each change of the pace.
func (r *Relayer) logPace(changes []pacer.Change) {
	for _, c := range changes {
		if c.Full {
			r.config.Log.Info("TargetAtFullPace", zap.Int("Slots", c.Slots), zap.Int64("Ms", int64(c.Took)))
			continue
		}
		r.config.Log.Info("TargetPaced", zap.String("Cause", string(c.Cause)), zap.Int("Limit", c.Limit), zap.Int("Slots", c.Slots),
			zap.Int64("WarmUpLeftMs", int64(c.Left)))
	}
}
