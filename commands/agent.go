package commands

import (
	"context"
	"crypto/tls"
	"io"
	"os"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/admitter"
	"cherviltide.example/cherviltide/certifier"
	"cherviltide.example/cherviltide/clock"
	"cherviltide.example/cherviltide/framer"
	"cherviltide.example/cherviltide/holder"
	"cherviltide.example/cherviltide/loader"
	"cherviltide.example/cherviltide/logger"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/proxier"
	"cherviltide.example/cherviltide/reporter"
	"cherviltide.example/cherviltide/supervisor"
)

const (
	// maxReportedRate bounds the service rate in announcements, in thousandths of a nominal slot.
	maxReportedRate = 1_000_000
)

type agentCommand struct {
	Settings string   `arg:"required" help:"settings file (JSON)"`
	Set      []string `arg:"--set,separate" help:"NAME=VALUE overrides the file and the environment"`
}

func (c *agentCommand) run(ctx context.Context, _ io.Writer, log *logger.Log) error {
	var s loader.Agent
	if err := loader.Read(c.Settings, &s, c.Set...); err != nil {
		return err
	}
	key, err := s.ParsePacketKey()
	if err != nil {
		return err
	}
	callers, err := certifier.ServerConfig(certifier.Files(s.CallerTLS), "h3")
	if err != nil {
		return err
	}
	return runAgent(ctx, s, key, callers, log)
}

// runAgent runs the agent until ctx ends, and then completes the requests in progress.
func runAgent(ctx context.Context, s loader.Agent, key [16]byte, callers *tls.Config, log *logger.Log) error {
	member := newMember(s.Process, cherviltide.RoleAgent, s.Service, s.Data, s.Peer)
	system := clock.NewSystem()
	slots := admitter.New(admitter.Config{Slots: s.Slots}, system)
	var data *holder.Holder
	counter := reporter.NewCounter()
	f, err := newFollower(s.Process, member, s.Service, log.Logger, func(r *messenger.AnnounceRequest) {
		r.RevisionInForce = data.RevisionInForce()
		r.Generation, r.OldestGeneration = data.Generations()
		r.OpenFlows = data.Flows()
		r.Rate = serviceRate(slots)
		r.Counters = counter.Snapshot()
	})
	if err != nil {
		return err
	}
	claims, err := newClaimer(s, member, f, system)
	if err != nil {
		return err
	}
	servePeers, err := newPeerServer(s, claims)
	if err != nil {
		return err
	}
	data, err = holder.Listen(holder.Config{
		Self: member, Framer: framer.New(key), Clock: system, View: f.View,
		Busy: func() bool { return f.Leaving() || anyKindWouldMissDeadline(f.View().Rules, s.Service, slots) },
	})
	if err != nil {
		return err
	}
	server := proxier.New(proxier.Config{
		Service: s.Service, Target: s.Target, TLS: callers, Clock: system, Log: log.Logger,
		Rules: func() cherviltide.Rules { return f.View().Rules },
		Slots: slots, Claims: claims, Recorder: counter, ResetKey: loader.StatelessResetKey(key),
	})
	// quic-go would print a plain-text warning about the receive buffer, which the holder sets itself. The log must contain
	// only JSON lines.
	if err := os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true"); err != nil {
		return err
	}
	log.Info("AgentStarted", zap.String("Name", s.Name))
	path, probe := newProbe(s.Process, f, data.RevisionInForce, log)
	probe.Counters("Holder", &data.Counters)
	probe.Metric("Holder.Flows", func() any { return data.Flows() })
	probe.Metric("Requests", func() any { return counter.Snapshot() })
	return supervisor.Daemon{
		Serve:        path.Track(func(ctx context.Context) error { return server.Run(ctx, data) }),
		Dependencies: []func(context.Context) error{path.Track(data.Run), slots.Run, claims.Run, servePeers, probe.Run},
	}.Run(ctx, f, log.Logger)
}

// serviceRate returns the target's measured service rate in thousandths of a nominal slot, or 0 if it is not known yet.
func serviceRate(slots *admitter.Admitter) uint32 {
	return uint32(min(slots.Rate()*1000/cherviltide.NominalRate, maxReportedRate))
}

// anyKindWouldMissDeadline reports whether the target's queue is so long that a new request of one of the service's kinds
// would miss its deadline.
func anyKindWouldMissDeadline(rules cherviltide.Rules, service string, slots *admitter.Admitter) bool {
	for _, k := range rules.Kinds {
		if k.Service == service && slots.WouldMissDeadline(k) {
			return true
		}
	}
	return false
}
