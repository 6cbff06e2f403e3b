package pinger

import (
	"net/netip"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/follower"
	"cherviltide.example/cherviltide/reacher"
)

// sampleSize is the number of agents of a domain that one process probes in turn. Other processes probe others.
const sampleSize = 16

// View returns the view that the data path uses: the present one, or during a cut one with the agents that control has lost and
// this process still reaches.
func (p *Pinger) View(present *follower.View) *follower.View {
	if p == nil {
		return present
	}
	if s := p.state.Load(); s != nil && s.view != nil {
		return s.view
	}
	return present
}

// Retained returns the number of agents that are used although control has lost them, for metrics.
func (p *Pinger) Retained() int {
	if p == nil {
		return 0
	}
	if s := p.state.Load(); s != nil {
		return s.agents
	}
	return 0
}

// retain returns the view to use and the closed domains that it is for. It does not hold p.mu while it computes tables, which may
// take long with thousands of services, because the data path waits for p.mu.
func (p *Pinger) retain(present *follower.View) (used *follower.View, closed []string) {
	p.mu.Lock()
	closed, silent, revision := p.reacher.Closed(), p.reacher.Silent(), p.reacher.AnswersRevision()
	p.mu.Unlock()
	answers := func(agent netip.AddrPort) bool {
		_, isSilent := silent[agent]
		return !isSilent
	}
	return p.retainer.Update(present, closed, revision, answers), closed
}

// publish makes the closed domains and the view to use available to the data path. It reports whether the process has begun or
// ceased to use retained agents.
func (p *Pinger) publish(present, used *follower.View, closed []string) bool {
	next := &state{closed: closed, agents: p.retainer.Agents()}
	if used != present {
		next.view = used
	}
	previous := p.state.Swap(next)
	before := previous != nil && previous.view != nil
	switch {
	case !before && next.view != nil:
		p.config.Log.Warn("AgentsRetained", zap.Int("Agents", next.agents), zap.Strings("Closed", next.closed), zap.Uint64("Position", present.Position))
	case before && next.view == nil:
		p.config.Log.Warn("AgentsNotRetained", zap.Strings("Closed", next.closed), zap.Uint64("Position", present.Position))
	}
	return before != (next.view != nil)
}

// Domains returns the failure domains of a view's agents other than self, with a sample of the agents of each. Another round
// gives another sample. The result is not nil.
func Domains(view *follower.View, self netip.AddrPort, round int) []reacher.Domain {
	domains := []reacher.Domain{}
	var members []cherviltide.Member
	indexes, counts := map[string]int{}, []uint64{}
	seed := self.String() + "/" + strconv.Itoa(round)
	for _, table := range view.Tables {
		members = table.AppendMembers(members[:0])
		for _, m := range members {
			if m.Address == self || !m.Address.Addr().Is4() || m.FailureDomain == "" {
				continue
			}
			i, ok := indexes[m.FailureDomain]
			if !ok {
				i = len(domains)
				indexes[m.FailureDomain] = i
				domains, counts = append(domains, reacher.Domain{Name: m.FailureDomain}), append(counts, 0)
			}
			counts[i]++
			d := &domains[i]
			if len(d.Agents) < sampleSize {
				d.Agents = append(d.Agents, m.Address)
			} else if at := xxhash.Sum64String(seed+m.Name) % counts[i]; at < sampleSize {
				d.Agents[at] = m.Address
			}
		}
	}
	return domains
}
