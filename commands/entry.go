package commands

import (
	"context"
	"io"
	"net/netip"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/forwarder"
	"cherviltide.example/cherviltide/framer"
	"cherviltide.example/cherviltide/loader"
	"cherviltide.example/cherviltide/logger"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/supervisor"
)

type entryCommand struct {
	Settings string   `arg:"required" help:"settings file (JSON)"`
	Set      []string `arg:"--set,separate" help:"NAME=VALUE overrides the file and the environment"`
}

func (c *entryCommand) run(ctx context.Context, _ io.Writer, log *logger.Log) error {
	var s loader.Entry
	if err := loader.Read(c.Settings, &s, c.Set...); err != nil {
		return err
	}
	key, err := s.ParsePacketKey()
	if err != nil {
		return err
	}
	member := newMember(s.Process, cherviltide.RoleEntry, "", s.Internal, netip.AddrPort{})
	var data *forwarder.Forwarder
	f, err := newFollower(s.Process, member, "", log.Logger, func(r *messenger.AnnounceRequest) { r.RevisionInForce = data.RevisionInForce() })
	if err != nil {
		return err
	}
	data, err = forwarder.Listen(forwarder.Config{
		Listen: s.Listen, Ports: forwarderPorts(s.Ports), Internal: s.Internal, Framer: framer.New(key), View: f.View, Log: log.Logger,
	})
	if err != nil {
		return err
	}
	log.Info("EntryStarted", zap.String("Name", s.Name))
	path, probe := newProbe(s.Process, f, data.RevisionInForce, log)
	probe.Counters("Forwarder", &data.Counters)
	for _, r := range forwarder.Reasons() {
		probe.Metric("Forwarder.Dropped."+r.String(), func() any { return data.Counters.Dropped(r) })
	}
	return supervisor.Daemon{
		Serve:        path.Track(data.Run),
		Dependencies: []func(context.Context) error{probe.Run},
		Activity:     func() uint64 { return data.Counters.Forwarded.Load() + data.Counters.Replied.Load() },
	}.Run(ctx, f, log.Logger)
}

func forwarderPorts(list []loader.Port) []forwarder.Port {
	var out []forwarder.Port
	for _, p := range list {
		out = append(out, forwarder.Port(p))
	}
	return out
}
