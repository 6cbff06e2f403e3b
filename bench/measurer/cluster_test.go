package measurer

import (
	"errors"
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/picker"
)

// init fixes the seed of the property tests; the command line can set another one.
func init() {
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}
}

// history drives a cluster through random planned changes and traffic and checks where datagrams go.
type history struct {
	*cluster
	// holders has the agent that opened each open flow.
	holders map[cherviltide.FlowKey]*modelAgent
	// leaving has the agents whose drain was recorded.
	leaving map[*modelAgent]bool
	nextKey int
	// fault is the first violation; empty means none.
	fault string
	lag   lag
	// trace describes the steps so far.
	trace []string
}

// lag tells which processes apply events late.
type lag struct{ entries, agents bool }

func newHistory(table *picker.Table, lag lag) *history {
	h := &history{
		cluster: newCluster(table, 3, network{}), holders: map[cherviltide.FlowKey]*modelAgent{},
		leaving: map[*modelAgent]bool{}, lag: lag,
	}
	for i := range 3 {
		h.join(modelMember(i, 1, 1000))
	}
	h.catchUp()
	return h
}

func modelService() cherviltide.Service {
	return cherviltide.Service{Name: "chart-store", ID: cherviltide.ServiceIDOf("chart-store"), Buckets: 16}
}

// step draws one planned change, one datagram or one step of a process along the log.
func (h *history) step(t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "step") {
	case 0:
		h.start(rapid.IntRange(0, 7).Draw(t, "name"), rapid.Uint32Range(1, 4000).Draw(t, "weight"))
	case 1:
		h.drain(h.anyAgent(t))
	case 2:
		e := cherviltide.MemberEvent{Type: cherviltide.EventWeighed, Member: h.anyAgent(t).member}
		e.Member.Weight = rapid.Uint32Range(1, 4000).Draw(t, "weight")
		h.record(e)
	case 3:
		h.release(h.anyAgent(t))
		h.note("%d Released", h.last())
	case 4:
		h.end(t)
	case 5, 6:
		h.nextKey++
		h.packet(h.anyEntry(t), modelKey(h.nextKey), true)
	default:
		if keys := h.open(); len(keys) > 0 {
			h.packet(h.anyEntry(t), rapid.SampledFrom(keys).Draw(t, "flow"), rapid.Bool().Draw(t, "opening"))
		}
	}
	h.follow(t)
}

// follow moves processes along the log.
func (h *history) follow(t *rapid.T) {
	for i := range h.entries {
		if h.entries[i] < h.last() && (!h.lag.entries || rapid.Bool().Draw(t, "entry follows")) {
			h.entries[i] = h.last()
		}
	}
	for _, a := range h.running() {
		if a.at < h.last() && (!h.lag.agents || rapid.Bool().Draw(t, "agent follows")) {
			a.at = h.last()
		}
	}
}

func (h *history) anyAgent(t *rapid.T) *modelAgent {
	return rapid.SampledFrom(h.running()).Draw(t, "agent")
}

func (h *history) anyEntry(t *rapid.T) int {
	return rapid.IntRange(0, len(h.entries)-1).Draw(t, "entry")
}

func (h *history) running() []*modelAgent {
	return slices.DeleteFunc(slices.Clone(h.agents), func(a *modelAgent) bool { return !a.up })
}

// open returns the open flows in a fixed order.
func (h *history) open() []cherviltide.FlowKey {
	var list []cherviltide.FlowKey
	for n := 1; n <= h.nextKey; n++ {
		if _, ok := h.holders[modelKey(n)]; ok {
			list = append(list, modelKey(n))
		}
	}
	return list
}

// start joins an agent, with a new incarnation when its name was used before.
func (h *history) start(name int, weight uint32) {
	m := modelMember(name, 1, weight)
	for _, a := range h.agents {
		if a.member.Name != m.Name {
			continue
		}
		if a.up {
			return
		}
		m.Incarnation = a.member.Incarnation + 1
	}
	h.join(m)
	h.note("%d Joined %s/%d weight %d", h.last(), m.Name, m.Incarnation, weight)
}

func (h *history) drain(a *modelAgent) {
	h.record(cherviltide.MemberEvent{Type: cherviltide.EventLeaving, Member: a.member})
	h.leaving[a] = true
}

// end closes a flow, or stops a drained agent that every process knows to leave and that holds nothing.
func (h *history) end(t *rapid.T) {
	if keys := h.open(); len(keys) > 0 {
		key := rapid.SampledFrom(keys).Draw(t, "ended flow")
		delete(h.holders[key].flows, key)
		delete(h.holders, key)
	}
	a := h.anyAgent(t)
	if !h.leaving[a] || len(a.flows) > 0 || len(h.running()) == 1 {
		return
	}
	a.up = false
	h.record(cherviltide.MemberEvent{Type: cherviltide.EventDied, Member: a.member})
}

// packet sends a datagram and records a violation when an open flow is opened or delivered elsewhere, or lost although
// all processes know the same log.
func (h *history) packet(entry int, key cherviltide.FlowKey, opening bool) {
	d := h.send(entry, key, opening)
	want, open := h.holders[key]
	h.note("flow %v opening %v at entry %d: %s", key.Caller, opening, h.entries[entry], d)
	switch {
	case !open && d.opened:
		h.holders[key] = d.agent
	case open && d.agent != nil && d.agent != want:
		h.fail("flow %v of %s went to %s", key.Caller, want.member.Name, d.agent.member.Name)
	case open && d.agent == nil && h.reachable(entry, key):
		h.fail("flow %v of %s was lost", key.Caller, want.member.Name)
	}
}

func (h *history) fail(format string, args ...any) {
	if h.fault == "" {
		h.fault = fmt.Sprintf(format, args...)
	}
}

func (h *history) note(format string, args ...any) {
	var positions []string
	for _, a := range h.running() {
		positions = append(positions, fmt.Sprintf("%s/%d@%d", a.member.Name, a.member.Incarnation, a.at))
	}
	h.trace = append(h.trace, fmt.Sprintf(format, args...)+" "+strings.Join(positions, " "))
}

func (d delivery) String() string {
	if d.agent == nil {
		return fmt.Sprintf("lost after %d hops", d.hops)
	}
	return fmt.Sprintf("%s opened %v after %d hops", d.agent.member.Name, d.opened, d.hops)
}

// record also notes the event.
func (h *history) record(e cherviltide.MemberEvent) {
	h.cluster.record(e)
	h.note("%d %s %s weight %d generation %d", h.last(), e.Type, e.Member.Name, e.Member.Weight, e.Generation)
}

// reachable reports whether a datagram must arrive: the agent that the entry names runs, and all agents have applied the
// whole log. The entry may lag.
func (h *history) reachable(entry int, key cherviltide.FlowKey) bool {
	m, ok := h.tables[h.entries[entry]].Pick(key)
	behind := slices.ContainsFunc(h.running(), func(a *modelAgent) bool { return a.at != h.last() })
	return ok && h.network.find(m.Address) != nil && !behind
}

// settle lets all processes catch up and sends a datagram of each open flow through each entry.
func (h *history) settle() {
	h.catchUp()
	for _, key := range h.open() {
		for e := range h.entries {
			h.packet(e, key, true)
			h.packet(e, key, false)
		}
	}
}

// run returns the first violation in a random history, or an empty text.
func run(t *rapid.T, table *picker.Table, lag lag, careless bool) string {
	h := newHistory(table, lag)
	h.careless = careless
	for range rapid.IntRange(1, 120).Draw(t, "steps") {
		h.step(t)
	}
	h.settle()
	if h.fault != "" {
		t.Logf("steps:\n%s", strings.Join(h.trace, "\n"))
	}
	return h.fault
}

// Guards against planned changes that break flows, also when entries and agents know different parts of the log, and
// against entries of different generations that disagree about the holder of an open flow.
func TestPlannedChangesKeepFlows(t *testing.T) {
	cases := map[string]lag{
		"all current":     {},
		"lagging entries": {entries: true},
		"lagging agents":  {agents: true},
		"all lagging":     {entries: true, agents: true},
	}
	for name, lag := range cases {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				require.Empty(t, run(t, picker.New(modelService()), lag, false))
			})
		})
	}
}

// Guards against a property that would hold without the mechanism that it is about.
func TestPlannedChangesBreakFlowsWithoutMechanism(t *testing.T) {
	cases := map[string]func(*rapid.T) string{
		"without history": func(t *rapid.T) string {
			return run(t, picker.NewWithoutHistory(modelService()), lag{}, false)
		},
		"careless opening": func(t *rapid.T) string {
			return run(t, picker.New(modelService()), lag{agents: true}, true)
		},
	}
	for name, violation := range cases {
		t.Run(name, func(t *testing.T) {
			histories := rapid.Custom(violation)
			for seed := range 500 {
				if histories.Example(seed) != "" {
					return
				}
			}
			t.Fatal("500 random histories show no violation")
		})
	}
}

// Guards against a packet of one service that is delivered to a target of another, when an instance changes the service
// while entries and agents still know its address under the old one. With careless agents the property must fail.
func TestPacketsStayInTheirService(t *testing.T) {
	for seed := range 200 {
		require.Zero(t, rapid.Custom(crossings(false)).Example(seed), "seed %d", seed)
	}
	crossed := 0
	for seed := range 200 {
		crossed += rapid.Custom(crossings(true)).Example(seed)
	}
	require.NotZero(t, crossed)
}

// crossings returns a function that moves instances between two services and counts the packets that crossed.
func crossings(unchecked bool) func(*rapid.T) int {
	return func(t *rapid.T) int {
		shared, crossed := network{}, 0
		other := modelService()
		other.Name, other.ID = "advisory-desk", cherviltide.ServiceIDOf("advisory-desk")
		services := []*cluster{
			newCluster(picker.New(modelService()), 2, shared),
			newCluster(picker.New(other), 2, shared),
		}
		for i := range 80 {
			c := services[rapid.IntRange(0, 1).Draw(t, "service")]
			c.unchecked = unchecked
			m := modelMember(rapid.IntRange(0, 4).Draw(t, "name"), uint64(i+1), 1000)
			if rapid.IntRange(0, 3).Draw(t, "step") == 0 {
				c.join(m)
			}
			if rapid.Bool().Draw(t, "follow") {
				c.catchUp()
			}
			d := c.send(rapid.IntRange(0, 1).Draw(t, "entry"), modelKey(i), true)
			if d.agent != nil && d.agent.home != c {
				crossed++
			}
		}
		return crossed
	}
}
