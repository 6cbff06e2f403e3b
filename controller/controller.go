// Package controller is the control process: it accepts operators' edits and members' announcements, replicates both
// through logs and distributes the resulting state to followers.
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
	"cherviltide.example/cherviltide/cacher"
	"cherviltide.example/cherviltide/coalescer"
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
	// leaseCheckInterval is the time between two checks of the members' leases.
	leaseCheckInterval cherviltide.Millis = 250
	// tickInterval is the time between two ticks of the voters.
	tickInterval = 20 * time.Millisecond
	// confirmTimeout bounds the wait for a majority to confirm that this instance leads.
	confirmTimeout = time.Second
	// editTimeout bounds the time until a majority has accepted an edit, which goes on when its caller has given up.
	editTimeout = 10 * time.Second
	// firstForwardTimeout bounds the first attempt to forward an edit to the leader.
	firstForwardTimeout = time.Second
)

// Config describes a control instance.
type Config struct {
	Name   string
	Listen netip.AddrPort
	TLS    *tls.Config
	Clock  cherviltide.Clock
	Log    *zap.Logger
	// Data is the directory for durable state.
	Data  string
	Files cherviltide.FileSystem
	// Voters lists the voters, this instance included. With DynamicVoters it lists only those that bootstrap the system.
	Voters []Voter
	// DynamicVoters admits voters that Voters does not list and lets them replace unresponsive ones. The name of each
	// voter is then its address, and URL returns the base URL for a name.
	DynamicVoters bool
	// MinVoters is the number of voters that tolerates the failures that the deployment must survive; 0 if it is not known.
	MinVoters int
	URL       func(name string) string
	// FailureDomains lists the failure domains that an operator may evacuate, in addition to those that members have
	// announced.
	FailureDomains []string
	// Parse reads rules from the operators' configuration; nil means the rules file. Parsed keeps the results; nil means that
	// the controller has a cacher of its own.
	Parse  cherviltide.RulesParser
	Parsed *cacher.Cacher
	// Mount registers additional handlers on the server; nil registers none.
	Mount func(*http.ServeMux, *Controller)
	// Bootstrap lets the first of Voters bootstrap a new system.
	Bootstrap bool
	// NewClient returns a client that shares no connections with other clients.
	NewClient func() *http.Client
	// synchronousWrites makes the loop wait for disk writes. Tests then see the effect of a call when it returns.
	synchronousWrites bool
}

// Controller is a control instance. Only the goroutine that runs loop, the control goroutine, accesses its state; others
// send it closures.
type Controller struct {
	config      Config
	registrar   *registrar.Registrar
	tracker     *tracker.Tracker
	distributor *distributor.Distributor
	// groups is filled before any goroutine starts and never changes afterwards.
	groups        map[string]*group
	configuration *group
	membership    *group
	// nextLeaseCheck is in monotonic time since started.
	nextLeaseCheck cherviltide.Millis
	started        time.Time
	members        members
	parsed         *cacher.Cacher
	// startParse starts parseBeside; it is nil before the loop runs. parses is the number of its goroutines whose exits have not
	// been read from parseExits.
	startParse    func(registrar.Revision)
	parses        int
	parseExits    chan runner.Exit
	counterMerger *reporter.Merger
	originFinder  sharedOriginFinder
	// pendingEdit is the newest entry of an edit on its way to a majority; nil if there is none.
	pendingEdit *pendingEdit
	// edits has the edits in progress at this instance.
	edits        *coalescer.Coalescer[editKey, *messenger.ApplyResponse]
	calls        chan call
	writeResults chan writeResult
	times        phaseTimes
	// syncTimes has the durations of disk writes.
	syncTimes *prober.Histogram
	// leaving is true from a call of Leave until left receives the names of the groups that have removed this instance.
	leaving bool
	left    chan []string
	// senderExits receives the exits of the goroutines that send to peers; senders is the number of those that were not read.
	senderExits chan runner.Exit
	senders     int
}

// New returns a controller that has not started.
func New(config Config) *Controller {
	if config.Parse == nil {
		config.Parse = parser.Parse
	}
	if config.Parsed == nil {
		config.Parsed = cacher.New(config.Parse)
	}
	c := &Controller{
		config:        config,
		parsed:        config.Parsed,
		registrar:     registrar.New(),
		tracker:       tracker.New(),
		distributor:   distributor.New(),
		groups:        map[string]*group{},
		started:       time.Now(),
		counterMerger: reporter.NewMerger(config.Clock.Now()),
		calls:         make(chan call),
		writeResults:  make(chan writeResult, 2),
		left:          make(chan []string, 1),
		edits:         newEditJobs(),
		senderExits:   make(chan runner.Exit),
		syncTimes:     prober.NewHistogram(),
		times:         newPhaseTimes(),
		parseExits:    make(chan runner.Exit),
	}
	c.members = newMembers(&memberLog{controller: c})
	return c
}

// Run serves until ctx ends. It fails when the data directory is in use or damaged, when a write fails, and when this
// voter identity was replaced by another one or removed.
func (c *Controller) Run(ctx context.Context) error {
	if err := c.openGroups(); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", c.config.Listen.String())
	if err != nil {
		c.closeJournals()
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
		group.Go("write", func(ctx context.Context) error { return g.runWrites(ctx, c.writeResults, c.syncTimes) })
	}
	err = group.Wait()
	c.edits.Close()
	for ; c.senders > 0; c.senders-- {
		<-c.senderExits
	}
	return err
}

// openGroups opens the journals of both groups and starts their voters from the stored state. After an error no journal is
// open, so that its directory can be opened again when the disk has room.
func (c *Controller) openGroups() error {
	var err error
	if c.configuration, err = openGroup(c.config, groupConfiguration, c.registrar); err != nil {
		return err
	}
	if c.membership, err = openGroup(c.config, groupMembership, c.tracker); err != nil {
		_ = c.configuration.journal.Close()
		return err
	}
	c.configuration.onApplied, c.membership.onApplied = c.publish, c.publish
	c.configuration.applyTimes = c.times
	for _, g := range []*group{c.configuration, c.membership} {
		c.groups[g.name] = g
	}
	return nil
}

// closeJournals closes the journals of a controller whose writers have not started.
func (c *Controller) closeJournals() {
	for _, g := range c.groups {
		_ = g.journal.Close()
	}
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
	messenger.Locate.Handle(mux, c.locate)
	messenger.Status.Handle(mux, c.status)
	messenger.Step.Handle(mux, c.step)
	messenger.Follow.Handle(mux, c.distributor.Serve)
	c.handleOperators(mux)
	if c.config.Mount != nil {
		c.config.Mount(mux, c)
	}
	return mux
}

// call is a function to run in the loop. done is closed after it has run and the output that it caused was processed.
type call struct {
	f    func()
	done chan struct{}
}

// loop runs the calls, completes disk writes and ticks the voters. It is the only goroutine that accesses the state.
func (c *Controller) loop(ctx context.Context) error {
	for _, g := range c.groups {
		g.startSender = func(mailbox <-chan voter.Message, to string) {
			c.senders++
			runner.Start(ctx, "send", c.senderExits, func(ctx context.Context) error { return c.sendMessages(ctx, g, to, mailbox) })
		}
	}
	c.startParse = func(revision registrar.Revision) {
		c.parses++
		runner.Start(ctx, "parse", c.parseExits, func(ctx context.Context) error { return c.parseBeside(ctx, revision) })
	}
	defer func() {
		for ; c.parses > 0; c.parses-- {
			<-c.parseExits
		}
	}()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		done := make(chan struct{})
		var started time.Time
		select {
		case <-ctx.Done():
			return nil
		case call := <-c.calls:
			started = time.Now()
			call.f()
			done = call.done
		case w := <-c.writeResults:
			started = time.Now()
			w.group.completeWrite(w.sequence, w.err)
		case <-c.parseExits:
			started = time.Now()
			c.parses--
		case <-c.senderExits:
			started = time.Now()
			c.senders--
		case <-ticker.C:
			started = time.Now()
			c.tick()
		}
		err := c.processGroupOutputs()
		if held := time.Since(started); held >= minLoopTime {
			c.times[phaseLoop].Record(cherviltide.MillisOf(held))
		}
		close(done)
		if err != nil {
			return err
		}
	}
}

func (c *Controller) processGroupOutputs() error {
	for _, g := range []*group{c.configuration, c.membership} {
		if err := g.processOutput(); err != nil {
			c.config.Log.Error("GroupStopped", zap.String("Group", g.name), zap.Error(err))
			return err
		}
	}
	return nil
}

// tick advances the time of the voters. It checks the members at every leaseCheckInterval, and at once when this instance
// gained or lost leadership or contact with a majority.
func (c *Controller) tick() {
	monotonic := cherviltide.MillisOf(time.Since(c.started))
	c.configuration.voter.Tick(monotonic)
	c.membership.voter.Tick(monotonic)
	for _, g := range c.groups {
		g.watch(monotonic)
	}
	c.checkLeave()
	changed := c.members.log.IsLeader() != c.tracker.IsLeader() || c.members.log.IsCurrent() == c.members.stale
	if changed || monotonic >= c.nextLeaseCheck {
		c.nextLeaseCheck = monotonic + leaseCheckInterval
		c.tickMembers()
	}
}

// runInLoop runs f on the control goroutine and waits until the output that it caused was processed.
func (c *Controller) runInLoop(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case c.calls <- call{f: f, done: done}:
	case <-ctx.Done():
		return fault("controller.runInLoop", cherviltide.KindUnavailable, ctx.Err())
	}
	<-done
	return nil
}
