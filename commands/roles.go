package commands

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/admitter"
	"cherviltide.example/cherviltide/certifier"
	"cherviltide.example/cherviltide/clock"
	"cherviltide.example/cherviltide/controller"
	"cherviltide.example/cherviltide/follower"
	"cherviltide.example/cherviltide/forwarder"
	"cherviltide.example/cherviltide/framer"
	"cherviltide.example/cherviltide/holder"
	"cherviltide.example/cherviltide/loader"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/proxier"
	"cherviltide.example/cherviltide/runner"
)

const (
	// nominalWeight is the weight of a target before its speed is known.
	nominalWeight = 1000
	// endTimeout bounds the last announcement of a process that stops.
	endTimeout = 2 * time.Second
	// leaveGrace is how long a stopping process goes on taking work, so that others hear that it leaves.
	leaveGrace = 2 * time.Second
)

type entryCommand struct {
	Settings string `arg:"required" help:"settings file (JSON)"`
}

func (c *entryCommand) run(ctx context.Context, _ io.Writer, log *zap.Logger) error {
	var s loader.Entry
	if err := loader.Read(c.Settings, &s); err != nil {
		return err
	}
	key, err := s.Key()
	if err != nil {
		return err
	}
	member := newMember(s.Process, cherviltide.RoleEntry, "", s.Internal, netip.AddrPort{})
	var data *forwarder.Forwarder
	f, err := newFollower(s.Process, member, "", log, func(r *messenger.AnnounceRequest) { r.RevisionInForce = data.InForce() })
	if err != nil {
		return err
	}
	data, err = forwarder.Listen(forwarder.Config{
		Listen: s.Listen, Ports: ports(s.Ports), Internal: s.Internal, Framer: framer.New(key), View: f.View,
	})
	if err != nil {
		return err
	}
	log.Info("EntryStarted", zap.String("Name", s.Name))
	return runGracefully(ctx, f, log, data.Run)
}

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
	return runGracefully(ctx, f, log, data.Run, func(ctx context.Context) error { return server.Run(ctx, data) })
}

type controlCommand struct {
	Settings string `arg:"required" help:"settings file (JSON)"`
}

func (c *controlCommand) run(ctx context.Context, _ io.Writer, log *zap.Logger) error {
	var s loader.Control
	if err := loader.Read(c.Settings, &s); err != nil {
		return err
	}
	server, err := serverTLS(s.Process)
	if err != nil {
		return err
	}
	log.Info("ControlStarted", zap.String("Name", s.Name))
	return controller.New(controller.Config{
		Name: s.Name, Listen: s.Listen, TLS: server, Clock: clock.NewSystem(), Log: log,
	}).Run(ctx)
}

// runGracefully runs the data path and the follower. When ctx ends it announces that the process leaves, lets the data
// path finish, and only then stops the follower.
func runGracefully(ctx context.Context, f *follower.Follower, log *zap.Logger, data ...func(context.Context) error) error {
	followCtx, stopFollower := context.WithCancel(context.WithoutCancel(ctx))
	defer stopFollower()
	ends := make(chan runner.End, 1)
	runner.Start(followCtx, "follower", ends, f.Run)
	dataCtx, stopData := context.WithCancel(context.WithoutCancel(ctx))
	defer stopData()
	stop := context.AfterFunc(ctx, func() {
		log.Info("Leaving")
		f.Leave()
		time.AfterFunc(leaveGrace, stopData)
	})
	defer stop()
	group := runner.NewGroup(dataCtx, len(data))
	for _, run := range data {
		group.Go("data", run)
	}
	err := group.Wait()
	endCtx, cancel := context.WithTimeout(followCtx, endTimeout)
	defer cancel()
	if endErr := f.End(endCtx); endErr != nil {
		log.Info("EndNotAnnounced", zap.Error(endErr))
	}
	stopFollower()
	<-ends
	return err
}

func newFollower(p loader.Process, m cherviltide.Member, service string, log *zap.Logger, report func(*messenger.AnnounceRequest)) (*follower.Follower, error) {
	client, err := clientTLS(p)
	if err != nil {
		return nil, err
	}
	return follower.New(follower.Config{
		Member:    m,
		Service:   service,
		Control:   controlURLs(p.Control, client),
		NewClient: func() *http.Client { return messenger.NewClient(client) },
		Report:    report,
		Log:       log,
	}), nil
}

func controlURLs(addresses []netip.AddrPort, client *tls.Config) []string {
	var list []string
	for _, a := range addresses {
		list = append(list, messenger.Scheme(client)+a.String())
	}
	return list
}

func clientTLS(p loader.Process) (*tls.Config, error) {
	if p.TLS == (loader.TLS{}) {
		return nil, nil
	}
	return certifier.Client(certifier.Files(p.TLS), "h2")
}

func serverTLS(p loader.Process) (*tls.Config, error) {
	if p.TLS == (loader.TLS{}) {
		return nil, nil
	}
	return certifier.Server(certifier.Files(p.TLS), "h2")
}

func ports(list []loader.Port) []forwarder.Port {
	var out []forwarder.Port
	for _, p := range list {
		out = append(out, forwarder.Port(p))
	}
	return out
}

func newMember(p loader.Process, role cherviltide.Role, service string, data, peer netip.AddrPort) cherviltide.Member {
	return cherviltide.Member{
		Name:          p.Name,
		Role:          role,
		Incarnation:   uint64(time.Now().UnixNano()),
		Address:       data,
		Peer:          peer,
		FailureDomain: p.FailureDomain,
		Region:        p.Region,
		Service:       service,
		Weight:        nominalWeight,
	}
}
