package quarantiner

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cherviltide.example/cherviltide"
)

// model is a target with two slots and a queue of its own, which gets a request each interval, and the table.
type model struct {
	q      *Quarantiner
	random *rand.Rand
	now    cherviltide.Millis
	peers  Peers
	// working has the requests that have no answer, in the order of their arrival.
	working []request
	// outAt is when the target first was out of service.
	outAt cherviltide.Millis
}

// request is a request with the times at which it arrived, got a slot and ends.
type request struct{ at, start, end cherviltide.Millis }

func newModel(seed uint64) *model {
	return &model{q: New(0.2), random: rand.New(rand.NewPCG(seed, 0)), peers: Peers{Members: 10, ServiceTime: 30}}
}

// behaviour is how the target treats requests during a part of a test.
type behaviour struct {
	// every is the time between two requests, work the mean service time, in ms.
	every cherviltide.Millis
	work  float64
	// fail is the share of requests that are reset at once, hang that of requests without an answer, heavy that of requests
	// that take 900 ms.
	fail, hang, heavy float64
	// peers is the service time of the peers after 15 s, when it changes.
	peers float64
}

const forEver cherviltide.Millis = 1 << 40

// run lets the target run for a time and moves the table half a second behind the wish for a pause.
func (m *model) run(duration cherviltide.Millis, b behaviour) {
	for end := m.now + duration; m.now < end; m.now++ {
		if m.now%b.every == 0 && m.q.Allows() {
			m.request(b)
		}
		m.endRequests()
		if m.now%250 == 0 {
			m.q.Tick(m.now, 2, len(m.working), m.peers)
		}
		if m.now == end-duration+15_000 && b.peers > 0 {
			m.peers.ServiceTime = b.peers
		}
		if m.now%500 == 0 {
			m.peers.Out = m.q.WantsPause()
		}
		if m.q.IsOut() && m.outAt == 0 {
			m.outAt = m.now
		}
	}
}

// request gives the target a request, which waits while both slots are taken.
func (m *model) request(b behaviour) {
	m.q.Opened()
	if m.random.Float64() < b.fail {
		m.q.Failed(m.now)
		return
	}
	start := m.now
	if n := len(m.working); n >= 2 {
		start = max(start, min(m.working[n-1].end, m.working[n-2].end))
	}
	work := cherviltide.Millis(b.work * (0.5 + m.random.ExpFloat64()/2))
	if m.random.Float64() < b.heavy {
		work = 900
	}
	if m.random.Float64() < b.hang {
		work = forEver
	}
	if start >= forEver {
		work = 0
	}
	m.working = append(m.working, request{m.now, start, start + work})
}

// endRequests answers the requests whose time has come.
func (m *model) endRequests() {
	kept := m.working[:0]
	for _, r := range m.working {
		if r.end > m.now {
			kept = append(kept, r)
			continue
		}
		serviceTime := cherviltide.Millis(0)
		if r.at == r.start {
			serviceTime = r.end - r.start
		}
		m.q.Answered(m.now, r.end-r.at, serviceTime)
	}
	m.working = kept
}

// TestTargets guards against grey targets that stay in service, and against sound ones that are taken out.
func TestTargets(t *testing.T) {
	usual := behaviour{every: 40, work: 30}
	for name, test := range map[string]struct {
		then behaviour
		out  bool
	}{
		"sound":                        {usual, false},
		"resets all":                   {behaviour{every: 40, work: 30, fail: 1}, true},
		"resets 70%":                   {behaviour{every: 40, work: 30, fail: 0.7}, true},
		"resets 20%":                   {behaviour{every: 40, work: 30, fail: 0.2}, false},
		"hangs":                        {behaviour{every: 40, work: 30, hang: 1}, true},
		"overloaded":                   {behaviour{every: 8, work: 30}, false},
		"busy":                         {behaviour{every: 16, work: 30}, false},
		"long requests beside":         {behaviour{every: 40, work: 30, heavy: 0.05}, false},
		"long requests at all targets": {behaviour{every: 1_000, work: 900, peers: 900}, false},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				m := newModel(seed)
				m.run(20_000, usual)
				require.Equal(t, StateInService, m.q.State())
				m.run(40_000, test.then)
				require.Equal(t, test.out, m.outAt != 0, "seed %d: %s", seed, m.q.Reason())
				if test.out {
					require.Less(t, m.outAt, cherviltide.Millis(25_000), "seed %d: the target was found late", seed)
				}
			}
		})
	}
}

// TestServiceTimes guards against targets that are taken out because they are slower than others, and against a sudden
// slowness that stays.
func TestServiceTimes(t *testing.T) {
	for name, test := range map[string]struct {
		before, after, peers cherviltide.Millis
		out                  bool
	}{
		"eight times slower":         {30, 240, 30, true},
		"always slower":              {240, 240, 30, false},
		"slower by 2.4":              {60, 144, 60, false},
		"all peers as well":          {30, 240, 200, false},
		"very short service times":   {2, 16, 2, false},
		"peers' times are not known": {30, 240, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			q, peers := New(0.2), Peers{Members: 10, ServiceTime: float64(test.peers)}
			now := cherviltide.Millis(0)
			answer := func(count int, took cherviltide.Millis) {
				for range count {
					now += 300
					q.Answered(now, took, took)
					q.Tick(now, 2, 0, peers)
				}
			}
			answer(200, test.before)
			require.Equal(t, StateInService, q.State())
			answer(100, test.after)
			require.Equal(t, test.out, q.Reason() == ReasonSlow)
		})
	}
}

// TestReturn guards against a target that gets all its flows at once when it comes back, and against one that comes back for
// good while it still fails.
func TestReturn(t *testing.T) {
	m := newModel(1)
	m.run(10_000, behaviour{every: 40, work: 30})
	failing := behaviour{every: 40, work: 30, fail: 1}
	var outs []cherviltide.Millis
	for m.now < 60_000 {
		was := m.q.State()
		m.run(1, failing)
		if m.q.State() == StateOut && was != StateOut {
			outs = append(outs, m.q.outTime)
		}
	}
	require.Equal(t, []cherviltide.Millis{2_000, 4_000, 8_000, 16_000, 30_000}, outs)
	for m.q.State() != StateProbation {
		m.run(1, behaviour{every: 40, work: 30})
	}
	m.q.Opened()
	require.False(t, m.q.Allows(), "a second flow at the start")
	m.q.Answered(m.now, 30, 30)
	m.q.Tick(m.now, 2, 0, m.peers)
	m.q.Opened()
	require.True(t, m.q.Allows())
	m.q.Opened()
	require.False(t, m.q.Allows())
	m.run(2_000, behaviour{every: 40, work: 30})
	require.Equal(t, StateInService, m.q.State())
}

// TestClaims guards against more targets out of service than the share allows, and against a claim that control never sees.
func TestClaims(t *testing.T) {
	for name, test := range map[string]struct {
		peers Peers
		want  State
	}{
		"first":                     {Peers{Members: 10, Out: true}, StateOut},
		"second of two places":      {Peers{Members: 10, Out: true, OutBefore: 1}, StateOut},
		"no place":                  {Peers{Members: 10, Out: true, OutBefore: 2}, StateInService},
		"small service":             {Peers{Members: 3, Out: true}, StateOut},
		"two targets":               {Peers{Members: 2, Out: true}, StateInService},
		"table does not follow":     {Peers{Members: 10}, StateInService},
		"others took places before": {Peers{Members: 5, Out: true, OutBefore: 1}, StateInService},
	} {
		t.Run(name, func(t *testing.T) {
			q := New(0.2)
			for i := range 20 {
				q.Failed(cherviltide.Millis(100 * i))
			}
			for now := cherviltide.Millis(2_000); now < 5_000 && q.State() != StateOut; now += 250 {
				q.Tick(now, 2, 0, test.peers)
			}
			require.Equal(t, test.want, q.State())
		})
	}
	t.Run("a place is lost", func(t *testing.T) {
		q := New(0.2)
		for i := range 20 {
			q.Failed(cherviltide.Millis(100 * i))
		}
		q.Tick(2_000, 2, 0, Peers{Members: 10})
		q.Tick(2_250, 2, 0, Peers{Members: 10, Out: true})
		require.True(t, q.IsOut())
		q.Tick(2_500, 2, 0, Peers{Members: 10, Out: true, OutBefore: 2})
		require.Equal(t, StateProbation, q.State())
	})
}

// TestStates guards against states that no sequence of events should reach: a target out of service without a claim in the
// table or beyond the share, for longer than the bound, or with more flows in probation than the step allows.
func TestStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "share"))
		now, outSince := cherviltide.Millis(0), cherviltide.Millis(0)
		var peers Peers
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += cherviltide.Millis(rapid.IntRange(0, 400).Draw(t, "pause"))
			before := q.State()
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				q.Failed(now)
			case 1:
				took := cherviltide.Millis(rapid.IntRange(1, 2_000).Draw(t, "took"))
				q.Answered(now, took, took)
			case 2:
				if q.Allows() {
					q.Opened()
				}
			default:
				peers = Peers{Members: rapid.IntRange(1, 12).Draw(t, "members"), OutBefore: rapid.IntRange(0, 3).Draw(t, "out"), Out: rapid.Bool().Draw(t, "listed")}
				q.Tick(now, 2, rapid.IntRange(0, 4).Draw(t, "working"), peers)
			}
			if q.share == 0 {
				require.Equal(t, StateInService, q.State())
			}
			if q.IsOut() && before != StateOut {
				outSince = now
				require.Less(t, peers.OutBefore, q.places())
				require.True(t, before == StateProbation || peers.Out, "out without a claim in the table")
			}
			if q.IsOut() {
				require.False(t, q.Allows())
				require.LessOrEqual(t, q.outTime, maxOutTime)
				require.True(t, before != StateOut || now-outSince < q.outTime+400*200)
			}
			if q.State() == StateProbation {
				require.LessOrEqual(t, q.opened, q.limit)
			}
		}
	})
}
