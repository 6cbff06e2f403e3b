package reacher

import (
	"maps"
	"net/netip"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/detector"
)

const (
	// maxSilent bounds the agents that are known not to answer; further ones count as answering.
	maxSilent = 4_096
	// silentFor is how long an agent counts as silent. Silent agents may not be probed any more, and one may have restarted.
	silentFor cherviltide.Millis = 30_000
)

// answers knows which agents have not answered probes since the first domain was closed.
type answers struct {
	detector *detector.Detector
	// silent has the agents that do not answer, with the time when that was found. revision changes with it. The map is replaced
	// and never modified.
	silent   map[netip.AddrPort]cherviltide.Millis
	revision uint64
}

func newAnswers() answers {
	return answers{detector: detector.New(), silent: map[netip.AddrPort]cherviltide.Millis{}}
}

// probed records that a probe is sent to an agent. isCut is false while no domain is closed.
func (a *answers) probed(agent netip.AddrPort, now cherviltide.Millis, isCut bool) {
	for x, since := range a.silent {
		if now-since >= silentFor {
			a.answered(x)
		}
	}
	if isCut && !a.isSilent(agent) && a.detector.IsUnresponsive(agent, now) && len(a.silent) < maxSilent {
		next := maps.Clone(a.silent)
		next[agent] = now
		a.silent = next
		a.revision++
	}
	a.detector.RecordProbe(agent, now)
}

func (a *answers) isSilent(agent netip.AddrPort) bool {
	_, ok := a.silent[agent]
	return ok
}

// answered records an echo of an agent, or that it is to be probed again.
func (a *answers) answered(agent netip.AddrPort) {
	a.detector.MarkAlive(agent)
	if a.isSilent(agent) {
		next := maps.Clone(a.silent)
		delete(next, agent)
		a.silent = next
		a.revision++
	}
}

// reset forgets all agents. One that was silent may not be probed for long, and must not count as silent in a later cut.
func (a *answers) reset() {
	if len(a.silent) > 0 {
		a.silent = map[netip.AddrPort]cherviltide.Millis{}
		a.revision++
	}
	a.detector = detector.New()
}

// Answered records that an echo came from an agent.
func (r *Reacher) Answered(agent netip.AddrPort) { r.answers.answered(agent) }

// Answers reports whether an agent answers probes, or has not been probed often enough to tell. It always does
// while no domain is closed.
func (r *Reacher) Answers(agent netip.AddrPort) bool { return !r.answers.isSilent(agent) }

// Silent returns the agents for which Answers is false. The map must not be modified; later changes do not affect it.
func (r *Reacher) Silent() map[netip.AddrPort]cherviltide.Millis { return r.answers.silent }

// AnswersRevision returns a number that changes whenever the result of Answers changes for an agent.
func (r *Reacher) AnswersRevision() uint64 { return r.answers.revision }
