package commands

import (
	"cherviltide.example/cherviltide/clock"
	"cherviltide.example/cherviltide/follower"
	"cherviltide.example/cherviltide/loader"
	"cherviltide.example/cherviltide/logger"
	"cherviltide.example/cherviltide/prober"
)

// newProbe returns the readiness check of a data path and the prober that serves its result and the metrics of the process.
func newProbe(s loader.Process, f *follower.Follower, inForce func() uint64, log *logger.Log) (*prober.DataPathCheck, *prober.Prober) {
	seen := func() uint64 { return f.View().Rules.Revision }
	path := &prober.DataPathCheck{RevisionSeen: seen, RevisionInForce: inForce, IsLeaving: f.Leaving, Clock: clock.NewSystem()}
	p := prober.New(prober.Config{Listen: s.Probe, Ready: path.Ready})
	log.RegisterMetrics(p)
	p.Metric("Rules.RevisionSeen", func() any { return seen() })
	p.Metric("Rules.RevisionInForce", func() any { return inForce() })
	p.Metric("Membership.Position", func() any { return f.View().Position })
	return path, p
}
