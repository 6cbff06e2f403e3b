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

// schedulerModel tracks the requests of a scheduler and checks its invariants after each event.
type schedulerModel struct {
	scheduler *Scheduler
	config    Config
	now       cherviltide.Millis
	lastID    uint64
	waiting   map[uint64]Request
	running   map[uint64]Request
}

// apply records decisions and checks the invariants.
func (m *schedulerModel) apply(t *rapid.T, decisions []Decision) {
	for _, d := range decisions {
		r, ok := m.waiting[d.ID]
		if !ok {
			t.Fatalf("request %d got a second decision", d.ID)
		}
		delete(m.waiting, d.ID)
		if d.Reason == "" {
			m.running[d.ID] = r
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
	free := m.scheduler.limit.current > len(m.running)
	for _, r := range m.waiting {
		if free && r.Kind.Class == cherviltide.ClassUrgent {
			t.Fatalf("an urgent request waits although a slot is free")
		}
	}
}

// TestSchedulerInvariants guards against a request that gets two decisions or none, against more running requests than
// slots, and against a slot that stays free while an urgent request waits.
func TestSchedulerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{Slots: rapid.IntRange(1, 4).Draw(t, "slots"), QueueLimit: 8}
		m := &schedulerModel{scheduler: NewScheduler(config), config: config, waiting: map[uint64]Request{}, running: map[uint64]Request{}}
		submit := func(t *rapid.T) {
			m.lastID++
			r := Request{ID: m.lastID, Kind: kind(rapid.SampledFrom(classes).Draw(t, "class")), Arrived: m.now}
			r.Deadline = m.now + cherviltide.Millis(rapid.IntRange(10, 20_000).Draw(t, "deadline"))
			m.waiting[r.ID] = r
			m.apply(t, m.scheduler.Submit(m.now, r))
		}
		complete := func(t *rapid.T, c Completion) {
			for id := range m.running {
				delete(m.running, id)
				m.apply(t, m.scheduler.Complete(m.now, id, c))
				return
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": submit,
			"pass": func(t *rapid.T) {
				m.now += cherviltide.Millis(rapid.IntRange(1, 400).Draw(t, "ms"))
				m.apply(t, m.scheduler.Tick(m.now))
			},
			"done":   func(t *rapid.T) { complete(t, Completion{}) },
			"shed":   func(t *rapid.T) { complete(t, Completion{Shed: true}) },
			"failed": func(t *rapid.T) { complete(t, Completion{Failed: true}) },
			"cancel": func(t *rapid.T) {
				for id := range m.waiting {
					require.True(t, m.scheduler.Cancel(id))
					delete(m.waiting, id)
					return
				}
			},
		})
		for range 200 {
			m.now += 300
			complete(t, Completion{})
			m.apply(t, m.scheduler.Tick(m.now))
		}
		if len(m.waiting) > 0 {
			t.Fatalf("%d requests got no decision", len(m.waiting))
		}
	})
}

// startOfPatientRequest runs a scheduler of one slot with 10 ms requests and enough urgent arrivals to keep the slot
// busy. It returns the time at which a patient request starts, or 0 if it never does.
func startOfPatientRequest(config Config) cherviltide.Millis {
	s := NewScheduler(config)
	var running []uint64
	for now := cherviltide.Millis(0); now < 60_000; now += 10 {
		var decisions []Decision
		if now == 0 {
			decisions = s.Submit(now, Request{ID: 999_999, Kind: kind(cherviltide.ClassUrgent), Deadline: 1 << 40})
			s.Submit(now, Request{ID: 1, Kind: kind(cherviltide.ClassPatient), Deadline: 1 << 40})
		} else {
			s.Submit(now, Request{ID: uint64(now), Kind: kind(cherviltide.ClassUrgent), Arrived: now, Deadline: 1 << 40})
		}
		for _, id := range running {
			decisions = append(decisions, s.Complete(now, id, Completion{})...)
		}
		running = running[:0]
		for _, d := range decisions {
			if d.ID == 1 {
				return now
			}
			running = append(running, d.ID)
		}
	}
	return 0
}

// TestPatientRequestsAreNotStarved guards against a patient request that waits forever behind urgent ones. The second
// case, with an aging time of 1 << 40, disables aging.
func TestPatientRequestsAreNotStarved(t *testing.T) {
	require.LessOrEqual(t, startOfPatientRequest(Config{Slots: 1, AgingTime: 1_000}), cherviltide.Millis(1_000+agedStartCredits*10))
	require.Positive(t, startOfPatientRequest(Config{Slots: 1, AgingTime: 1_000}))
	require.Zero(t, startOfPatientRequest(Config{Slots: 1, AgingTime: 1 << 40}))
}

func TestConcurrencyLimit(t *testing.T) {
	l := newConcurrencyLimit(Config{Slots: 3})
	require.Equal(t, 1, l.current, "a cold target starts with one slot")
	for range completionsPerIncrease * (1 + 2) {
		l.observe(0, Completion{}, false)
	}
	require.Equal(t, 3, l.current)
	l.observe(1_000, Completion{Shed: true}, false)
	l.observe(1_001, Completion{Shed: true}, false)
	require.Equal(t, 2, l.current, "one overload counts once")
	l.observe(2_000, Completion{}, true)
	require.Equal(t, 1, l.current)
	l.overloadReported = true
	for range completionsPerIncrease {
		l.observe(3_000, Completion{}, false)
	}
	require.Equal(t, 1, l.current, "a reported overload slows the growth")
	for range completionsPerIncrease {
		l.observe(3_000, Completion{}, false)
	}
	require.Equal(t, 2, l.current, "a reported overload does not stop the growth")
}

func TestRefusalReasons(t *testing.T) {
	s := NewScheduler(Config{Slots: 1, QueueLimit: 2})
	k := kind(cherviltide.ClassNormal)
	require.Equal(t, []Decision{{ID: 1}}, s.Submit(0, Request{ID: 1, Kind: k, Deadline: 1000}))
	s.Complete(400, 1, Completion{})
	require.Len(t, s.Submit(500, Request{ID: 2, Kind: k, Deadline: 1500}), 1)
	require.Empty(t, s.Submit(500, Request{ID: 3, Kind: k, Arrived: 500, Deadline: 1700}))
	require.Equal(t, []Decision{{ID: 4, Reason: ReasonDeadline, RetryAfter: 800}}, s.Submit(500, Request{ID: 4, Kind: k, Deadline: 2000}))
	require.Empty(t, s.Submit(500, Request{ID: 5, Kind: k, Deadline: 9000}))
	require.Equal(t, ReasonQueueFull, s.Submit(500, Request{ID: 6, Kind: k, Deadline: 9000})[0].Reason)
	require.Equal(t, ReasonDeadline, s.Tick(1200)[0].Reason, "a request that can no longer meet its deadline does not run")
}

func TestRetryBudget(t *testing.T) {
	var b RetryBudget
	spent := 0
	for range 1000 {
		b.Deposit()
		if b.Withdraw() {
			spent++
		}
	}
	require.InDelta(t, 100, spent, 1)
}
