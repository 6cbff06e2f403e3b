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

// group is a tracker behind a log of its own, with virtual time.
type group struct {
	t     *tracker.Tracker
	index uint64
	now   cherviltide.Millis
	log   []cherviltide.MemberEvent
	reply map[string]tracker.Announcement
}

func newGroup(agents int) *group { return newGroupWithin(tracker.DefaultLimits, agents) }

func newGroupWithin(limits tracker.Limits, agents int) *group {
	g := &group{t: tracker.WithLimits(limits), now: start, reply: map[string]tracker.Announcement{}}
	g.t.StartLeadership(g.now)
	g.commit(g.t.ReconcileTables(g.now, nil))
	g.commit(g.t.ReconcileTables(g.now, []cherviltide.Service{{Name: "desk", Buckets: 64}}))
	for i := range agents {
		g.reply[agent(i).Name] = tracker.Announcement{Member: agent(i)}
	}
	g.run(1_000)
	return g
}

func agent(i int) cherviltide.Member {
	return cherviltide.Member{
		Name: fmt.Sprintf("desk-%d", i), Role: cherviltide.RoleAgent, Service: "desk", Incarnation: 10, Weight: 1000,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i)),
	}
}

func (g *group) commit(events []cherviltide.MemberEvent) {
	for _, e := range events {
		entry, err := tracker.Encode(e)
		if err != nil {
			panic(err)
		}
		g.index++
		g.t.Apply(g.index, entry)
		g.log = append(g.log, e)
	}
}

// run lets time pass; each member in reply announces itself once a second.
func (g *group) run(span cherviltide.Millis) {
	for end := g.now + span; g.now < end; g.now += 250 {
		if g.now%1_000 == 0 {
			for i := range 16 {
				if a, ok := g.reply[agent(i).Name]; ok {
					g.commit(g.t.HandleAnnouncement(g.now, a))
				}
			}
		}
		g.commit(g.t.Tick(g.now))
	}
}

func (g *group) count(kind cherviltide.EventType) int {
	n := 0
	for _, e := range g.log {
		if e.Type == kind {
			n++
		}
	}
	return n
}

// released returns the number of releases of what was left at a generation.
func (g *group) released(left uint64) int {
	n := 0
	for _, e := range g.log {
		if e.Type == cherviltide.EventReleased && e.Generation >= left {
			n++
		}
	}
	return n
}

// table returns the service's table as every follower computes it.
func (g *group) table() *picker.Table { return g.t.Tables()["desk"] }

// TestSilence guards against members that are expelled too late, too early or in a mass.
func TestSilence(t *testing.T) {
	tests := map[string]struct {
		do              func(g *group)
		suspected, died int
		held            bool
	}{
		"one of seven silent":         {func(g *group) { delete(g.reply, "desk-0"); g.run(7_000) }, 1, 1, false},
		"silent for less than lease":  {func(g *group) { delete(g.reply, "desk-0"); g.run(4_000) }, 1, 0, false},
		"a failure domain of 3 lost":  {func(g *group) { g.silence(3); g.run(7_000) }, 3, 3, false},
		"four of seven silent":        {func(g *group) { g.silence(4); g.run(60_000) }, 0, 0, true},
		"all silent":                  {func(g *group) { g.silence(7); g.run(60_000) }, 0, 0, true},
		"two bursts add up":           {func(g *group) { g.silence(3); g.run(10_000); g.silence(5); g.run(10_000) }, 3, 3, true},
		"clock steps an hour ahead":   {func(g *group) { g.now += 3_600_000; g.run(5_000) }, 0, 0, false},
		"clock steps an hour back":    {func(g *group) { g.now -= 3_600_000; g.run(5_000) }, 0, 0, false},
		"new leader, all late by 4 s": {func(g *group) { g.lead(); g.late(4_000); g.run(5_000) }, 0, 0, false},
		"new leader, one silent": {func(g *group) {
			delete(g.reply, "desk-0")
			g.run(4_000)
			g.lead()
			g.run(4_750)
		}, 1, 0, false},
		"follower expels nobody": {func(g *group) { g.silence(1); g.t.EndLeadership(); g.run(60_000) }, 0, 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := newGroup(7)
			test.do(g)
			require.Equal(t, test.suspected, g.count(cherviltide.EventSuspected), "suspected")
			require.Equal(t, test.died, g.count(cherviltide.EventDied), "died")
			require.Equal(t, test.held, len(g.t.HeldGroups()) > 0, "held")
		})
	}
}

func (g *group) silence(n int) {
	for i := range n {
		delete(g.reply, agent(i).Name)
	}
}

func (g *group) lead() { g.t.EndLeadership(); g.t.StartLeadership(g.now) }

// late lets time pass without announcements.
func (g *group) late(span cherviltide.Millis) {
	reply := g.reply
	g.reply = nil
	g.run(span)
	g.reply = reply
	if len(g.t.HeldGroups()) == 0 {
		panic("a mass silence is not held")
	}
	g.run(0)
}

// TestSilenceWithoutLimits shows what the limits prevent: each switch off expels all members.
func TestSilenceWithoutLimits(t *testing.T) {
	off := tracker.DefaultLimits
	off.StaticShare = 100
	g := newGroupWithin(off, 7)
	g.silence(7)
	g.run(60_000)
	require.Equal(t, 7, g.count(cherviltide.EventDied), "a mass silence without fail static")
	off.MaxStep = 1 << 40
	g = newGroupWithin(off, 7)
	g.now += 3_600_250
	g.commit(g.t.Tick(g.now))
	require.Equal(t, 7, g.count(cherviltide.EventDied), "a step of the clock without bounded steps")
}

// TestIncarnations guards against a late announcement of a dead or replaced process that changes its successor.
func TestIncarnations(t *testing.T) {
	g := newGroup(3)
	newer, other := agent(0), agent(9)
	newer.Incarnation = 20
	g.commit(g.t.HandleAnnouncement(g.now, tracker.Announcement{Member: newer}))
	g.commit(g.t.HandleAnnouncement(g.now, tracker.Announcement{Member: agent(0), Ended: true}))
	g.commit(g.t.HandleAnnouncement(g.now, tracker.Announcement{Member: agent(0), Leaving: true}))
	require.True(t, g.t.IsAlive(newer))
	require.Zero(t, g.count(cherviltide.EventDied)+g.count(cherviltide.EventLeaving))
	// A deposed leader's proposal may be committed after its successor's.
	g.commit([]cherviltide.MemberEvent{{Type: cherviltide.EventJoined, Member: agent(0)}, {Type: cherviltide.EventDied, Member: agent(0)}})
	require.True(t, g.t.IsAlive(newer), "an event of an older incarnation was applied")
	g.log = nil
	other.Address, other.Incarnation = newer.Address, 30
	g.commit(g.t.HandleAnnouncement(g.now, tracker.Announcement{Member: other}))
	require.True(t, g.t.IsAlive(other))
	require.False(t, g.t.IsAlive(newer), "a process at the same address replaces the older one")
	g.commit([]cherviltide.MemberEvent{{Type: cherviltide.EventJoined, Member: newer}})
	require.False(t, g.t.IsAlive(newer), "a dead incarnation joined again")
	known, late := g.t.NewestIncarnation(newer)
	require.True(t, late)
	require.Equal(t, uint64(20), known)
}

// TestRelease guards against a history that is dropped while its former holder still has flows.
func TestRelease(t *testing.T) {
	tests := map[string]struct {
		report func(g *group, a *tracker.Announcement)
		lead   bool
		want   int
	}{
		"no flow":               {func(_ *group, a *tracker.Announcement) { a.OldestGeneration = a.Generation }, false, 1},
		"an old flow":           {func(*group, *tracker.Announcement) {}, false, 0},
		"a table behind":        {func(_ *group, a *tracker.Announcement) { a.Generation--; a.OldestGeneration = a.Generation }, false, 0},
		"no table":              {func(_ *group, a *tracker.Announcement) { a.Generation, a.OldestGeneration = 0, 0 }, false, 0},
		"a table of a lost log": {func(_ *group, a *tracker.Announcement) { a.Generation = 1 << 62; a.OldestGeneration = 1 << 62 }, false, 0},
		"first report to a new leader": {
			func(_ *group, a *tracker.Announcement) { a.OldestGeneration = a.Generation }, true, 0,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := newGroup(3)
			opened := g.table().Generation()
			g.commit(g.t.HandleAnnouncement(g.now, tracker.Announcement{Member: agent(0), Leaving: true}))
			a := tracker.Announcement{Member: agent(0), Leaving: true, Generation: g.table().Generation(), OldestGeneration: opened}
			test.report(g, &a)
			left := g.table().Generation()
			g.commit(g.t.HandleAnnouncement(g.now, a))
			require.Zero(t, g.released(left), "one report is not enough")
			if test.lead {
				g.lead()
			}
			g.commit(g.t.HandleAnnouncement(g.now+1_000, a))
			require.Equal(t, test.want, g.released(left))
		})
	}
}

// TestWeight guards against weights that follow noise, and against weights that never follow.
func TestWeight(t *testing.T) {
	for name, test := range map[string]struct {
		rate     func(second int) uint32
		low, max int
	}{
		"noise within the dead band": {func(s int) uint32 { return uint32(900 + 200*(s%2)) }, 0, 0},
		"a target at a quarter":      {func(int) uint32 { return 250 }, 2, 6},
		"a target four times faster": {func(int) uint32 { return 4_000 }, 2, 10},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGroup(1)
			for s := range 120 {
				g.reply["desk-0"] = tracker.Announcement{Member: agent(0), Rate: test.rate(s)}
				g.run(1_000)
			}
			n := g.count(cherviltide.EventWeighed)
			require.GreaterOrEqual(t, n, test.low)
			require.LessOrEqual(t, n, test.max)
		})
	}
}

// TestSchedules guards against a state that depends on duplicated, delayed or reordered announcements, on the leader, or
// on whether it was replayed, restored or lived through.
func TestSchedules(t *testing.T) {
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 0))
		g, late := newGroup(6), []tracker.Announcement{}
		for range 300 {
			a := tracker.Announcement{Member: agent(r.IntN(6)), Leaving: r.IntN(20) == 0, Ended: r.IntN(40) == 0, Rate: uint32(r.IntN(4000))}
			a.Member.Incarnation += uint64(r.IntN(4))
			late = append(late, a)
			for _, x := range []tracker.Announcement{a, late[r.IntN(len(late))]} {
				known, _ := g.t.NewestIncarnation(x.Member)
				g.commit(g.t.HandleAnnouncement(g.now, x))
				after, _ := g.t.NewestIncarnation(x.Member)
				require.GreaterOrEqual(t, after, known, "seed %d: incarnation went back", seed)
			}
			if r.IntN(30) == 0 {
				g.lead()
			}
			g.run(cherviltide.Millis(250 * r.IntN(8)))
		}
		replayed := tracker.New()
		for i, e := range g.log {
			entry, err := tracker.Encode(e)
			require.NoError(t, err)
			replayed.Apply(uint64(i+1), entry)
		}
		require.Equal(t, g.t.LiveMembers(), replayed.LiveMembers(), "seed %d", seed)
		snapshot, err := g.t.Snapshot()
		require.NoError(t, err)
		again, err := replayed.Snapshot()
		require.NoError(t, err)
		require.Equal(t, snapshot, again, "seed %d", seed)
		require.NoError(t, replayed.Restore(g.index, snapshot))
		require.Equal(t, g.table().Digest(), replayed.Tables()["desk"].Digest(), "seed %d", seed)
	}
}

// TestPaused guards against a member that gets new flows while its process restarts, and against one that gets none for
// ever after it.
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
