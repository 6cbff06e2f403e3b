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
	"cherviltide.example/cherviltide/prober"
	"cherviltide.example/cherviltide/registrar"
	"cherviltide.example/cherviltide/reporter"
	"cherviltide.example/cherviltide/runner"
	"cherviltide.example/cherviltide/tracker"
	"cherviltide.example/cherviltide/voter"
)

const (
	// leaseInterval is the time between two checks of the members' leases.
	leaseInterval cherviltide.Millis = 250
	// tickInterval is the time between two ticks of the voters.
	tickInterval = 20 * time.Millisecond
	// confirmTimeout bounds the wait for a majority to confirm the leader.
	confirmTimeout = time.Second
	// acceptTimeout bounds the wait for a majority to accept an edit.
	acceptTimeout = 4 * time.Second
)

// Config describes a control instance.
type Config struct {
	Name   string
	Listen netip.AddrPort
	TLS    *tls.Config
	Clock  cherviltide.Clock
	Log    *zap.Logger
	// Data is the folder for durable state.
	Data  string
	Files cherviltide.FileSystem
	// Voters has the instances that keep the logs, this one included; when DynamicVoters is set, those that found the system.
	Voters []Voter
	// DynamicVoters admits voters that Voters does not list, and lets them take the place of silent ones. The name of each voter
	// is then its address, and URL returns the base URL for a name.
	DynamicVoters bool
	URL           func(name string) string
	// Parse reads rules from the operators' configuration; nil means the rules file.
	Parse cherviltide.RulesParser
	// Mount adds handlers of its own to the server; nil adds none.
	Mount func(*http.ServeMux, *Controller)
	// Bootstrap lets the first of Voters found a new system.
	Bootstrap bool
	// NewClient returns a client with connections of its own.
	NewClient func() *http.Client
	// inline makes the loop wait for disk writes, so that tests see the effect of a call when it returns.
	inline bool
}

// Controller is a control instance. Its state belongs to the goroutine that runs loop; others send it closures.
type Controller struct {
	config      Config
	registrar   *registrar.Registrar
	tracker     *tracker.Tracker
	distributor *distributor.Distributor
	// groups is complete before any goroutine starts and never changes.
	groups        map[string]*group
	configuration *group
	membership    *group
	// leasesAt is when the leases are checked next.
	leasesAt cherviltide.Millis
	started  time.Time
	members  members
	burn     *reporter.Merger
	origins  origins
	calls    chan call
	written  chan written
	// syncs has the times of disk writes.
	syncs *prober.Histogram
	// senders has room for the ends of the goroutines that send to peers.
	senders chan runner.Exit
}

// New returns a controller that has not started.
func New(config Config) *Controller {
	if config.Parse == nil {
		config.Parse = parser.Parse
	}
	c := &Controller{
		config:      config,
		registrar:   registrar.New(),
		tracker:     tracker.New(),
		distributor: distributor.New(),
		groups:      map[string]*group{},
		started:     time.Now(),
		burn:        reporter.NewMerger(config.Clock.Now()),
		calls:       make(chan call),
		written:     make(chan written, 2),
		senders:     make(chan runner.Exit, 2*maxPeers),
		syncs:       prober.NewHistogram(),
	}
	c.members = newMembers(&memberLog{controller: c})
	return c
}

// Run serves until ctx ends. It fails when the data folder is in use or damaged, when a write fails, and when another
// identity has taken the place of this one.
func (c *Controller) Run(ctx context.Context) error {
	if err := c.open(); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", c.config.Listen.String())
	if err != nil {
		return fault("controller.Run", cherviltide.KindInternal, err)
	}
	server := messenger.NewServer(c.mux(), c.config.TLS)
	server.BaseContext = func(net.Listener) context.Context { return ctx }
	group := runner.NewGroup(ctx, 2+len(c.groups))
	group.Go("loop", c.loop)
	group.Go("serve", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		return c.serve(server, listener)
	})
	for _, g := range c.groups {
		group.Go("write", func(ctx context.Context) error { return g.write(ctx, c.written, c.syncs) })
	}
	err = group.Wait()
	for _, g := range c.groups {
		for range g.mailboxes {
			<-c.senders
		}
	}
	return err
}

// open opens the groups.
func (c *Controller) open() error {
	var err error
	if c.configuration, err = openGroup(c.config, groupConfiguration, c.registrar); err != nil {
		return err
	}
	if c.membership, err = openGroup(c.config, groupMembership, c.tracker); err != nil {
		return err
	}
	c.configuration.applied, c.membership.applied = c.publish, c.publish
	for _, g := range []*group{c.configuration, c.membership} {
		c.groups[g.name] = g
	}
	return nil
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
	messenger.Step.Handle(mux, c.step)
	messenger.Follow.Handle(mux, c.distributor.Serve)
	c.handleOperators(mux)
	if c.config.Mount != nil {
		c.config.Mount(mux, c)
	}
	return mux
}

// call is work for the loop. done is closed after it and what follows from it were carried out.
type call struct {
	f    func()
	done chan struct{}
}

// loop owns the state.
func (c *Controller) loop(ctx context.Context) error {
	for _, g := range c.groups {
		g.send = func(mailbox <-chan voter.Message, to string) {
			runner.Start(ctx, "send", c.senders, func(ctx context.Context) error { return c.sendTo(ctx, g, to, mailbox) })
		}
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		done := make(chan struct{})
		select {
		case <-ctx.Done():
			return nil
		case call := <-c.calls:
			call.f()
			done = call.done
		case w := <-c.written:
			w.group.voter.WriteCompleted(w.sequence, w.err)
		case <-ticker.C:
			c.tick()
		}
		err := c.stepGroups()
		close(done)
		if err != nil {
			return err
		}
	}
}

func (c *Controller) stepGroups() error {
	for _, g := range []*group{c.configuration, c.membership} {
		if err := g.step(); err != nil {
			c.config.Log.Error("GroupStopped", zap.String("Group", g.name), zap.Error(err))
			return err
		}
	}
	return nil
}

// tick tells the time to the voters, and looks after the members.
func (c *Controller) tick() {
	monotonic := cherviltide.MillisOf(time.Since(c.started))
	c.configuration.voter.Tick(monotonic)
	c.membership.voter.Tick(monotonic)
	turned := c.members.log.Leads() != c.tracker.IsLeader() || c.members.log.Current() == c.members.stale
	if turned || monotonic >= c.leasesAt {
		c.leasesAt = monotonic + leaseInterval
		c.tickMembers()
	}
}

// do runs f in the loop and waits for it.
func (c *Controller) do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case c.calls <- call{f: f, done: done}:
	case <-ctx.Done():
		return fault("controller.do", cherviltide.KindUnavailable, ctx.Err())
	}
	<-done
	return nil
}
