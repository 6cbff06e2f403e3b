package relayer

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/framer"
	"cherviltide.example/cherviltide/pacer"
	"cherviltide.example/cherviltide/picker"
)

// coldDecider returns the decider of an agent whose cold target has started after it and gets at most three opening packets in
// a second, and the input of a decision among a number of agents.
func coldDecider(agents int) (*Decider, Input) {
	d := NewDecider(Limits{MaxFlowAge: 60_000, MaxPayload: 1_200, OpeningTimeout: 1_400, ColdBound: pacer.Bound{Enabled: true, Excess: 1, Margin: 1}}, 0)
	d.SetTarget(Target{Slots: 8, AcceptsNewFlows: true, LastResort: true, ReportedAt: 10, Age: 5, HasAge: true}, false)
	return d, inputAt(10, member(1), withWarmUp(tableOf(agents)))
}

func withWarmUp(table *picker.Table) *picker.Table {
	s := table.Service()
	s.WarmUp = cherviltide.WarmUp{Duration: 30_000, Rate: 2, HasRate: true}
	return table.WithService(s)
}

// TestColdTargetIsBounded guards against opening packets that exceed the hard bound on some path: new flows, copies, offers,
// declined offers, waiting flows and flows that no other target takes.
func TestColdTargetIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, in := coldDecider(2)
		var delivered []cherviltide.Millis
		execute := func(a Arrival, decision Decision) {
			if decision.Action != ActionDeliver || !a.Packet.OpensFlow() {
				return
			}
			delivered = append(delivered, in.Now)
			if i := len(delivered) - 4; i >= 0 {
				require.Greater(t, in.Now-delivered[i], cherviltide.Millis(1_000))
			}
			if rapid.Bool().Draw(t, "returned") {
				returned := a.Packet
				returned.Flags |= cherviltide.PacketReturned
				returned.Token = decision.Token
				d.FromTarget(in, returned)
				return
			}
			d.FromTarget(in, synAck(a.Header.Flow))
			answer(d, in, a.Header.Flow)
		}
		for range rapid.IntRange(5, 60).Draw(t, "packets") {
			in.Now += rapid.SampledFrom([]cherviltide.Millis{0, 1, 30, 400}).Draw(t, "pause")
			d.target.AcceptsNewFlows = rapid.IntRange(0, 4).Draw(t, "accepts") > 0
			a := syn(key(rapid.IntRange(2_000, 2_020).Draw(t, "port")), uint32(rapid.IntRange(0, 2).Draw(t, "copy")))
			a.Header.Flags = rapid.SampledFrom([]framer.Flags{0, framer.FlagOffered, framer.FlagDeclined, framer.FlagReturned}).Draw(t, "flags")
			a.Header.Position = rapid.SampledFrom([]uint8{0, 2, 2 | cannotServeBit}).Draw(t, "position")
			execute(a, d.FromPeer(in, a))
			for a, decision, ok := d.NextWaiting(in); ok; a, decision, ok = d.NextWaiting(in) {
				execute(a, decision)
			}
		}
	})
}

// TestHeldBackFlows guards against flows that the hard bound holds back and that then wait for nothing, bounce, or get a
// prediction that hides the bound.
func TestHeldBackFlows(t *testing.T) {
	for name, test := range map[string]struct {
		agents int
		change func(d *Decider, in *Input, a *Arrival)
		reason Reason
		// cannotServe is true when the offer says that this agent cannot serve the flow itself.
		cannotServe bool
	}{
		"offered to another agent":          {3, func(*Decider, *Input, *Arrival) {}, ReasonOffered, false},
		"waits when no other agent is left": {1, func(*Decider, *Input, *Arrival) {}, ReasonWaiting, false},
		"offered behind others that wait": {3, func(d *Decider, in *Input, _ *Arrival) {
			for port := 4_000; port < 4_003; port++ {
				waiting := offered(syn(key(port), 0))
				waiting.Header.Position = cannotServeBit
				require.Equal(t, ReasonWaiting, d.FromPeer(*in, waiting).Reason)
			}
		}, ReasonOffered, true},
		"refused when it would wait too long": {1, func(d *Decider, in *Input, _ *Arrival) {
			for port := 4_000; port < 4_003; port++ {
				d.FromPeer(*in, syn(key(port), 0))
			}
		}, ReasonOverloaded, false},
		"copy of an open flow is dropped": {3, func(_ *Decider, _ *Input, a *Arrival) { *a = syn(key(3_000), 1) }, ReasonPaced, false},
		"offer is declined":               {3, func(_ *Decider, _ *Input, a *Arrival) { a.Header.Flags = framer.FlagOffered }, ReasonDeclined, false},
		"opens after the second":          {1, func(_ *Decider, in *Input, _ *Arrival) { in.Now += 1_100 }, ReasonOpened, false},
		"target that is the last resort": {1, func(d *Decider, _ *Input, _ *Arrival) {
			d.target.AcceptsNewFlows = false
		}, ReasonUnavailable, false},
	} {
		t.Run(name, func(t *testing.T) {
			d, in := coldDecider(test.agents)
			for range 3 {
				require.Equal(t, ActionDeliver, d.FromPeer(in, offered(syn(key(3_000), 0))).Action)
				d.FromTarget(in, synAck(key(3_000)))
			}
			answer(d, in, key(3_000))
			a := syn(ownedBy(t, in.Table, member(1)), 0)
			test.change(d, &in, &a)
			decision := d.FromPeer(in, a)
			require.Equal(t, test.reason, decision.Reason, decision.Reason.String())
			if decision.Reason == ReasonOffered {
				require.EqualValues(t, maxWaitSteps, decision.Header.Position>>waitShift&maxWaitSteps, "the offer hides the bound")
				require.Equal(t, test.cannotServe, decision.Header.Position&cannotServeBit != 0)
			}
		})
	}
}

func offered(a Arrival) Arrival {
	a.Header.Flags = framer.FlagOffered
	return a
}

// TestColdTargetHasFewRequests guards against a cold target that gets as many requests as a warm one, or none, and against a
// pace in services without a warm-up.
func TestColdTargetHasFewRequests(t *testing.T) {
	for want, table := range map[int]*picker.Table{1: withWarmUp(tableOf(1)), 8: tableOf(1)} {
		d, in := coldDecider(1)
		in.Table = table
		opened := 0
		for port := 3_000; port < 3_010; port++ {
			if d.FromPeer(in, syn(key(port), 0)).Reason == ReasonOpened {
				opened++
			}
		}
		require.Equal(t, want, opened)
	}
}

// TestUploadsTellNoPace guards against uploads over thin links that make a warm target look cold.
func TestUploadsTellNoPace(t *testing.T) {
	for class, want := range map[cherviltide.Class]int{cherviltide.ClassNormal: 4, cherviltide.ClassUpload: 8} {
		d, in := coldDecider(1)
		d.SetTarget(Target{Slots: 8, AcceptsNewFlows: true, Age: 60_000, HasAge: true}, false)
		in.Rules = rules{accepts: true, route: cherviltide.Route{Class: class}}
		for port := 3_000; port < 3_016; port++ {
			d.FromPeer(in, syn(key(port), 0))
			d.FromTarget(in, synAck(key(port)))
			d.FromPeer(in, ack(key(port), 501))
			in.Now += cherviltide.Millis(20 + (port-3_000)/8*500)
			answer(d, in, key(port))
		}
		d.Expire(in)
		limit, _ := d.Pace()
		require.Equal(t, want, limit, class)
	}
}

// TestSilentTargetIsPaced guards against heartbeats that hide the silence of a target's data path from the pace.
func TestSilentTargetIsPaced(t *testing.T) {
	for name, answers := range map[string]bool{"silent": false, "answers": true} {
		t.Run(name, func(t *testing.T) {
			d, in := coldDecider(1)
			report := func() {
				d.SetTarget(Target{Slots: 8, AcceptsNewFlows: true, ReportedAt: in.Now, Age: 60_000, HasAge: true}, false)
			}
			report()
			require.Equal(t, ReasonOpened, d.FromPeer(in, syn(key(3_000), 0)).Reason)
			if answers {
				d.FromTarget(in, synAck(key(3_000)))
			}
			for range 3 {
				in.Now += 250
				report()
				d.Expire(in)
			}
			limit, _ := d.Pace()
			require.Equal(t, answers, limit == 8, limit)
		})
	}
}

// TestPaceAfterEvacuation guards against a target that gets all its slots at once after the evacuation of its failure domain is
// withdrawn, also when a former pace would have ended meanwhile, and against a pace without such a withdrawal.
func TestPaceAfterEvacuation(t *testing.T) {
	for name, test := range map[string]struct {
		domain    string
		hasWarmUp bool
		// age is that of the target at its report at 10 ms.
		age  cherviltide.Millis
		want int
	}{
		"own domain":                              {member(1).FailureDomain, true, 600_000, 1},
		"own domain, target started meanwhile":    {member(1).FailureDomain, true, 5, 1},
		"own domain of a service without warm-up": {member(1).FailureDomain, false, 600_000, 8},
		"another domain":                          {member(2).FailureDomain, true, 600_000, 8},
	} {
		t.Run(name, func(t *testing.T) {
			d, in := coldDecider(3)
			d.SetTarget(Target{Slots: 8, AcceptsNewFlows: true, ReportedAt: 10, Age: test.age, HasAge: true}, test.age < 100)
			if !test.hasWarmUp {
				in.Table = tableOf(3)
			}
			d.Expire(in)
			domain := cherviltide.Member{FailureDomain: test.domain}
			in.Table = in.Table.WithEvent(5, cherviltide.MemberEvent{Type: cherviltide.EventEvacuated, Member: domain})
			d.Expire(in)
			in.Now += 45_000
			in.Table = in.Table.WithEvent(6, cherviltide.MemberEvent{Type: cherviltide.EventRestored, Member: domain})
			d.FromPeer(in, offered(syn(key(3_000), 0)))
			limit, _ := d.Pace()
			require.Equal(t, test.want, limit)
		})
	}
}
