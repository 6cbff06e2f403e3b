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
	"cherviltide.example/cherviltide/parser"
	"cherviltide.example/cherviltide/registrar"
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
	// position is the newest position of the membership log.
	position uint64
	reports  map[string]messenger.AnnounceRequest
	calls    chan func()
}

// New returns a controller that has not started.
func New(config Config) *Controller {
	return &Controller{
		config:      config,
		registrar:   registrar.New(),
		tracker:     tracker.New(),
		distributor: distributor.New(),
		reports:     map[string]messenger.AnnounceRequest{},
		calls:       make(chan func()),
	}
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
			c.record(c.tracker.Tick(c.config.Clock.Now()))
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

// record appends member events to the log.
func (c *Controller) record(events []cherviltide.MemberEvent) {
	for _, e := range events {
		entry, err := tracker.Encode(e)
		if err != nil {
			c.config.Log.Error("EventNotEncoded", zap.Error(err))
			continue
		}
		c.position++
		c.tracker.Apply(c.position, entry)
		c.config.Log.Info("MemberEvent", zap.String("Type", string(e.Type)), zap.String("Member", e.Member.Name),
			zap.Uint64("Position", c.position))
	}
	if len(events) > 0 {
		c.publish()
	}
}

func (c *Controller) publish() {
	current := c.registrar.Current()
	c.distributor.Publish(distributor.State{
		Revision: current.Number,
		Text:     current.Edit.Text,
		Position: c.position,
		Events:   c.tracker.Events(),
	})
}

func (c *Controller) announce(ctx context.Context, req *messenger.AnnounceRequest) (*messenger.AnnounceResponse, error) {
	err := c.do(ctx, func() {
		c.reports[req.Member.Name] = *req
		c.record(c.tracker.Announce(c.config.Clock.Now(), tracker.Announcement{
			Member:           req.Member,
			Leaving:          req.Leaving,
			Ended:            req.Ended,
			Generation:       req.Generation,
			OldestGeneration: req.OldestGeneration,
		}))
	})
	return &messenger.AnnounceResponse{Lease: tracker.Lease}, err
}

func (c *Controller) apply(ctx context.Context, req *messenger.ApplyRequest) (*messenger.ApplyResponse, error) {
	if _, err := parser.Parse(req.Text); err != nil {
		return nil, err
	}
	edit := registrar.Edit{ID: req.EditID, Operator: req.Operator, Base: req.Base, Text: req.Text, Time: c.config.Clock.Now()}
	entry, err := registrar.Encode(edit)
	if err != nil {
		return nil, err
	}
	var number uint64
	var refused error
	err = c.do(ctx, func() {
		c.registrar.Apply(0, entry)
		number, refused = c.registrar.Result(edit)
		c.publish()
	})
	if err == nil {
		err = refused
	}
	return &messenger.ApplyResponse{Revision: number}, err
}

func (c *Controller) current(ctx context.Context, _ *messenger.CurrentRequest) (*messenger.CurrentResponse, error) {
	res := &messenger.CurrentResponse{Confirmed: true}
	err := c.do(ctx, func() {
		current := c.registrar.Current()
		res.Revision, res.Text = current.Number, current.Edit.Text
	})
	return res, err
}

func (c *Controller) status(ctx context.Context, _ *messenger.StatusRequest) (*messenger.StatusResponse, error) {
	res := &messenger.StatusResponse{Confirmed: true}
	err := c.do(ctx, func() {
		res.Revision, res.Position = c.registrar.Current().Number, c.position
		for _, entry := range c.tracker.Entries() {
			report := c.reports[entry.Member.Name]
			res.Members = append(res.Members, messenger.MemberStatus{
				Member:          entry.Member,
				State:           entry.State,
				RevisionSeen:    report.RevisionSeen,
				RevisionInForce: report.RevisionInForce,
			})
		}
	})
	return res, err
}
