package commands

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/certifier"
	"cherviltide.example/cherviltide/follower"
	"cherviltide.example/cherviltide/loader"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/runner"
)

const (
	// nominalWeight is the weight of a target before its speed is known.
	nominalWeight = 1000
	// endTimeout bounds the last announcement of a process that stops.
	endTimeout = 2 * time.Second
	// drainInterval is the time between two looks at a stopping process.
	drainInterval = 100 * time.Millisecond
)

// work is what a process does beside following control.
type work struct {
	// Serve takes work until its context ends, then finishes what it has.
	Serve func(context.Context) error
	// Support has what Serve needs until it has finished.
	Support []func(context.Context) error
	// Activity counts datagrams of others that still rely on the process; nil counts none.
	Activity func() uint64
}

// run runs the work and the follower. When ctx ends it announces that the process leaves, goes on until others have
// heard of it, lets the work finish, and only then stops the follower and what supports the work. The end of any part
// stops the others.
func (w work) run(ctx context.Context, f *follower.Follower, log *zap.Logger) error {
	supportCtx, stopSupport := context.WithCancel(context.WithoutCancel(ctx))
	defer stopSupport()
	serveCtx, stopServing := context.WithCancel(supportCtx)
	defer stopServing()
	parts := append([]func(context.Context) error{f.Run}, w.Support...)
	support, served := make(chan runner.End, len(parts)), make(chan runner.End, 2)
	for _, part := range parts {
		runner.Start(supportCtx, "support", support, part)
	}
	runner.Start(serveCtx, "serve", served, w.Serve)
	runner.Start(serveCtx, "leave", served, func(serveCtx context.Context) error {
		defer stopServing()
		return w.leave(ctx, serveCtx, f, log)
	})
	var err error
	for open := cap(served); open > 0; {
		select {
		case end := <-served:
			err = errors.Join(err, end.Err)
			open--
		case end := <-support:
			err = errors.Join(err, end.Err)
			parts = parts[1:]
		}
		stopServing()
	}
	w.end(supportCtx, f, log)
	stopSupport()
	for range parts {
		err = errors.Join(err, (<-support).Err)
	}
	return err
}

// leave waits for the end of ctx, announces it, and returns when the process may stop serving.
func (w work) leave(ctx, serveCtx context.Context, f *follower.Follower, log *zap.Logger) error {
	select {
	case <-ctx.Done():
	case <-f.Drained():
	case <-serveCtx.Done():
		return nil
	}
	log.Info("Leaving")
	f.Leave()
	activity := w.Activity
	if activity == nil {
		activity = func() uint64 { return 0 }
	}
	started := time.Now()
	elapsed := func() cherviltide.Millis { return cherviltide.MillisOf(time.Since(started)) }
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for d := newDrain(elapsed(), activity()); !d.done(elapsed(), activity()); {
		select {
		case <-serveCtx.Done():
			return nil
		case <-ticker.C:
		}
	}
	return nil
}

// end announces that the process has finished.
func (w work) end(ctx context.Context, f *follower.Follower, log *zap.Logger) {
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	if err := f.End(ctx); err != nil {
		log.Info("EndNotAnnounced", zap.Error(err))
	}
}

func newFollower(p loader.Process, m cherviltide.Member, service string, log *zap.Logger, report func(*messenger.AnnounceRequest)) (*follower.Follower, error) {
	client, err := clientTLS(p)
	if err != nil {
		return nil, err
	}
	newClient, err := controlClients(p)
	if err != nil {
		return nil, err
	}
	return follower.New(follower.Config{
		Member:    m,
		Service:   service,
		Control:   controlURLs(p.Control, client),
		NewClient: newClient,
		Report:    report,
		Log:       log,
	}), nil
}

// controlClients returns what makes clients of control instances; each has the newest identity and authority.
func controlClients(p loader.Process) (func() *http.Client, error) {
	if p.TLS == (loader.TLS{}) {
		return func() *http.Client { return messenger.NewClient(nil) }, nil
	}
	source, err := certifier.NewSource(certifier.Files(p.TLS), "h2")
	if err != nil {
		return nil, err
	}
	return func() *http.Client {
		return messenger.NewClient(certifier.RequireRole(source.Client(), cherviltide.RoleControl))
	}, nil
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
