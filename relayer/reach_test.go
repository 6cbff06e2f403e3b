package relayer

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/framer"
)

// TestPacketsBehindCut guards against packets that an agent sends into a cut although another way is open, and against detours
// without an end. The agent is in domain b with agent 4; its flow is owned by agent 2 in domain c, and 3 and 6 are in domain a.
func TestPacketsBehindCut(t *testing.T) {
	table := tableOf(6)
	flow := ownedBy(t, table, member(2))
	holder := member(5).Address
	domainOf := map[netip.AddrPort]string{}
	for _, m := range table.Active() {
		domainOf[m.Address] = m.FailureDomain
	}
	opening, copied, later := syn(flow, 0), syn(flow, 1), ack(flow, 501)
	ready := func(*Decider, Input, Arrival) {}
	busy := func(d *Decider, _ Input, _ Arrival) { d.load.active = 2 }
	held := func(d *Decider, in Input, _ Arrival) { d.recordHolder(in, flow, holder, true) }
	searched := func(d *Decider, in Input, a Arrival) {
		d.rememberSearch(in, a)
		d.markSearched(flow)
	}
	for name, test := range map[string]struct {
		closed   []string
		packet   Arrival
		position uint8
		prepare  func(d *Decider, in Input, a Arrival)
		reason   Reason
		// to and copied are the failure domains of the receivers, or empty.
		to, copied string
	}{
		"opening packet, nothing closed":             {nil, opening, 0, ready, ReasonNotOwner, "c", ""},
		"opening packet, owner closed":               {[]string{"c"}, opening, 0, ready, ReasonOpened, "", ""},
		"opening packet, owner closed for the entry": {nil, opening, framer.PositionOwnerClosed, ready, ReasonOpened, "", ""},
		"copy, owner closed for the entry":           {nil, copied, framer.PositionOwnerClosed, ready, ReasonOpened, "", ""},
		"copy, first one offered to an agent that is now closed": {[]string{"c"}, copied, 0, func(d *Decider, in Input, a Arrival) {
			d.remoteFlows.set(flow, remoteFlow{state: remoteOffered, agent: holder, attempt: 2}, in.Now)
			busy(d, in, a)
		}, ReasonOffered, "b", ""},
		"copy, first one opened by an agent that is now closed": {[]string{"c"}, copied, 0, func(d *Decider, in Input, _ Arrival) {
			d.recordHolder(in, flow, holder, false)
		}, ReasonOpened, "", ""},
		"offer, all others closed":                    {[]string{"a", "c"}, opening, 0, busy, ReasonOffered, "b", ""},
		"holder known, open":                          {nil, later, 0, held, ReasonProbed, "c", ""},
		"holder known, closed, a third domain open":   {[]string{"c"}, later, 0, held, ReasonDetour, "a", "c"},
		"holder known, all others closed":             {[]string{"a", "c"}, later, 0, held, ReasonDetour, "c", ""},
		"holder known, closed, on a detour":           {[]string{"c"}, later, framer.PositionDetour, held, ReasonDetour, "c", ""},
		"searched, owner closed":                      {[]string{"c"}, later, 0, searched, ReasonDetour, "a", "c"},
		"searched, owner closed, copied by the entry": {[]string{"c"}, later, framer.PositionOwnerClosed, searched, ReasonDetour, "a", ""},
		"searched, on a detour":                       {[]string{"c"}, later, framer.PositionDetour, searched, ReasonNoHolder, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			d, in, a := newDecider(), inputAt(10, member(4), table), test.packet
			d.target.PredatesAgent = false
			in.Closed, a.Header.Position = test.closed, test.position
			d.observeTable(in)
			d.tableChangedAt = -tableSettleTime
			test.prepare(d, in, a)
			decision := d.FromPeer(in, a)
			require.Equal(t, test.reason, decision.Reason, decision.Reason.String())
			require.Equal(t, test.to, domainOf[decision.To])
			require.Equal(t, test.copied, domainOf[decision.Copy])
		})
	}
}

// TestNoticesAfterCut guards against an owner behind a cut that does not learn after it which agent holds its flow.
func TestNoticesAfterCut(t *testing.T) {
	table := tableOf(6)
	flow := ownedBy(t, table, member(2))
	d, in := newDecider(), inputAt(10, member(1), table)
	in.Closed = []string{"c"}
	require.Equal(t, ReasonOpened, d.FromPeer(in, syn(flow, 0)).Reason)
	d.FromTarget(in, synAck(flow))
	d.FromPeer(in, ack(flow, 501))
	d.Notices(in)
	require.False(t, d.HasNotices(in))
	in.Now, in.Closed = 1_000, nil
	require.True(t, d.HasNotices(in))
	require.Contains(t, d.Notices(in), Notice{To: member(2).Address, Use: noticeHeld, Flows: []cherviltide.FlowKey{flow}})
	require.False(t, d.HasNotices(in))
}

// TestNoticesToSubstitutes guards against a flow that is lost behind a cut when its owner's substitute changes: the new one must
// learn who holds the flow, also when the entry or the agent learns of the change first. Agents 3 and 6 are in domain a.
func TestNoticesToSubstitutes(t *testing.T) {
	table, closed := tableOf(6), []string{"b", "c"}
	flow := ownedBy(t, table, member(2))
	substitute, _ := table.PickOpen(flow, closed)
	other := member(3)
	if substitute.Name == other.Name {
		other = member(6)
	}
	without := table.WithEvent(100, cherviltide.MemberEvent{Type: cherviltide.EventSuspected, Member: substitute})
	for name, changes := range map[string]bool{"table changes later": true, "entry is behind": false} {
		t.Run(name, func(t *testing.T) {
			d, in, opening := newDecider(), inputAt(10, other, without), syn(flow, 0)
			if !changes {
				in.Table = table
			}
			in.Closed, opening.Header.Position = closed, framer.PositionOwnerClosed
			decision := d.FromPeer(in, opening)
			require.Equal(t, ReasonOpened, decision.Reason)
			if !changes {
				require.Equal(t, substitute.Address, decision.Notify)
				return
			}
			require.False(t, decision.Notify.IsValid())
			d.Notices(in)
			in.Table = table
			require.True(t, d.HasNotices(in))
			require.Contains(t, d.Notices(in), Notice{To: substitute.Address, Use: noticeOpened, Flows: []cherviltide.FlowKey{flow}})
			in.Table = without
			d.Notices(in)
			d.FromTarget(in, synAck(flow))
			d.FromPeer(in, ack(flow, 501))
			in.Table = table
			require.Contains(t, d.Notices(in), Notice{To: substitute.Address, Use: noticeHeld, Flows: []cherviltide.FlowKey{flow}})
		})
	}
}

// TestOlderTableAfterRelease guards against a flow that counts as older than what the agent has announced as released, when a table
// with retained agents is older for a moment than the one before it.
func TestOlderTableAfterRelease(t *testing.T) {
	table := tableOf(6)
	flow := ownedBy(t, table, member(2))
	d, in := newDecider(), inputAt(10, member(2), table)
	d.target.PredatesAgent = false
	announced := table.Generation() + 5
	require.Equal(t, announced, d.OldestGeneration(in.Now, announced))
	require.Equal(t, ReasonOpened, d.FromPeer(in, syn(flow, 0)).Reason)
	require.Equal(t, announced, d.OldestGeneration(in.Now, announced))
}
