package tracker_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/picker"
	"cherviltide.example/cherviltide/tracker"
)

const start cherviltide.Millis = 1_800_000_000_000

// fixture is a tracker with a log of its own and virtual time.
type fixture struct {
	tracker    *tracker.Tracker
	index      uint64
	now        cherviltide.Millis
	log        []cherviltide.MemberEvent
	announcing map[string]tracker.Announcement
}

func newFixture(agents int) *fixture { return newFixtureWithLimits(tracker.DefaultLimits, agents) }

func newFixtureWithLimits(limits tracker.Limits, agents int) *fixture {
	f := &fixture{tracker: tracker.NewWithLimits(limits), now: start, announcing: map[string]tracker.Announcement{}}
	f.tracker.StartLeadership(f.now)
	f.commit(f.tracker.ReconcileTables(f.now, nil))
	f.commit(f.tracker.ReconcileTables(f.now, []cherviltide.Service{{Name: "desk", Buckets: 64}}))
	for i := range agents {
		f.announcing[agent(i).Name] = tracker.Announcement{Member: agent(i)}
	}
	f.run(1_000)
	return f
}

func agent(i int) cherviltide.Member {
	return cherviltide.Member{
		Name: fmt.Sprintf("desk-%d", i), Role: cherviltide.RoleAgent, Service: "desk", Incarnation: 10, Weight: 1000,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i)),
	}
}

func (f *fixture) commit(events []cherviltide.MemberEvent) {
	for _, e := range events {
		entry, err := tracker.Encode(e)
		if err != nil {
			panic(err)
		}
		f.index++
		f.tracker.Apply(f.index, entry)
		f.log = append(f.log, e)
	}
}

// TestServiceIsDefinedAgainAtOnce guards against a changed service that waits for its table because an event that is committed
// already counts as pending.
func TestServiceIsDefinedAgainAtOnce(t *testing.T) {
	f := newFixture(0)
	for buckets := range 3 {
		events := f.tracker.ReconcileTables(f.now, []cherviltide.Service{{Name: "chart", Buckets: 64 << buckets}})
		require.NotEmpty(t, events, "%d buckets", 64<<buckets)
		f.commit(events)
	}
}

// run advances the time; each member in announcing announces itself once a second.
func (f *fixture) run(span cherviltide.Millis) {
	for end := f.now + span; f.now < end; f.now += 250 {
		if f.now%1_000 == 0 {
			for i := range 16 {
				if a, ok := f.announcing[agent(i).Name]; ok {
					f.commit(f.tracker.HandleAnnouncement(f.now, a))
				}
			}
		}
		f.commit(f.tracker.Tick(f.now))
	}
}

func (f *fixture) countEvents(kind cherviltide.EventType) int {
	n := 0
	for _, e := range f.log {
		if e.Type == kind {
			n++
		}
	}
	return n
}

// countReleases returns the number of released generations that are not older than the given one.
func (f *fixture) countReleases(generation uint64) int {
	n := 0
	for _, e := range f.log {
		if e.Type == cherviltide.EventReleased && e.Generation >= generation {
			n++
		}
	}
	return n
}

// table returns the service's table as every follower computes it.
func (f *fixture) table() *picker.Table { return f.tracker.Tables()["desk"] }

// TestSilence guards against silent members that are declared dead too late, too early or all at once.
func TestSilence(t *testing.T) {
	tests := map[string]struct {
		scenario        func(f *fixture)
		suspected, died int
		held            bool
	}{
		"one of seven silent":         {func(f *fixture) { delete(f.announcing, "desk-0"); f.run(7_000) }, 1, 1, false},
		"silent for less than lease":  {func(f *fixture) { delete(f.announcing, "desk-0"); f.run(4_000) }, 1, 0, false},
		"a failure domain of 3 lost":  {func(f *fixture) { f.stopAnnouncing(3); f.run(7_000) }, 3, 3, false},
		"four of seven silent":        {func(f *fixture) { f.stopAnnouncing(4); f.run(60_000) }, 0, 0, true},
		"all silent":                  {func(f *fixture) { f.stopAnnouncing(7); f.run(60_000) }, 0, 0, true},
		"two bursts add up":           {func(f *fixture) { f.stopAnnouncing(3); f.run(10_000); f.stopAnnouncing(5); f.run(10_000) }, 3, 3, true},
		"clock steps an hour ahead":   {func(f *fixture) { f.now += 3_600_000; f.run(5_000) }, 0, 0, false},
		"clock steps an hour back":    {func(f *fixture) { f.now -= 3_600_000; f.run(5_000) }, 0, 0, false},
		"new leader, all late by 4 s": {func(f *fixture) { f.changeLeader(); f.runWithoutAnnouncements(4_000); f.run(5_000) }, 0, 0, false},
		"new leader, one silent": {func(f *fixture) {
			delete(f.announcing, "desk-0")
			f.run(4_000)
			f.changeLeader()
			f.run(4_750)
		}, 1, 0, false},
		"follower declares nobody dead": {func(f *fixture) { f.stopAnnouncing(1); f.tracker.EndLeadership(); f.run(60_000) }, 0, 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(7)
			test.scenario(f)
			require.Equal(t, test.suspected, f.countEvents(cherviltide.EventSuspected), "suspected")
			require.Equal(t, test.died, f.countEvents(cherviltide.EventDied), "died")
			require.Equal(t, test.held, len(f.tracker.HeldGroups()) > 0, "held")
		})
	}
}

func (f *fixture) stopAnnouncing(n int) {
	for i := range n {
		delete(f.announcing, agent(i).Name)
	}
}

func (f *fixture) changeLeader() { f.tracker.EndLeadership(); f.tracker.StartLeadership(f.now) }

// runWithoutAnnouncements advances the time without announcements.
func (f *fixture) runWithoutAnnouncements(span cherviltide.Millis) {
	announcing := f.announcing
	f.announcing = nil
	f.run(span)
	f.announcing = announcing
	if len(f.tracker.HeldGroups()) == 0 {
		panic("no group is held in a mass silence")
	}
	f.run(0)
}

// TestSilenceWithoutLimits shows what the limits prevent: without each of them, all members are declared dead.
func TestSilenceWithoutLimits(t *testing.T) {
	limits := tracker.DefaultLimits
	limits.MaxLostPercent = 100
	f := newFixtureWithLimits(limits, 7)
	f.stopAnnouncing(7)
	f.run(60_000)
	require.Equal(t, 7, f.countEvents(cherviltide.EventDied), "a mass silence without fail static")
	limits.MaxClockStep = 1 << 40
	f = newFixtureWithLimits(limits, 7)
	f.now += 3_600_250
	f.commit(f.tracker.Tick(f.now))
	require.Equal(t, 7, f.countEvents(cherviltide.EventDied), "a step of the clock without limited steps")
}

// TestIncarnations guards against a late announcement of a dead or replaced process that changes its successor.
func TestIncarnations(t *testing.T) {
	f := newFixture(3)
	newer, other := agent(0), agent(9)
	newer.Incarnation = 20
	f.commit(f.tracker.HandleAnnouncement(f.now, tracker.Announcement{Member: newer}))
	f.commit(f.tracker.HandleAnnouncement(f.now, tracker.Announcement{Member: agent(0), Ended: true}))
	f.commit(f.tracker.HandleAnnouncement(f.now, tracker.Announcement{Member: agent(0), Leaving: true}))
	require.True(t, f.tracker.IsAlive(newer))
	require.Zero(t, f.countEvents(cherviltide.EventDied)+f.countEvents(cherviltide.EventLeaving))
	// An event proposed by a former leader may be committed after events of its successor.
	f.commit([]cherviltide.MemberEvent{{Type: cherviltide.EventJoined, Member: agent(0)}, {Type: cherviltide.EventDied, Member: agent(0)}})
	require.True(t, f.tracker.IsAlive(newer), "an event of an older incarnation was applied")
	f.log = nil
	other.Address, other.Incarnation = newer.Address, 30
	f.commit(f.tracker.HandleAnnouncement(f.now, tracker.Announcement{Member: other}))
	require.True(t, f.tracker.IsAlive(other))
	require.False(t, f.tracker.IsAlive(newer), "the older process at the same address is still alive")
	f.commit([]cherviltide.MemberEvent{{Type: cherviltide.EventJoined, Member: newer}})
	require.False(t, f.tracker.IsAlive(newer), "a dead incarnation joined again")
	incarnation, outdated := f.tracker.NewestIncarnation(newer)
	require.True(t, outdated)
	require.Equal(t, uint64(20), incarnation)
}

// TestRelease guards against history that is released while the former owner still has flows from that time.
func TestRelease(t *testing.T) {
	tests := map[string]struct {
		report       func(f *fixture, a *tracker.Announcement)
		changeLeader bool
		want         int
	}{
		"no flow":               {func(_ *fixture, a *tracker.Announcement) { a.OldestGeneration = a.Generation }, false, 1},
		"an old flow":           {func(*fixture, *tracker.Announcement) {}, false, 0},
		"a table behind":        {func(_ *fixture, a *tracker.Announcement) { a.Generation--; a.OldestGeneration = a.Generation }, false, 0},
		"no table":              {func(_ *fixture, a *tracker.Announcement) { a.Generation, a.OldestGeneration = 0, 0 }, false, 0},
		"a table of a lost log": {func(_ *fixture, a *tracker.Announcement) { a.Generation = 1 << 62; a.OldestGeneration = 1 << 62 }, false, 0},
		"first report to a new leader": {
			func(_ *fixture, a *tracker.Announcement) { a.OldestGeneration = a.Generation }, true, 0,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(3)
			openingGeneration := f.table().Generation()
			f.commit(f.tracker.HandleAnnouncement(f.now, tracker.Announcement{Member: agent(0), Leaving: true}))
			a := tracker.Announcement{Member: agent(0), Leaving: true, Generation: f.table().Generation(), OldestGeneration: openingGeneration}
			test.report(f, &a)
			leavingGeneration := f.table().Generation()
			f.commit(f.tracker.HandleAnnouncement(f.now, a))
			require.Zero(t, f.countReleases(leavingGeneration), "history was released after a single report")
			if test.changeLeader {
				f.changeLeader()
			}
			f.commit(f.tracker.HandleAnnouncement(f.now+1_000, a))
			require.Equal(t, test.want, f.countReleases(leavingGeneration))
		})
	}
}

// TestWeight guards against weights that follow noise, and against weights that never change.
func TestWeight(t *testing.T) {
	for name, test := range map[string]struct {
		rate     func(second int) uint32
		min, max int
	}{
		"noise within the dead band": {func(s int) uint32 { return uint32(900 + 200*(s%2)) }, 0, 0},
		"a target at a quarter":      {func(int) uint32 { return 250 }, 2, 6},
		"a target four times faster": {func(int) uint32 { return 4_000 }, 2, 10},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(1)
			for s := range 120 {
				f.announcing["desk-0"] = tracker.Announcement{Member: agent(0), Rate: test.rate(s)}
				f.run(1_000)
			}
			n := f.countEvents(cherviltide.EventWeighed)
			require.GreaterOrEqual(t, n, test.min)
			require.LessOrEqual(t, n, test.max)
		})
	}
}

// TestSchedules guards against a state that depends on duplicated, delayed or reordered announcements, on changes of
// the leader, or on whether it was reached by events, replayed or restored.
func TestSchedules(t *testing.T) {
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 0))
		f, sent := newFixture(6), []tracker.Announcement{}
		for range 300 {
			a := tracker.Announcement{Member: agent(r.IntN(6)), Leaving: r.IntN(20) == 0, Ended: r.IntN(40) == 0, Rate: uint32(r.IntN(4000))}
			a.Member.Incarnation += uint64(r.IntN(4))
			sent = append(sent, a)
			for _, x := range []tracker.Announcement{a, sent[r.IntN(len(sent))]} {
				before, _ := f.tracker.NewestIncarnation(x.Member)
				f.commit(f.tracker.HandleAnnouncement(f.now, x))
				after, _ := f.tracker.NewestIncarnation(x.Member)
				require.GreaterOrEqual(t, after, before, "seed %d: incarnation went back", seed)
			}
			if r.IntN(30) == 0 {
				f.changeLeader()
			}
			f.run(cherviltide.Millis(250 * r.IntN(8)))
		}
		replayed := tracker.New()
		for i, e := range f.log {
			entry, err := tracker.Encode(e)
			require.NoError(t, err)
			replayed.Apply(uint64(i+1), entry)
		}
		require.Equal(t, f.tracker.LiveMembers(), replayed.LiveMembers(), "seed %d", seed)
		snapshot, err := f.tracker.Snapshot()
		require.NoError(t, err)
		replayedSnapshot, err := replayed.Snapshot()
		require.NoError(t, err)
		require.Equal(t, snapshot, replayedSnapshot, "seed %d", seed)
		require.NoError(t, replayed.Restore(f.index, snapshot))
		require.Equal(t, f.table().Digest(), replayed.Tables()["desk"].Digest(), "seed %d", seed)
	}
}

// TestPaused guards against a member that gets new flows while its process restarts, and against one that never gets
// flows again afterwards.
func TestPaused(t *testing.T) {
	tr := tracker.New()
	index := uint64(0)
	apply := func(events ...cherviltide.MemberEvent) {
		for _, e := range events {
			entry, err := tracker.Encode(e)
			require.NoError(t, err)
			index++
			tr.Apply(index, entry)
		}
	}
	now := cherviltide.Millis(1_800_000_000_000)
	tr.StartLeadership(now)
	apply(tracker.NewFoundedEvent(now))
	require.Len(t, tr.PacketKey(), 16)
	m := cherviltide.Member{Name: "agent-1", Role: cherviltide.RoleAgent, Service: "desk", Incarnation: 1}
	state := func() cherviltide.MemberState { e, _ := tr.Lookup("agent-1"); return e.State }
	apply(tr.HandleAnnouncement(now, tracker.Announcement{Member: m})...)
	require.Equal(t, cherviltide.StateActive, state())
	apply(tr.HandleAnnouncement(now+100, tracker.Announcement{Member: m, Paused: true})...)
	require.Equal(t, cherviltide.StateSuspect, state())
	require.Empty(t, tr.HandleAnnouncement(now+200, tracker.Announcement{Member: m, Paused: true}))
	apply(tr.HandleAnnouncement(now+300, tracker.Announcement{Member: m})...)
	require.Equal(t, cherviltide.StateActive, state())
	apply(tr.HandleAnnouncement(now+400, tracker.Announcement{Member: m, Leaving: true})...)
	require.Empty(t, tr.HandleAnnouncement(now+500, tracker.Announcement{Member: m, Leaving: true, Paused: true}), "a leaving member is only paused")
}
