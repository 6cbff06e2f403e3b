// Package pinger sends the probes of package reacher over the socket of a data path and makes its decisions available to it.
package pinger

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/follower"
	"cherviltide.example/cherviltide/framer"
	"cherviltide.example/cherviltide/reacher"
)

const (
	// trafficHold is how long after a packet the process counts as forwarding traffic.
	trafficHold cherviltide.Millis = 1_000
	// membersInterval is the shortest time between two collections of the agents to probe, which reads all tables.
	membersInterval cherviltide.Millis = 1_000
	// maxNameSize bounds the name of the sender's failure domain in the payload of a probe, in bytes.
	maxNameSize = 64
)

// Limits of the roles. Entries decide for all new flows and find a cut within about 300 ms. Agents need it for offers and searches,
// and find it within about 450 ms: at 50 ms, probes took 0.6% of a core at each of three agents, more than half of what their
// traffic took. Agents open a domain 150 ms earlier than entries, so that their holder notices arrive before entries send
// packets to owners in that domain again.
var (
	EntryLimits = reacher.Limits{MinInterval: 50, AverageInterval: 25, OpenAfter: 6}
	AgentLimits = reacher.Limits{MinInterval: 200, AverageInterval: 100, OpenAfter: 3}
)

// Config describes the process that probes.
type Config struct {
	// FailureDomain is that of the process. Self is its own address, which is not probed.
	FailureDomain string
	Self          netip.AddrPort
	Limits        reacher.Limits
	View          func() *follower.View
	// Send sends a datagram from the address that receives the echoes. Changed is called after a domain was closed or opened.
	Send    func(datagram []byte, to netip.AddrPort)
	Changed func()
	Log     *zap.Logger
}

// Counters count datagrams since the start of the process.
type Counters struct {
	// Probes were sent, Echoes received; Answered counts the probes of others that were answered.
	Probes, Echoes, Answered atomic.Uint64
}

// Pinger probes failure domains. It is safe for concurrent use. A nil Pinger probes nothing and closes nothing.
type Pinger struct {
	config  Config
	started time.Time
	mu      sync.Mutex
	reacher *reacher.Reacher
	// shortForms has the agents whose last echo had the short header.
	shortForms map[netip.AddrPort]bool
	state      atomic.Pointer[state]
	traffic    atomic.Bool
	// retainer decides which agents are used during a cut. view is the view whose agents are probed, collectedAt when they were
	// collected, collections how often that was done with retained agents. lastTraffic is the time of the last traffic. Only Run uses these.
	retainer                 follower.Retainer
	view                     *follower.View
	collectedAt, lastTraffic cherviltide.Millis
	collections              int
	Counters                 Counters
}

// state is what the data path uses. It is immutable.
type state struct {
	closed []string
	// view replaces the present view while agents are retained, and is nil otherwise. agents is their number.
	view   *follower.View
	agents int
}

// New returns a pinger, or nil when the process has no failure domain.
func New(config Config) *Pinger {
	if config.FailureDomain == "" {
		return nil
	}
	return &Pinger{
		config: config, started: time.Now(), reacher: reacher.New(config.Limits, config.FailureDomain),
		shortForms: map[netip.AddrPort]bool{}, collectedAt: -membersInterval, lastTraffic: -trafficHold,
	}
}

// Closed returns the names of the closed failure domains. The slice must not be modified.
func (p *Pinger) Closed() []string {
	if p == nil {
		return nil
	}
	if s := p.state.Load(); s != nil {
		return s.closed
	}
	return nil
}

// Domains returns the state of the failure domains, for metrics.
func (p *Pinger) Domains() []reacher.State {
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reacher.States(p.now())
}

// MarkTraffic records that the process forwards packets, so that domains are probed at the short interval.
func (p *Pinger) MarkTraffic() {
	if p != nil && !p.traffic.Load() {
		p.traffic.Store(true)
	}
}

// Suspect makes a probe to a domain due, after an entry has reported that it does not reach the domain.
func (p *Pinger) Suspect(domain string) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reacher.Suspect(p.now(), domain)
}

// Handle handles a datagram if it is a probe or an echo, and reports whether it is one.
func (p *Pinger) Handle(view *follower.View, header framer.Header, payload []byte, sender netip.AddrPort) bool {
	switch {
	case header.Type != framer.TypeReachProbe && header.Type != framer.TypeReachEcho:
		return false
	case p == nil:
	case header.Type == framer.TypeReachEcho:
		p.Counters.Echoes.Add(1)
		p.mu.Lock()
		p.reacher.Echo(p.now(), header.Generation)
		p.reacher.Answered(sender)
		p.learnForm(header, sender)
		p.mu.Unlock()
	default:
		p.Counters.Answered.Add(1)
		p.mu.Lock()
		p.reacher.Received(p.now(), string(payload))
		p.mu.Unlock()
		echo := framer.Header{Type: framer.TypeReachEcho, Generation: header.Generation}
		p.send(view, echo, nil, sender, header.Position == framer.PositionShortReach)
	}
	return true
}

func (p *Pinger) now() cherviltide.Millis { return cherviltide.MillisOf(time.Since(p.started)) }

// send sends a probe or an echo, with the short header if the receiver knows it.
func (p *Pinger) send(view *follower.View, header framer.Header, payload []byte, to netip.AddrPort, short bool) {
	f := framer.New(view.Key)
	if short {
		p.config.Send(f.AppendReach(make([]byte, 0, framer.ReachHeaderSize+maxNameSize), header, payload), to)
		return
	}
	b := append(make([]byte, framer.HeaderSize, framer.HeaderSize+maxNameSize), payload...)
	f.Encode(b, header, len(payload))
	p.config.Send(b, to)
}

// maxShortForms bounds the agents that are known to know the short header; beyond it all are forgotten.
const maxShortForms = 4_096

// learnForm records whether an agent has sent an echo with the short header. It requires p.mu.
func (p *Pinger) learnForm(header framer.Header, agent netip.AddrPort) {
	if header.Position != framer.PositionShortReach {
		return
	}
	if len(p.shortForms) >= maxShortForms {
		clear(p.shortForms)
	}
	p.shortForms[agent] = true
}

// takeForm reports whether the next probe to an agent has the short header. Its echo must show that again, so that an agent which
// goes back to an earlier version leaves only one probe unanswered. It requires p.mu.
func (p *Pinger) takeForm(agent netip.AddrPort) bool {
	short := p.shortForms[agent]
	delete(p.shortForms, agent)
	return short
}

// Run sends probes until ctx ends.
func (p *Pinger) Run(ctx context.Context) error {
	if p == nil {
		<-ctx.Done()
		return nil
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		timer.Reset(p.tick().Duration())
	}
}

// decide sets the domains, unless they are nil, and returns the probes that are due, whether each has the short header, the changes
// and the time until the next call.
func (p *Pinger) decide(now cherviltide.Millis, domains []reacher.Domain) ([]reacher.Probe, []bool, []reacher.Change, cherviltide.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if domains != nil {
		p.reacher.SetDomains(domains)
	}
	probes := p.reacher.Tick(now, now-p.lastTraffic < trafficHold)
	forms := make([]bool, len(probes))
	for i, x := range probes {
		forms[i] = p.takeForm(x.To)
	}
	return probes, forms, p.reacher.TakeChanges(), p.reacher.NextTick(now)
}

// tick sends the probes that are due and returns the time until the next call.
func (p *Pinger) tick() cherviltide.Millis {
	now, view := p.now(), p.config.View()
	if p.traffic.Swap(false) {
		p.lastTraffic = now
	}
	used, _ := p.retain(view)
	var domains []reacher.Domain
	if now-p.collectedAt >= membersInterval && (used != p.view || used != view) {
		p.view, p.collectedAt = used, now
		if used != view {
			// Control does not remove retained agents that die, so all of them are probed in the course of time.
			p.collections++
		}
		domains = Domains(used, p.config.Self, p.collections)
	}
	probes, forms, changes, next := p.decide(now, domains)
	used, closed := p.retain(view)
	changed := p.publish(view, used, closed)
	name := []byte(p.config.FailureDomain)
	for i, x := range probes {
		p.Counters.Probes.Add(1)
		header := framer.Header{Type: framer.TypeReachProbe, Generation: x.Number, Position: framer.PositionShortReach}
		p.send(view, header, name[:min(len(name), maxNameSize)], x.To, forms[i])
	}
	for _, c := range changes {
		p.logChange(c)
	}
	if (changed || len(changes) > 0) && p.config.Changed != nil {
		p.config.Changed()
	}
	return next
}

func (p *Pinger) logChange(c reacher.Change) {
	event := "DomainOpened"
	if c.Closed {
		event = "DomainClosed"
	}
	p.config.Log.Warn(event, zap.String("Domain", c.Domain), zap.Int("Unanswered", c.Unanswered),
		zap.Int64("SilentMs", int64(c.SilentFor)), zap.Bool("Heard", c.Heard), zap.Bool("Isolated", c.Isolated))
}
