package commands

import (
	"context"
	"io"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/admitter"
	"cherviltide.example/cherviltide/certifier"
	"cherviltide.example/cherviltide/clock"
	"cherviltide.example/cherviltide/framer"
	"cherviltide.example/cherviltide/holder"
	"cherviltide.example/cherviltide/loader"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/proxier"
)

type agentCommand struct {
	Settings string `arg:"required" help:"settings file (JSON)"`
}

func (c *agentCommand) run(ctx context.Context, _ io.Writer, log *zap.Logger) error {
	var s loader.Agent
	if err := loader.Read(c.Settings, &s); err != nil {
		return err
	}
	key, err := s.Key()
	if err != nil {
		return err
	}
	callers, err := certifier.Server(certifier.Files(s.CallerTLS), "h3")
	if err != nil {
		return err
	}
	member := newMember(s.Process, cherviltide.RoleAgent, s.Service, s.Data, s.Peer)
	var data *holder.Holder
	f, err := newFollower(s.Process, member, s.Service, log, func(r *messenger.AnnounceRequest) {
		r.RevisionInForce = data.InForce()
		r.Generation, r.OldestGeneration = data.Generations()
	})
	if err != nil {
		return err
	}
	system := clock.NewSystem()
	data, err = holder.Listen(holder.Config{
		Self: member, Framer: framer.New(key), Clock: system, View: f.View, Busy: func() bool { return false },
	})
	if err != nil {
		return err
	}
	server := proxier.New(proxier.Config{
		Service: s.Service, Target: s.Target, TLS: callers, Clock: system, Log: log,
		Rules: func() cherviltide.Rules { return f.View().Rules },
		Slots: admitter.New(s.Slots),
	})
	log.Info("AgentStarted", zap.String("Name", s.Name))
	return work{
		Serve:   func(ctx context.Context) error { return server.Run(ctx, data) },
		Support: []func(context.Context) error{data.Run},
	}.run(ctx, f, log)
}
