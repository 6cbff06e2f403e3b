package relayer

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/follower"
	"cherviltide.example/cherviltide/framer"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/picker"
)

// deciderOf returns the decider of an agent whose target is older than the agent if restarted is true.
func deciderOf(restarted bool) *Decider {
	d := NewDecider(Limits{MaxFlowAge: 60_000, MaxPayload: 1_200}, 0)
	d.SetTarget(Target{Slots: 2, AcceptsNewFlows: true, LastResort: true, PredatesAgent: restarted}, false)
	return d
}

// openOffered opens a flow at an agent that its owner has offered it to.
func openOffered(t *testing.T, d *Decider, self, owner cherviltide.Member, table *picker.Table, flow cherviltide.FlowKey) {
	t.Helper()
	in := inputAt(10, self, table)
	d.Notices(in)
	offer := syn(flow, 0)
	offer.Sender, offer.Header.Flags = owner.Address, framer.FlagOffered
	require.Equal(t, ReasonOpened, d.FromPeer(in, offer).Reason)
	d.FromTarget(in, synAck(flow))
	data := ack(flow, 501)
	data.Sender, data.Header.Flags, data.Header.Position = owner.Address, framer.FlagProbe, directPosition
	require.Equal(t, []Notice{{To: owner.Address, Use: noticeHeld, Flows: []cherviltide.FlowKey{flow}}}, d.FromPeer(in, data).Notices)
}

// deliverNotices passes notices to the decider of their receiver.
func deliverNotices(d *Decider, in Input, from cherviltide.Member, notices []Notice) (answers []Notice) {
	for _, n := range notices {
		if n.To == in.Self.Address {
			a := Arrival{Sender: from.Address, Flows: n.Flows, Header: framer.Header{Flags: framer.FlagHolderNotice, Position: n.Use, Entry: n.Holder}}
			answers = append(answers, d.FromPeer(in, a).Notices...)
		}
	}
	return answers
}

// notACandidate returns a flow of an owner, and an agent that its bucket does not lead to.
func notACandidate(t *testing.T, table *picker.Table, owner cherviltide.Member) (cherviltide.FlowKey, cherviltide.Member) {
	t.Helper()
	for port := 1024; port < 65000; port++ {
		candidates := map[string]bool{}
		for _, m := range table.AppendCandidates(nil, key(port)) {
			candidates[m.Name] = true
		}
		first, _ := table.Pick(key(port))
		for _, m := range table.AppendMembers(nil) {
			if first.Name == owner.Name && !candidates[m.Name] {
				return key(port), m
			}
		}
	}
	t.Fatal("all agents are candidates of all flows")
	return cherviltide.FlowKey{}, cherviltide.Member{}
}

// TestRestartedOwnerFindsHolder guards against open flows that get no packet through after the agent that offered them to another
// one has restarted: nothing but that agent's memory led to the holder.
func TestRestartedOwnerFindsHolder(t *testing.T) {
	table := tableOf(8)
	owner := member(1)
	flow, other := notACandidate(t, table, owner)
	holder := deciderOf(false)
	openOffered(t, holder, other, owner, table, flow)

	restarted, in := deciderOf(true), inputAt(1_000, owner, table)
	require.Equal(t, ReasonRecalling, restarted.FromPeer(in, ack(flow, 502)).Reason)
	recalls := restarted.Notices(in)
	require.Len(t, recalls, 7)
	answers := deliverNotices(holder, inputAt(1_000, other, table), owner, recalls)
	deliverNotices(restarted, in, other, answers)
	decision := restarted.FromPeer(in, ack(flow, 502))
	require.Equal(t, ReasonProbed, decision.Reason)
	require.Equal(t, other.Address, decision.To)
}

// TestRestartedHolderLearnsItsFlows guards against a packet that is sent to the target of another agent because the holder does not
// know after its restart which flows its target has.
func TestRestartedHolderLearnsItsFlows(t *testing.T) {
	table := tableOf(8)
	owner := member(1)
	flow, other := notACandidate(t, table, owner)
	atOwner, in := deciderOf(false), inputAt(1_000, owner, table)
	deliverNotices(atOwner, in, other, []Notice{{To: owner.Address, Use: noticeHeld, Flows: []cherviltide.FlowKey{flow}}})
	restarted, holderIn := deciderOf(true), inputAt(1_000, other, table)
	answers := deliverNotices(atOwner, in, other, restarted.Notices(holderIn))
	deliverNotices(restarted, holderIn, owner, answers)
	require.Equal(t, ReasonHeld, restarted.FromPeer(holderIn, ack(flow, 502)).Reason)
}

// TestNewOwnerFindsHolder guards against open flows that get no packet through after targets were replaced one after the other,
// until no agent is left that has offered them.
func TestNewOwnerFindsHolder(t *testing.T) {
	table := tableOf(8)
	owner := member(1)
	flow, other := notACandidate(t, table, owner)
	holder := deciderOf(false)
	openOffered(t, holder, other, owner, table, flow)
	require.Empty(t, holder.Notices(inputAt(20, other, table)))
	next := table.WithEvent(100, cherviltide.MemberEvent{Type: cherviltide.EventDied, Member: owner})
	newOwner, ok := next.Pick(flow)
	require.True(t, ok)
	require.NotEqual(t, other.Name, newOwner.Name)
	require.True(t, holder.HasNotices(inputAt(30, other, next)))
	notices := holder.Notices(inputAt(30, other, next))
	require.Equal(t, []Notice{{To: newOwner.Address, Use: noticeHeld, Flows: []cherviltide.FlowKey{flow}}}, notices)
	d, in := deciderOf(false), inputAt(30, newOwner, next)
	deliverNotices(d, in, other, notices)
	require.Equal(t, other.Address, d.FromPeer(in, ack(flow, 502)).To)
	require.Len(t, holder.Notices(inputAt(30+noticeInterval, other, next)), 1, "a lost notice is not repeated")
}

// TestRecallEnds guards against an agent that drops packets of unknown flows for as long as another agent does not answer.
func TestRecallEnds(t *testing.T) {
	table := tableOf(3)
	d, self := deciderOf(true), member(1)
	flow := ownedBy(t, table, self)
	require.Len(t, d.Notices(inputAt(1, self, table)), 2)
	deliverNotices(d, inputAt(2, self, table), member(2), []Notice{{To: self.Address, Use: noticeRecallEnd}})
	require.Equal(t, ReasonRecalling, d.FromPeer(inputAt(3, self, table), ack(flow, 501)).Reason)
	require.Equal(t, []Notice{{To: member(3).Address, Use: noticeRecall}}, d.Notices(inputAt(1+2*recallInterval, self, table)))
	require.Equal(t, ReasonUnsure, d.FromPeer(inputAt(1+recallTimeout, self, table), ack(flow, 501)).Reason)
	rounds := 0
	for now := recallTimeout; now < 600_000; now += 250 {
		for _, n := range d.Notices(inputAt(now, self, table)) {
			require.Equal(t, member(3).Address, n.To)
			rounds++
		}
	}
	require.Less(t, rounds, maxRecalls)
}

// TestRecallOfRetiredService guards against an agent that drops the packets of open flows after its restart because the rules no longer
// define its service: without the table of the service it never asks the other agents who holds them.
func TestRecallOfRetiredService(t *testing.T) {
	table := tableOf(3)
	data, err := table.Snapshot()
	require.NoError(t, err)
	other := cherviltide.Rules{Revision: 1, Services: []cherviltide.Service{{Name: "other", ID: cherviltide.ServiceIDOf("other"), Buckets: 8}}}
	for name, rules := range map[string]cherviltide.Rules{
		"retired by the newest rules": {Revision: 2, Services: other.Services},
		"retired before the restart":  other,
	} {
		t.Run(name, func(t *testing.T) {
			view := follower.NewView().WithRules(other)
			view, err := view.WithTables([]messenger.TableSnapshot{{Service: service, Buckets: 64, Data: data}}, true, nil)
			require.NoError(t, err)
			r := newViewRules(view.WithRules(rules), service)
			require.True(t, r.hasTable)
			d, self := deciderOf(true), member(1)
			in := inputAt(1, self, r.table)
			require.Len(t, d.Notices(in), 2)
			deliverNotices(d, in, member(2), []Notice{{To: self.Address, Use: noticeRecallEnd}})
			deliverNotices(d, in, member(3), []Notice{{To: self.Address, Use: noticeRecallEnd}})
			require.Equal(t, ReasonUnsure, d.FromPeer(in, ack(ownedBy(t, table, self), 501)).Reason)
		})
	}
}

// TestRecallOfStranger guards against an answer to an agent that is not in the table.
func TestRecallOfStranger(t *testing.T) {
	table := tableOf(2)
	d, in := deciderOf(false), inputAt(10, member(1), table)
	stranger := member(9)
	require.Empty(t, deliverNotices(d, in, stranger, []Notice{{To: member(1).Address, Use: noticeRecall}}))
}

// TestSearchesAreBounded guards against forged packets of one address that make agents search for flows that nobody holds.
func TestSearchesAreBounded(t *testing.T) {
	table := tableOf(3)
	d := deciderOf(false)
	flood := func(in Input, caller netip.Addr) (searched int) {
		for port := range 5_000 {
			flow := cherviltide.FlowKey{Caller: netip.AddrPortFrom(caller, uint16(port+1)), Virtual: netip.MustParseAddrPort("198.18.0.1:443")}
			if d.FromPeer(in, ack(flow, 501)).Reason != ReasonSearchLimit {
				searched++
			}
		}
		return searched
	}
	in := inputAt(10, member(1), table)
	require.Equal(t, maxSearches, flood(in, netip.MustParseAddr("100.64.0.1")))
	require.Equal(t, maxSearches, flood(in, netip.MustParseAddr("100.64.0.2")))
	require.Equal(t, maxSearches, flood(inputAt(10+searchWindow, member(1), table), netip.MustParseAddr("100.64.0.1")))
}

// TestManyFlowsElsewhere guards against flows that an agent forgets because many flows of its buckets are held elsewhere, and
// against forged packets that fill its memory.
func TestManyFlowsElsewhere(t *testing.T) {
	table := tableOf(3)
	d, in := deciderOf(false), inputAt(10, member(1), table)
	const flows = 3 * maxUnconfirmed
	flowAt := func(i int) cherviltide.FlowKey {
		f := key(1 + i%60_000)
		f.Caller = netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 1, byte(i / 60_000)}), f.Caller.Port())
		return f
	}
	for i := range flows {
		d.recordHolder(in, flowAt(i), member(2).Address, true)
		d.remoteFlows.markNotAtTarget(key(i%60_000+1), in.Now)
	}
	require.LessOrEqual(t, len(d.remoteFlows.byFlow), flows+maxUnconfirmed)
	for i := range flows {
		require.Equal(t, member(2).Address, d.remoteFlows.get(flowAt(i), in.Now).agent)
	}
	d.remoteFlows.expire(in.Now + DefaultIdleTimeout + 1)
	require.Empty(t, d.remoteFlows.byFlow)
	require.Zero(t, d.remoteFlows.unconfirmed)
}
