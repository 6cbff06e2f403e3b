// Package controller is the control process: it accepts operators' edits and members' announcements, writes both to
// replicated logs and distributes the result.
package controller

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"crypto/tls"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/distributor"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/registrar"
	"cherviltide.example/cherviltide/reporter"
	"cherviltide.example/cherviltide/runner"
	"cherviltide.example/cherviltide/tracker"
)

// tickInterval is the time between two checks of the members' leases.
const tickInterval = 250 * time.Millisecond

// Error is a failure of the control process.
type Error struct{ cherviltide.Fault }

// Config describes a control instance.
type Config struct {
	Name   string
	Listen netip.AddrPort
	TLS    *tls.Config
	Clock  cherviltide.Clock
	Log    *zap.Logger
}

// Controller is a control instance. Its state belongs to the goroutine that runs loop; others send it closures.
type Controller struct {
	config      Config
	registrar   *registrar.Registrar
	tracker     *tracker.Tracker
	distributor *distributor.Distributor
	members     members
	burn        *reporter.Merger
	origins     origins
	calls       chan func()
}

// New returns a controller that has not started.
func New(config Config) *Controller {
	c := &Controller{
		config:      config,
		registrar:   registrar.New(),
		tracker:     tracker.New(),
		distributor: distributor.New(),
		burn:        reporter.NewMerger(config.Clock.Now()),
		calls:       make(chan func()),
	}
	c.members = newMembers(&alone{commit: c.commitMember})
	return c
}

// Run serves until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", c.config.Listen.String())
	if err != nil {
		return &Error{cherviltide.Fault{Op: "controller.Run", Kind: cherviltide.KindInternal, Err: err}}
	}
	server := messenger.NewServer(c.mux(), c.config.TLS)
	server.BaseContext = func(net.Listener) context.Context { return ctx }
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	group := runner.NewGroup(ctx, 2)
	group.Go("loop", c.loop)
	group.Go("serve", func(context.Context) error { return c.serve(server, listener) })
	return group.Wait()
}

func (c *Controller) serve(server *http.Server, listener net.Listener) error {
	var err error
	if c.config.TLS == nil {
		err = server.Serve(listener)
	} else {
		err = server.ServeTLS(listener, "", "")
	}
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

func (c *Controller) mux() *http.ServeMux {
	mux := http.NewServeMux()
	messenger.Announce.Handle(mux, c.announce)
	messenger.Apply.Handle(mux, c.apply)
	messenger.Current.Handle(mux, c.current)
	messenger.Status.Handle(mux, c.status)
	messenger.Follow.Handle(mux, c.distributor.Serve)
	c.handleOperators(mux)
	return mux
}

// loop owns the state.
func (c *Controller) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case call := <-c.calls:
			call()
		case <-ticker.C:
			c.tickMembers()
		}
	}
}

// do runs f in the loop and waits for it.
func (c *Controller) do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case c.calls <- func() { f(); close(done) }:
	case <-ctx.Done():
		return &Error{cherviltide.Fault{Op: "controller.do", Kind: cherviltide.KindUnavailable, Err: ctx.Err()}}
	}
	<-done
	return nil
}
