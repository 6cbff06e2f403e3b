package replayer

import (
	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/pacer"
	"cherviltide.example/cherviltide/relayer"
)

// Ramp is how agents treat a target that has started.
type Ramp string

// The ramps. Only the adaptive one is part of the product; the others are baselines.
const (
	RampNone     Ramp = "NoRamp"
	RampLinear   Ramp = "LinearRamp" // The slots rise linearly during the warm-up that the heartbeats report.
	RampAdaptive Ramp = "Default"
)

// reportInterval is the time between two heartbeats of a target.
const reportInterval cherviltide.Millis = 770

// WarmUp describes how targets of a pattern are cold.
type WarmUp struct {
	// Time is how long a target is cold; 0 means that the pattern has no warm-up.
	Time cherviltide.Millis
	// Factor multiplies the service times, and Fill is the time, in milliseconds, for which each request takes a resource that
	// the requests of a target share. Both are those of the start and fall linearly to 1 and 0.
	Factor, Fill float64
	// Rate is the rate that the rules tell, Bound the hard bound of the agents.
	Rate  float64
	Bound pacer.Bound
	Ramp  Ramp
	// Restarted targets, from target 0 on, are off during Off; their agents too if Agents is true.
	Restarted int
	Off       Interval
	Agents    bool
	// Flushed is when target 0 becomes cold without a restart or a report; 0 means never. ClaimsWarmUp makes all targets report
	// their full warm-up for ever.
	Flushed      cherviltide.Millis
	ClaimsWarmUp bool
}

// rules returns the warm-up of the service, which the baselines do not have.
func (w WarmUp) rules() cherviltide.WarmUp {
	if w.Ramp != RampAdaptive {
		return cherviltide.WarmUp{}
	}
	return cherviltide.WarmUp{Duration: w.Time, Rate: w.Rate, HasRate: w.Rate > 0}
}

// from returns when the targets of the pattern become cold.
func (w WarmUp) from() cherviltide.Millis { return max(w.Off.To, w.Flushed) }

// WarmUpPatterns returns the patterns with cold targets, for a ramp. The targets have six slots, a request takes 50 ms of a
// warm target, and the offered load is two thirds of the warm capacity. The first targets restart while the others are warm.
func WarmUpPatterns(ramp Ramp) []Pattern {
	view := Kind{Name: "view", Route: cherviltide.Route{Priority: 2, Goal: 300, Deadline: 2_500, Class: cherviltide.ClassNormal},
		PerSecond: 640, ServiceTime: 50, Packets: 2}
	base := WarmUp{Time: 4_000, Factor: 1.5, Fill: 80, Rate: 20, Bound: pacer.Bound{Enabled: true, Excess: 1.5, Margin: 5}, Ramp: ramp,
		Restarted: 1, Off: Interval{4_000, 5_000}}
	named := func(name string, change func(*Pattern)) Pattern {
		p := Pattern{Name: name, Slots: 6, Queue: 24, Speeds: []float64{1, 1, 1, 1, 1, 1, 1, 1}, Kinds: []Kind{view}, Duration: 14_000, WarmUp: base}
		change(&p)
		return p
	}
	// Target 0 is warm at once, and slower than its peers.
	slower := func(p *Pattern) {
		p.Speeds[0], p.WarmUp.Fill, p.WarmUp.Factor = 1/2.4, 0, 1
		p.Kinds[0].PerSecond = 560
	}
	return []Pattern{
		named("one-restart", func(*Pattern) {}),
		named("domain-restart", func(p *Pattern) { p.WarmUp.Restarted, p.WarmUp.Agents, p.Kinds[0].PerSecond = 3, true, 480 }),
		named("slower-target", slower),
		named("slower-target-and-agent", func(p *Pattern) { slower(p); p.WarmUp.Agents = true }),
		named("slow-while-cold", func(p *Pattern) { p.WarmUp.Fill, p.WarmUp.Factor = 0, 6 }),
		named("hidden-warm-up", func(p *Pattern) { p.WarmUp.Off, p.WarmUp.Restarted, p.WarmUp.Flushed = Interval{}, 1, 5_000 }),
		named("claimed-warm-up", func(p *Pattern) { p.WarmUp.ClaimsWarmUp = true }),
	}
}

// coldness returns the share of the warm-up that is left for a target, from 1 at the start to 0.
func (t *target) coldness() float64 {
	w := t.replay.pattern.WarmUp
	since := t.startedAt
	if t.index == 0 && w.Flushed > 0 && t.replay.now >= w.Flushed {
		since = max(since, w.Flushed)
	}
	return max(1-float64(t.replay.now-since)/float64(w.Time), 0)
}

// warmUpTime returns the time that a request takes, given the time at a warm target.
func (t *target) warmUpTime(warm float64) float64 {
	w, cold := t.replay.pattern.WarmUp, t.coldness()
	if cold == 0 {
		return warm
	}
	now := float64(t.replay.now)
	t.filledAt = max(t.filledAt, now) + w.Fill*cold
	return t.filledAt - now + warm*(1+(w.Factor-1)*cold)
}

// scheduleWarmUp schedules the restarts and the heartbeats.
func (r *replay) scheduleWarmUp() {
	w := r.pattern.WarmUp
	if w.Time == 0 {
		return
	}
	for i, t := range r.targets {
		if i < w.Restarted && w.Off.To > 0 {
			r.after(w.Off.From, t.goOff)
			r.after(w.Off.To+cherviltide.Millis(r.random.IntN(150)), t.comeBack)
		}
		r.after(cherviltide.Millis(r.random.IntN(int(reportInterval))), t.report)
	}
}

// goOff ends the target, and its agent if the pattern says so. The target deregisters, so the table follows at once.
func (t *target) goOff() {
	t.off = true
	t.stop()
	t.running = !t.replay.pattern.WarmUp.Agents
	t.replay.addEvent(cherviltide.EventDied, t.index)
	t.reportOnce(false)
}

// comeBack starts the target again, and its agent if that was off.
func (t *target) comeBack() {
	t.off = false
	t.member.Incarnation++
	if t.replay.pattern.WarmUp.Agents {
		t.start()
	}
	t.flows, t.startedAt, t.busy, t.waiting, t.filledAt = map[*attempt]bool{}, t.replay.now, 0, nil, 0
	t.reportOnce(true)
	t.replay.addEvent(cherviltide.EventJoined, t.index)
}

// report sends heartbeats.
func (t *target) report() {
	if !t.off {
		t.reportOnce(false)
	}
	t.replay.after(reportInterval, t.report)
}

// reportOnce gives the agent the state of the target, with the slots that the ramp allows.
func (t *target) reportOnce(replaced bool) {
	p := t.replay.pattern
	age := t.replay.now - t.startedAt
	left := max(p.WarmUp.Time-age, 0)
	if p.WarmUp.ClaimsWarmUp {
		left = p.WarmUp.Time
	}
	t.decider.SetTarget(relayer.Target{
		Slots: p.Slots, AcceptsNewFlows: !t.off, LastResort: !t.off, ReportedAt: t.replay.now, Age: age, HasAge: true, WarmUpLeft: left,
	}, replaced)
	t.reportedLeft, t.reportedAt = left, t.replay.now
}

// ramp applies the linear ramp, which believes the reported warm-up.
func (t *target) ramp() {
	w := t.replay.pattern.WarmUp
	if w.Time == 0 || w.Ramp != RampLinear || t.off {
		return
	}
	left := max(t.reportedLeft-(t.replay.now-t.reportedAt), 0)
	slots := t.replay.pattern.Slots
	allowed := slots - int(float64(slots-1)*float64(left)/float64(w.Time))
	t.decider.SetTarget(relayer.Target{Slots: allowed, AcceptsNewFlows: true, LastResort: true, ReportedAt: t.replay.now}, false)
}

// recordDelivery counts an opening packet that the target gets, for the highest number in a second while it is cold.
func (t *target) recordDelivery() {
	now := t.replay.now
	if t.replay.pattern.WarmUp.Time == 0 || now-t.startedAt >= t.replay.pattern.WarmUp.Time {
		return
	}
	t.delivered = append(t.delivered, now)
	for now-t.delivered[0] >= 1_000 {
		t.delivered = t.delivered[1:]
	}
	t.replay.report.ColdDeliveries = max(t.replay.report.ColdDeliveries, len(t.delivered))
}

// servedInterval is the resolution of Report.Served.
const servedInterval cherviltide.Millis = 100

// recordServed counts a request that the target has finished.
func (t *target) recordServed() {
	served := &t.replay.report.Served
	if at := int(t.replay.now / servedInterval); t.index < t.replay.pattern.WarmUp.Restarted {
		for len(*served) <= at {
			*served = append(*served, 0)
		}
		(*served)[at]++
	}
}

// WarmUpResult is the result of a pattern with cold targets.
type WarmUpResult struct {
	// Requests are those that arrived from the time at which the first targets became cold, for one and a half warm-ups.
	Requests Result
	// ToFullShare is the time from then until the targets serve 90% of the requests that they served before, over a second; -1
	// when they never do.
	ToFullShare cherviltide.Millis
	Report      *Report
}

// RunWarmUp plays a pattern with cold targets.
func RunWarmUp(p Pattern, seed uint64) WarmUpResult {
	r := Run(p, seed)
	from := p.WarmUp.from()
	result := WarmUpResult{Report: r, ToFullShare: -1, Requests: r.Sum(int(from/1000), int((from+p.WarmUp.Time*3/2)/1000))}
	perSecond := int(1_000 / servedInterval)
	sum := func(at int) (n int) {
		for i := at; i < min(at+perSecond, len(r.Served)); i++ {
			n += r.Served[i]
		}
		return n
	}
	before := (sum(perSecond) + sum(2*perSecond) + sum(3*perSecond)) / 3
	for at := int(from / servedInterval); at+perSecond <= int(p.Duration/servedInterval); at++ {
		if sum(at)*10 >= before*9 {
			result.ToFullShare = cherviltide.Millis(at)*servedInterval - from
			break
		}
	}
	return result
}
