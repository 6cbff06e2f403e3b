package holder

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/framer"
	"cherviltide.example/cherviltide/picker"
)

func agent(i int) cherviltide.Member {
	return cherviltide.Member{
		Name: fmt.Sprintf("a%d", i), Role: cherviltide.RoleAgent, Service: "s", Weight: 1000, Incarnation: 1,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(i)),
	}
}

// tables returns the table after 0, 1, ... events: agents 1 to n join, then the listed agents leave.
func tables(n int, leaving ...int) []*picker.Table {
	t := picker.New(cherviltide.Service{Name: "s", Buckets: 1, Connections: 10})
	list := []*picker.Table{t}
	for i := 1; i <= n; i++ {
		t = t.WithEvent(uint64(len(list)), cherviltide.MemberEvent{Type: cherviltide.EventJoined, Member: agent(i)})
		list = append(list, t)
	}
	for _, i := range leaving {
		t = t.WithEvent(uint64(len(list)), cherviltide.MemberEvent{Type: cherviltide.EventLeaving, Member: agent(i)})
		list = append(list, t)
	}
	return list
}

// TestDecide guards against a wrong decision in each state of a flow: a flow that two agents open, a datagram that does not
// reach the holder, and a forwarding loop.
func TestDecide(t *testing.T) {
	key := cherviltide.FlowKey{Caller: netip.MustParseAddrPort("127.0.0.9:9"), Virtual: netip.MustParseAddrPort("127.8.0.1:4")}
	all := tables(3)
	table := all[3]
	candidates := table.AppendCandidates(nil, key)
	require.GreaterOrEqual(t, len(candidates), 2)
	owner, secondary := candidates[0], candidates[len(candidates)-1]
	afterLeave := tables(3, int(owner.Address.Port()))[4]
	nextOwner := afterLeave.AppendCandidates(nil, key)[0]
	other := netip.MustParseAddrPort("127.0.0.1:77")
	last := uint8(len(candidates) - 1)
	tableGeneration := table.Generation()
	probeFirst := Decision{Action: ActionForward, To: candidates[1].Address, Flags: framer.FlagProbe, Position: 1}
	offer := Decision{Action: ActionForward, To: secondary.Address, Flags: framer.FlagOffered, Remote: RemoteFlow{State: RemoteOffered, Agent: secondary.Address}}
	openHere := Decision{Action: ActionOpen, OpeningGeneration: tableGeneration, ForgetRemote: true}
	header := func(flags framer.Flags, position uint8, generation uint64) framer.Header {
		return framer.Header{Flow: key, Flags: flags, Position: position, Generation: generation, Hops: 1}
	}
	lastReturned := header(framer.FlagReturned, last, tableGeneration)
	cases := map[string]struct {
		in   DecisionInput
		want Decision
	}{
		"held":                                              {DecisionInput{Self: secondary, Held: true}, Decision{Action: ActionDeliver}},
		"held probe notifies":                               {DecisionInput{Self: secondary, Held: true, Header: header(framer.FlagProbe, 1, tableGeneration)}, Decision{Action: ActionDeliver, Notify: true}},
		"held direct probe does not notify":                 {DecisionInput{Self: secondary, Held: true, Header: header(framer.FlagProbe, 0, tableGeneration)}, Decision{Action: ActionDeliver}},
		"notice records the holder":                         {DecisionInput{Self: owner, Sender: other, Header: header(framer.FlagHolderNotice, 0, tableGeneration)}, Decision{Action: ActionConsume, Remote: RemoteFlow{State: RemoteHeld, Agent: other}}},
		"notice never reaches a connection":                 {DecisionInput{Self: owner, Held: true, Header: header(framer.FlagHolderNotice, 0, tableGeneration)}, Decision{Action: ActionConsume}},
		"probe of an equal table":                           {DecisionInput{Self: secondary, Sender: other, Header: header(framer.FlagProbe, 1, tableGeneration)}, Decision{Action: ActionReturn, Flags: framer.FlagReturned, Position: 1, Remote: RemoteFlow{State: RemoteSearched, Agent: other, Generation: tableGeneration}}},
		"probe of an older table":                           {DecisionInput{Self: secondary, Sender: other, Header: header(framer.FlagProbe, 1, tableGeneration-1)}, Decision{Action: ActionReturn, Flags: framer.FlagReturned, Position: 1}},
		"owner searches before it opens":                    {DecisionInput{Self: owner, CanOpen: true}, probeFirst},
		"full owner searches before it refuses":             {DecisionInput{Self: owner, CanOpen: true, Full: true}, probeFirst},
		"last candidate returned the datagram":              {DecisionInput{Self: owner, CanOpen: true, Header: lastReturned}, openHere},
		"datagram cannot open a flow":                       {DecisionInput{Self: owner, Header: lastReturned}, Decision{Action: ActionDrop}},
		"busy owner offers":                                 {DecisionInput{Self: owner, CanOpen: true, Busy: true, Header: lastReturned}, offer},
		"full owner offers":                                 {DecisionInput{Self: owner, CanOpen: true, Full: true, Header: lastReturned}, offer},
		"retransmission after an offer":                     {DecisionInput{Self: owner, CanOpen: true, Remote: offer.Remote}, offer},
		"search that ends after an offer":                   {DecisionInput{Self: owner, CanOpen: true, Remote: offer.Remote, Header: lastReturned}, offer},
		"declined":                                          {DecisionInput{Self: owner, CanOpen: true, Busy: true, Remote: offer.Remote, Header: header(framer.FlagDeclined, 0, tableGeneration)}, openHere},
		"declined and full":                                 {DecisionInput{Self: owner, CanOpen: true, Full: true, Header: header(framer.FlagDeclined, 0, tableGeneration)}, Decision{Action: ActionRefuse, ForgetRemote: true}},
		"declined, no longer the owner":                     {DecisionInput{Self: secondary, CanOpen: true, Header: header(framer.FlagDeclined, 0, tableGeneration)}, Decision{Action: ActionForward, To: owner.Address, ForgetRemote: true}},
		"offer accepted":                                    {DecisionInput{Self: secondary, CanOpen: true, Header: header(framer.FlagOffered, 0, tableGeneration-1)}, Decision{Action: ActionOpen, OpeningGeneration: tableGeneration - 1}},
		"offer to a busy agent":                             {DecisionInput{Self: secondary, CanOpen: true, Busy: true, Sender: other, Header: header(framer.FlagOffered, 0, tableGeneration)}, Decision{Action: ActionReturn, Flags: framer.FlagDeclined, Remote: RemoteFlow{State: RemoteDeclined, Agent: other, Declined: true}}},
		"offer repeated after a decline":                    {DecisionInput{Self: secondary, CanOpen: true, Sender: other, Remote: RemoteFlow{State: RemoteDeclined, Agent: other, Declined: true}, Header: header(framer.FlagOffered, 0, tableGeneration)}, Decision{Action: ActionReturn, Flags: framer.FlagDeclined, Remote: RemoteFlow{State: RemoteDeclined, Agent: other, Declined: true}}},
		"offer while a newer owner searches":                {DecisionInput{Self: secondary, CanOpen: true, Sender: other, Remote: RemoteFlow{State: RemoteSearched, Agent: nextOwner.Address, Generation: tableGeneration + 1}, Header: header(framer.FlagOffered, 0, tableGeneration)}, Decision{Action: ActionForward, To: nextOwner.Address}},
		"search ends while a newer owner searches":          {DecisionInput{Self: owner, CanOpen: true, Remote: RemoteFlow{State: RemoteSearched, Agent: nextOwner.Address, Generation: tableGeneration + 1}, Header: lastReturned}, Decision{Action: ActionForward, To: nextOwner.Address}},
		"record of an older search is ignored":              {DecisionInput{Self: owner, CanOpen: true, Remote: RemoteFlow{State: RemoteSearched, Agent: nextOwner.Address, Generation: tableGeneration - 1}}, probeFirst},
		"recorded holder":                                   {DecisionInput{Self: owner, Remote: RemoteFlow{State: RemoteHeld, Agent: other}}, Decision{Action: ActionForward, To: other, Flags: framer.FlagProbe}},
		"recorded holder has ended the flow":                {DecisionInput{Self: owner, Sender: other, Remote: RemoteFlow{State: RemoteHeld, Agent: other}, Header: header(framer.FlagReturned, 0, tableGeneration)}, Decision{Action: ActionForward, To: candidates[1].Address, Flags: framer.FlagProbe, Position: 1, ForgetRemote: true}},
		"notice keeps the recorded search":                  {DecisionInput{Self: owner, Sender: other, Remote: RemoteFlow{State: RemoteSearched, Agent: nextOwner.Address, Generation: tableGeneration}, Header: header(framer.FlagHolderNotice, 0, tableGeneration)}, Decision{Action: ActionConsume, Remote: RemoteFlow{State: RemoteHeld, Agent: other, Searcher: nextOwner.Address, Generation: tableGeneration}}},
		"wrong notice leaves the recorded search":           {DecisionInput{Self: secondary, CanOpen: true, Sender: other, Remote: RemoteFlow{State: RemoteHeld, Agent: other, Searcher: owner.Address, Generation: tableGeneration}, Header: header(framer.FlagReturned, 0, tableGeneration)}, Decision{Action: ActionForward, To: owner.Address, Remote: RemoteFlow{State: RemoteSearched, Agent: owner.Address, Generation: tableGeneration}, ForgetRemote: true}},
		"table changed during the search":                   {DecisionInput{Self: owner, CanOpen: true, Header: header(framer.FlagReturned, last, tableGeneration-1)}, probeFirst},
		"not the owner":                                     {DecisionInput{Self: secondary, CanOpen: true, Header: header(0, 0, tableGeneration)}, Decision{Action: ActionForward, To: owner.Address}},
		"sender's table is newer":                           {DecisionInput{Self: secondary, CanOpen: true, Header: header(0, 0, tableGeneration+1)}, Decision{Action: ActionReturn, Flags: framer.FlagStaleTable}},
		"entry's table is newer":                            {DecisionInput{Self: secondary, CanOpen: true, Header: framer.Header{Flow: key, Generation: tableGeneration + 1}}, Decision{Action: ActionForward, To: owner.Address}},
		"table without agents":                              {DecisionInput{Self: owner, Table: all[0], CanOpen: true}, Decision{Action: ActionDrop}},
		"acts for an owner with an older table":             {DecisionInput{Self: owner, Table: afterLeave, CanOpen: true, Header: header(framer.FlagStaleTable, 0, afterLeave.Generation())}, Decision{Action: ActionForward, To: nextOwner.Address, Flags: framer.FlagProbe}},
		"former owner opens as a candidate":                 {DecisionInput{Self: owner, Table: afterLeave, CanOpen: true, Header: header(framer.FlagReturned, 9, afterLeave.Generation())}, Decision{Action: ActionOpen, OpeningGeneration: afterLeave.Generation() - 1}},
		"former owner after its release":                    {DecisionInput{Self: owner, Table: afterLeave, CanOpen: true, ReleasedGeneration: afterLeave.Generation(), Header: header(framer.FlagReturned, 9, afterLeave.Generation())}, Decision{Action: ActionDrop}},
		"offer older than a release":                        {DecisionInput{Self: secondary, CanOpen: true, ReleasedGeneration: tableGeneration, Sender: other, Header: header(framer.FlagOffered, 0, tableGeneration-1)}, Decision{Action: ActionReturn, Flags: framer.FlagDeclined, Remote: RemoteFlow{State: RemoteDeclined, Agent: other, Declined: true}}},
		"agent that is no candidate does not open":          {DecisionInput{Self: agent(9), CanOpen: true, Header: header(framer.FlagReturned, 9, tableGeneration)}, Decision{Action: ActionDrop}},
		"unresponsive candidate does not delay new flows":   {DecisionInput{Self: owner, CanOpen: true, Header: header(framer.FlagReturned, last-1, tableGeneration), Unresponsive: func(netip.AddrPort) bool { return true }}, openHere},
		"unresponsive candidate is probed for an open flow": {DecisionInput{Self: owner, Unresponsive: func(netip.AddrPort) bool { return true }}, probeFirst},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if c.in.Table == nil {
				c.in.Table = table
			}
			c.in.Header.Flow = key
			require.Equal(t, c.want, Decide(c.in))
		})
	}
}
