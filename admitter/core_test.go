package admitter

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cherviltide.example/cherviltide"
)

var classes = []cherviltide.Class{cherviltide.ClassUrgent, cherviltide.ClassNormal, cherviltide.ClassBulky, cherviltide.ClassPatient}

func kind(class cherviltide.Class) cherviltide.Kind {
	return cherviltide.Kind{Name: string(class), Class: class, Priority: 5, Deadline: 1000}
}

// machine checks the core's invariants after each event.
type machine struct {
	core    *Scheduler
	config  Config
	now     cherviltide.Millis
	next    uint64
	waiting map[uint64]Request
	running map[uint64]Request
}

func (m *machine) take(t *rapid.T, actions []Decision) {
	for _, a := range actions {
		r, ok := m.waiting[a.ID]
		if !ok {
			t.Fatalf("request %d got a second decision", a.ID)
		}
		delete(m.waiting, a.ID)
		if a.Reason == "" {
			m.running[a.ID] = r
		}
	}
	bulky, urgent := 0, 0
	for _, r := range m.running {
		switch r.Kind.Class {
		case cherviltide.ClassBulky:
			bulky++
		case cherviltide.ClassUrgent:
			urgent++
		}
	}
	if len(m.running) > m.config.Slots || (m.config.Slots > 1 && bulky >= m.config.Slots) {
		t.Fatalf("%d requests run, %d of them bulky, in %d slots", len(m.running), bulky, m.config.Slots)
	}
	free := m.core.limit.now > len(m.running)
	for _, r := range m.waiting {
		if free && r.Kind.Class == cherviltide.ClassUrgent {
			t.Fatalf("an urgent request waits beside a free slot")
		}
	}
}

// TestSchedulerInvariants guards against a request that is decided twice or never, against more requests than slots, and against a slot
// that stays free while an urgent request waits.
func TestSchedulerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{Slots: rapid.IntRange(1, 4).Draw(t, "slots"), Queue: 8}
		m := &machine{core: NewScheduler(config), config: config, waiting: map[uint64]Request{}, running: map[uint64]Request{}}
		arrive := func(t *rapid.T) {
			m.next++
			r := Request{ID: m.next, Kind: kind(rapid.SampledFrom(classes).Draw(t, "class")), Arrived: m.now}
			r.Deadline = m.now + cherviltide.Millis(rapid.IntRange(10, 20_000).Draw(t, "deadline"))
			m.waiting[r.ID] = r
			m.take(t, m.core.Submit(m.now, r))
		}
		finish := func(t *rapid.T, c Completion) {
			for id := range m.running {
				delete(m.running, id)
				m.take(t, m.core.Complete(m.now, id, c))
				return
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": arrive,
			"pass": func(t *rapid.T) {
				m.now += cherviltide.Millis(rapid.IntRange(1, 400).Draw(t, "ms"))
				m.take(t, m.core.Tick(m.now))
			},
			"done":   func(t *rapid.T) { finish(t, Completion{}) },
			"shed":   func(t *rapid.T) { finish(t, Completion{Shed: true}) },
			"failed": func(t *rapid.T) { finish(t, Completion{Failed: true}) },
			"cancel": func(t *rapid.T) {
				for id := range m.waiting {
					require.True(t, m.core.Cancel(id))
					delete(m.waiting, id)
					return
				}
			},
		})
		for range 200 {
			m.now += 300
			finish(t, Completion{})
			m.take(t, m.core.Tick(m.now))
		}
		if len(m.waiting) > 0 {
			t.Fatalf("%d requests got no decision", len(m.waiting))
		}
	})
}

// serve runs a core of one slot with 10 ms requests against urgent arrivals that fill it, and returns the time at which
// a patient request started, or 0.
func serve(config Config) cherviltide.Millis {
	c := NewScheduler(config)
	var running []uint64
	for now := cherviltide.Millis(0); now < 60_000; now += 10 {
		var actions []Decision
		if now == 0 {
			actions = c.Submit(now, Request{ID: 999_999, Kind: kind(cherviltide.ClassUrgent), Deadline: 1 << 40})
			c.Submit(now, Request{ID: 1, Kind: kind(cherviltide.ClassPatient), Deadline: 1 << 40})
		} else {
			c.Submit(now, Request{ID: uint64(now), Kind: kind(cherviltide.ClassUrgent), Arrived: now, Deadline: 1 << 40})
		}
		for _, id := range running {
			actions = append(actions, c.Complete(now, id, Completion{})...)
		}
		running = running[:0]
		for _, a := range actions {
			if a.ID == 1 {
				return now
			}
			running = append(running, a.ID)
		}
	}
	return 0
}

// TestPatientRequestsAreNotStarved guards against a patient request that waits forever behind urgent ones. The second case disables aging.
func TestPatientRequestsAreNotStarved(t *testing.T) {
	require.LessOrEqual(t, serve(Config{Slots: 1, Aging: 1_000}), cherviltide.Millis(1_000+agedTurns*10))
	require.Positive(t, serve(Config{Slots: 1, Aging: 1_000}))
	require.Zero(t, serve(Config{Slots: 1, Aging: 1 << 40}))
}

func TestLimit(t *testing.T) {
	l := newLimit(Config{Slots: 3})
	require.Equal(t, 1, l.now, "a cold target starts with one slot")
	for range growAfter * (1 + 2) {
		l.observe(0, Completion{}, false)
	}
	require.Equal(t, 3, l.now)
	l.observe(1_000, Completion{Shed: true}, false)
	l.observe(1_001, Completion{Shed: true}, false)
	require.Equal(t, 2, l.now, "one overload counts once")
	l.observe(2_000, Completion{}, true)
	require.Equal(t, 1, l.now)
	l.hinted = true
	for range growAfter {
		l.observe(3_000, Completion{}, false)
	}
	require.Equal(t, 1, l.now, "a reported overload slows the growth")
	for range growAfter {
		l.observe(3_000, Completion{}, false)
	}
	require.Equal(t, 2, l.now, "a reported overload does not stop the growth")
}

func TestRefusal(t *testing.T) {
	c := NewScheduler(Config{Slots: 1, Queue: 2})
	k := kind(cherviltide.ClassNormal)
	require.Equal(t, []Decision{{ID: 1}}, c.Submit(0, Request{ID: 1, Kind: k, Deadline: 1000}))
	c.Complete(400, 1, Completion{})
	require.Len(t, c.Submit(500, Request{ID: 2, Kind: k, Deadline: 1500}), 1)
	require.Empty(t, c.Submit(500, Request{ID: 3, Kind: k, Arrived: 500, Deadline: 1700}))
	require.Equal(t, []Decision{{ID: 4, Reason: ReasonDeadline, RetryAfter: 800}}, c.Submit(500, Request{ID: 4, Kind: k, Deadline: 2000}))
	require.Empty(t, c.Submit(500, Request{ID: 5, Kind: k, Deadline: 9000}))
	require.Equal(t, ReasonQueueFull, c.Submit(500, Request{ID: 6, Kind: k, Deadline: 9000})[0].Reason)
	require.Equal(t, ReasonDeadline, c.Tick(1200)[0].Reason, "a request that can no longer end in time does not run")
}

func TestBudget(t *testing.T) {
	var b Budget
	spent := 0
	for range 1000 {
		b.Earn()
		if b.Spend() {
			spent++
		}
	}
	require.InDelta(t, 100, spent, 1)
}
