package reacher

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cherviltide.example/cherviltide"
)

const cutAt cherviltide.Millis = 2_000

var limits = Limits{MinInterval: 50, AverageInterval: 25, OpenAfter: 6}

// network carries the probes of one process in domain a to the agents of domains a, b and c in simulated time.
type network struct {
	reacher *Reacher
	random  *rand.Rand
	agents  map[netip.AddrPort]string
	// answers reports whether an agent's echo arrives, delay is the time that it takes.
	answers func(now cherviltide.Millis, domain string, agent netip.AddrPort) bool
	delay   func(now cherviltide.Millis, domain string) cherviltide.Millis
	// echoes has the probes whose echo arrives at a time.
	echoes map[cherviltide.Millis][]Probe
	// lastEcho is when the last echo of a domain arrived, silence the shortest time after it at which a domain was closed.
	lastEcho map[string]cherviltide.Millis
	silence  cherviltide.Millis
	// closedAt and openedAt are the times of the last changes, probes counts those sent.
	closedAt, openedAt map[string]cherviltide.Millis
	probes             int
}

func newNetwork(agents int, seed uint64) *network {
	n := &network{
		reacher: New(limits, "a"), random: rand.New(rand.NewPCG(seed, 0)), agents: map[netip.AddrPort]string{},
		answers: func(cherviltide.Millis, string, netip.AddrPort) bool { return true },
		delay:   func(cherviltide.Millis, string) cherviltide.Millis { return 2 },
		echoes:  map[cherviltide.Millis][]Probe{}, lastEcho: map[string]cherviltide.Millis{}, silence: 1 << 40, closedAt: map[string]cherviltide.Millis{}, openedAt: map[string]cherviltide.Millis{},
	}
	var domains []Domain
	for i, name := range []string{"c", "a", "b"} {
		d := Domain{Name: name}
		for j := range agents {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i), 0, byte(j)}), 7000)
			n.agents[address] = name
			d.Agents = append(d.Agents, address)
		}
		domains = append(domains, d)
	}
	n.reacher.SetDomains(domains)
	return n
}

// loseEchoes makes a share of the echoes of domain b get lost.
func (n *network) loseEchoes(share float64) {
	n.answers = func(_ cherviltide.Millis, domain string, _ netip.AddrPort) bool {
		return domain != "b" || n.random.Float64() >= share
	}
}

// run advances the time from the given one to the end.
func (n *network) run(from, end cherviltide.Millis) {
	nextTick := from
	for now := from; now < end; now++ {
		for _, p := range n.echoes[now] {
			n.reacher.Echo(now, p.Number)
			n.lastEcho[n.agents[p.To]] = now
		}
		delete(n.echoes, now)
		if now < nextTick {
			continue
		}
		for _, p := range n.reacher.Tick(now, true) {
			n.probes++
			if domain := n.agents[p.To]; n.answers(now, domain, p.To) {
				at := now + n.delay(now, domain)
				n.echoes[at] = append(n.echoes[at], p)
			}
		}
		nextTick = now + n.reacher.NextTick(now)
		for _, c := range n.reacher.TakeChanges() {
			if c.Closed {
				n.closedAt[c.Domain] = now
				n.silence = min(n.silence, now-n.lastEcho[c.Domain])
			} else {
				n.openedAt[c.Domain] = now
			}
		}
	}
}

// TestCuts guards against new flows that are sent into a cut for longer than a caller waits, and against domains that are
// closed on too little evidence.
func TestCuts(t *testing.T) {
	cut := func(domains ...string) func(*network) {
		return func(n *network) {
			n.answers = func(now cherviltide.Millis, domain string, _ netip.AddrPort) bool {
				return now < cutAt || !slices.Contains(domains, domain)
			}
		}
	}
	lossy := func(loss float64) func(*network) { return func(n *network) { n.loseEchoes(loss) } }
	slow := func(from, delay cherviltide.Millis) func(*network) {
		return func(n *network) {
			n.delay = func(now cherviltide.Millis, domain string) cherviltide.Millis {
				if now >= from && domain == "b" {
					return delay
				}
				return 2
			}
		}
	}
	for name, test := range map[string]struct {
		agents  int
		prepare func(n *network)
		closed  []string
	}{
		"all answer":                      {4, func(*network) {}, nil},
		"nothing gets out of the own one": {4, cut("b", "c"), []string{"b", "c"}},
		"one cannot be reached":           {4, cut("b"), []string{"b"}},
		"frozen domain with one agent":    {1, cut("c"), []string{"c"}},
		"the process itself is cut off":   {4, cut("a", "b", "c"), nil},
		"30% loss of echoes":              {4, lossy(0.3), nil},
		"one dead agent": {4, func(n *network) {
			n.answers = func(now cherviltide.Millis, _ string, agent netip.AddrPort) bool {
				return now < cutAt || agent.Addr().As4()[3] != 1
			}
		}, nil},
		"becomes slow":     {4, slow(cutAt, 200), nil},
		"always very slow": {4, slow(0, 600), nil},
		"never answered, as with earlier versions": {4, lossy(1), nil},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(test.agents, 1)
			test.prepare(n)
			n.run(0, 8_000)
			require.Equal(t, test.closed, n.reacher.Closed())
			for _, d := range test.closed {
				require.LessOrEqual(t, n.closedAt[d]-cutAt, cherviltide.Millis(330), d)
				require.GreaterOrEqual(t, n.closedAt[d]-cutAt, closeAfter, d)
			}
			if test.closed == nil {
				require.Empty(t, n.closedAt, "a domain was closed meanwhile")
			}
			n.answers = func(cherviltide.Millis, string, netip.AddrPort) bool { return true }
			n.run(8_000, 9_000)
			require.Empty(t, n.reacher.Closed())
			for _, d := range test.closed {
				require.LessOrEqual(t, n.openedAt[d], cherviltide.Millis(8_500), d)
			}
		})
	}
}

// TestLossInBothDirections guards against a lossy link that keeps a domain closed: with 30% loss in each direction, half of the
// probes have no echo.
func TestLossInBothDirections(t *testing.T) {
	closed, times := cherviltide.Millis(0), 0
	for seed := range uint64(20) {
		n := newNetwork(4, seed)
		n.loseEchoes(0.51)
		for now := cherviltide.Millis(0); now < 60_000; now += 50 {
			before := len(n.reacher.Closed())
			n.run(now, now+50)
			closed += cherviltide.Millis(50 * len(n.reacher.Closed()))
			times += max(len(n.reacher.Closed())-before, 0)
		}
	}
	t.Logf("closed %d times, for %d ms of 1,200,000", times, closed)
	require.Less(t, closed, cherviltide.Millis(24_000))
}

// TestPausedProcess guards against domains that are closed because the process itself did not run.
func TestPausedProcess(t *testing.T) {
	n := newNetwork(4, 1)
	n.run(0, 1_000)
	for now := cherviltide.Millis(1_000); now < 9_000; now += 400 {
		n.run(now, now+100)
		clear(n.echoes)
	}
	require.Empty(t, n.closedAt)
}

// TestIsolatedProcess guards against a process that keeps domains closed when its own domain no longer answers either.
func TestIsolatedProcess(t *testing.T) {
	n := newNetwork(4, 1)
	n.answers = func(now cherviltide.Millis, domain string, _ netip.AddrPort) bool {
		return now < cutAt || domain == "a" && now < 4_000
	}
	n.run(0, 3_900)
	require.Equal(t, []string{"b", "c"}, n.reacher.Closed())
	n.run(3_900, 6_000)
	require.Empty(t, n.reacher.Closed())
}

// TestProbeRate guards against probes whose number grows with the agents, and probes without a use.
func TestProbeRate(t *testing.T) {
	for _, agents := range []int{1, 500} {
		n := newNetwork(agents, 1)
		n.run(0, 10_000)
		require.InDelta(t, 400, n.probes, 10, "%d agents", agents)
	}
	probes := func(inUse bool, domains ...Domain) (sent int) {
		r := New(limits, "a")
		r.SetDomains(domains)
		for now := cherviltide.Millis(0); now < 10_000; now += 50 {
			for _, p := range r.Tick(now, inUse) {
				sent++
				r.Echo(now, p.Number)
			}
		}
		return sent
	}
	var domains []Domain
	for i := range 7 {
		domains = append(domains, Domain{Name: string(rune('a' + i)), Agents: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1")}})
	}
	require.InDelta(t, 400, probes(true, domains...), 10, "7 domains")
	require.Zero(t, probes(true, domains[0]), "only the own domain")
	require.LessOrEqual(t, probes(false, Domain{Name: "a"}, domains[1]), 10, "not in use")
}

// TestAnyNetwork guards against decisions without evidence in any sequence of cuts, losses, delays, pauses and members: the own
// domain is never closed, others only after closeAfter without an echo, and all are open again after a time without faults.
func TestAnyNetwork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.IntRange(1, 5).Draw(t, "agents"), rapid.Uint64().Draw(t, "seed"))
		now := cherviltide.Millis(0)
		for step := range rapid.IntRange(1, 12).Draw(t, "steps") {
			lost := map[string]int{}
			for _, d := range []string{"a", "b", "c"} {
				lost[d] = rapid.SampledFrom([]int{0, 0, 30, 100}).Draw(t, fmt.Sprint(d, step))
			}
			n.answers = func(_ cherviltide.Millis, domain string, _ netip.AddrPort) bool {
				return n.random.IntN(100) >= lost[domain]
			}
			end := now + cherviltide.Millis(rapid.IntRange(1, 1_500).Draw(t, "duration"))
			n.run(now, end)
			now = end + cherviltide.Millis(rapid.SampledFrom([]int{0, 0, 1_000}).Draw(t, "pause"))
			require.NotContains(t, n.closedAt, "a")
			require.GreaterOrEqual(t, n.silence, closeAfter)
		}
		n.answers = func(cherviltide.Millis, string, netip.AddrPort) bool { return true }
		n.run(now, now+1_000)
		require.Empty(t, n.reacher.Closed())
	})
}

// TestAnswers guards against an agent of a reached domain that has died during a cut and still counts as answering, against one that
// counts as silent after it has answered, and against evidence from before the cut.
func TestAnswers(t *testing.T) {
	n := newNetwork(2, 1)
	dead := n.reacher.domains[0].agents[0]
	down := func(now cherviltide.Millis) bool { return now < 1_000 || now >= 5_000 && now < 7_000 }
	n.answers = func(now cherviltide.Millis, domain string, agent netip.AddrPort) bool {
		answers := (now < cutAt || domain == "a") && (agent != dead || !down(now))
		if answers {
			n.reacher.Answered(agent)
		}
		return answers
	}
	require.Equal(t, "a", n.agents[dead])
	n.run(0, 4_900)
	require.Equal(t, []string{"b", "c"}, n.reacher.Closed())
	require.True(t, n.reacher.Answers(dead))
	revision := n.reacher.AnswersRevision()
	n.run(4_900, 6_000)
	require.False(t, n.reacher.Answers(dead))
	require.Greater(t, n.reacher.AnswersRevision(), revision)
	n.run(6_000, 8_000)
	require.True(t, n.reacher.Answers(dead))

	// An agent that is silent is not probed any more and has to get another chance.
	down = func(now cherviltide.Millis) bool { return now >= 9_000 }
	n.run(8_000, 10_000)
	require.False(t, n.reacher.Answers(dead))
	n.reacher.domains[0].agents = n.reacher.domains[0].agents[1:]
	n.run(10_000, 30_000)
	require.False(t, n.reacher.Answers(dead))
	n.run(30_000, 41_000)
	require.True(t, n.reacher.Answers(dead))
}
