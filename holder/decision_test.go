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

func TestDecide(t *testing.T) {
	key := cherviltide.FlowKey{Caller: netip.MustParseAddrPort("127.0.0.9:9"), Virtual: netip.MustParseAddrPort("127.8.0.1:4")}
	all := tables(3)
	table := all[3]
	chain := table.AppendCandidates(nil, key)
	require.GreaterOrEqual(t, len(chain), 2)
	owner, second := chain[0], chain[len(chain)-1]
	left := tables(3, int(owner.Address.Port()))[4]
	heir := left.AppendCandidates(nil, key)[0]
	other := netip.MustParseAddrPort("127.0.0.1:77")
	last := uint8(len(chain) - 1)
	gen := table.Generation()
	walkFrom1 := Decision{Action: ActionForward, To: chain[1].Address, Flags: framer.FlagProbe, Position: 1}
	offer := Decision{Action: ActionForward, To: second.Address, Flags: framer.FlagOffered, Remote: RemoteFlow{Kind: NoteOffered, To: second.Address}}
	opens := Decision{Action: ActionOpen, Opened: gen, ForgetRemote: true}
	head := func(flags framer.Flags, position uint8, generation uint64) framer.Header {
		return framer.Header{Flow: key, Flags: flags, Position: position, Generation: generation, Hops: 1}
	}
	end := head(framer.FlagReturned, last, gen)
	cases := map[string]struct {
		s    DecisionInput
		want Decision
	}{
		"held":                                        {DecisionInput{Self: second, Held: true}, Decision{Action: ActionDeliver}},
		"held probe notifies":                         {DecisionInput{Self: second, Held: true, Header: head(framer.FlagProbe, 1, gen)}, Decision{Action: ActionDeliver, Notify: true}},
		"held direct probe is quiet":                  {DecisionInput{Self: second, Held: true, Header: head(framer.FlagProbe, 0, gen)}, Decision{Action: ActionDeliver}},
		"notice is noted":                             {DecisionInput{Self: owner, Sender: other, Header: head(framer.FlagHolderNotice, 0, gen)}, Decision{Action: ActionAbsorb, Remote: RemoteFlow{Kind: NoteHeld, To: other}}},
		"notice never reaches a connection":           {DecisionInput{Self: owner, Held: true, Header: head(framer.FlagHolderNotice, 0, gen)}, Decision{Action: ActionAbsorb}},
		"probe of an equal table":                     {DecisionInput{Self: second, Sender: other, Header: head(framer.FlagProbe, 1, gen)}, Decision{Action: ActionReturn, Flags: framer.FlagReturned, Position: 1, Remote: RemoteFlow{Kind: NoteProber, To: other, Generation: gen}}},
		"probe of an older table":                     {DecisionInput{Self: second, Sender: other, Header: head(framer.FlagProbe, 1, gen-1)}, Decision{Action: ActionReturn, Flags: framer.FlagReturned, Position: 1}},
		"owner searches before it opens":              {DecisionInput{Self: owner, CanOpen: true}, walkFrom1},
		"full owner searches before it refuses":       {DecisionInput{Self: owner, CanOpen: true, Full: true}, walkFrom1},
		"last candidate answered":                     {DecisionInput{Self: owner, CanOpen: true, Header: end}, opens},
		"not opening":                                 {DecisionInput{Self: owner, Header: end}, Decision{Action: ActionDrop}},
		"busy owner offers":                           {DecisionInput{Self: owner, CanOpen: true, Busy: true, Header: end}, offer},
		"full owner offers":                           {DecisionInput{Self: owner, CanOpen: true, Full: true, Header: end}, offer},
		"retransmission after an offer":               {DecisionInput{Self: owner, CanOpen: true, Remote: offer.Remote}, offer},
		"search that ends after an offer":             {DecisionInput{Self: owner, CanOpen: true, Remote: offer.Remote, Header: end}, offer},
		"declined":                                    {DecisionInput{Self: owner, CanOpen: true, Busy: true, Remote: offer.Remote, Header: head(framer.FlagDeclined, 0, gen)}, opens},
		"declined and full":                           {DecisionInput{Self: owner, CanOpen: true, Full: true, Header: head(framer.FlagDeclined, 0, gen)}, Decision{Action: ActionRefuse, ForgetRemote: true}},
		"declined by a lost owner":                    {DecisionInput{Self: second, CanOpen: true, Header: head(framer.FlagDeclined, 0, gen)}, Decision{Action: ActionForward, To: owner.Address, ForgetRemote: true}},
		"offer accepted":                              {DecisionInput{Self: second, CanOpen: true, Header: head(framer.FlagOffered, 0, gen-1)}, Decision{Action: ActionOpen, Opened: gen - 1}},
		"offer to a busy agent":                       {DecisionInput{Self: second, CanOpen: true, Busy: true, Sender: other, Header: head(framer.FlagOffered, 0, gen)}, Decision{Action: ActionReturn, Flags: framer.FlagDeclined, Remote: RemoteFlow{Kind: NoteDeclined, To: other, Declined: true}}},
		"offer repeated after a decline":              {DecisionInput{Self: second, CanOpen: true, Sender: other, Remote: RemoteFlow{Kind: NoteDeclined, To: other, Declined: true}, Header: head(framer.FlagOffered, 0, gen)}, Decision{Action: ActionReturn, Flags: framer.FlagDeclined, Remote: RemoteFlow{Kind: NoteDeclined, To: other, Declined: true}}},
		"offer while a newer owner searches":          {DecisionInput{Self: second, CanOpen: true, Sender: other, Remote: RemoteFlow{Kind: NoteProber, To: heir.Address, Generation: gen + 1}, Header: head(framer.FlagOffered, 0, gen)}, Decision{Action: ActionForward, To: heir.Address}},
		"search ends while a newer owner searches":    {DecisionInput{Self: owner, CanOpen: true, Remote: RemoteFlow{Kind: NoteProber, To: heir.Address, Generation: gen + 1}, Header: end}, Decision{Action: ActionForward, To: heir.Address}},
		"note of an older search is void":             {DecisionInput{Self: owner, CanOpen: true, Remote: RemoteFlow{Kind: NoteProber, To: heir.Address, Generation: gen - 1}}, walkFrom1},
		"told holder":                                 {DecisionInput{Self: owner, Remote: RemoteFlow{Kind: NoteHeld, To: other}}, Decision{Action: ActionForward, To: other, Flags: framer.FlagProbe}},
		"told holder has ended the flow":              {DecisionInput{Self: owner, Sender: other, Remote: RemoteFlow{Kind: NoteHeld, To: other}, Header: head(framer.FlagReturned, 0, gen)}, Decision{Action: ActionForward, To: chain[1].Address, Flags: framer.FlagProbe, Position: 1, ForgetRemote: true}},
		"notice keeps the search that was noted":      {DecisionInput{Self: owner, Sender: other, Remote: RemoteFlow{Kind: NoteProber, To: heir.Address, Generation: gen}, Header: head(framer.FlagHolderNotice, 0, gen)}, Decision{Action: ActionAbsorb, Remote: RemoteFlow{Kind: NoteHeld, To: other, Prober: heir.Address, Generation: gen}}},
		"refuted notice leaves the noted search":      {DecisionInput{Self: second, CanOpen: true, Sender: other, Remote: RemoteFlow{Kind: NoteHeld, To: other, Prober: owner.Address, Generation: gen}, Header: head(framer.FlagReturned, 0, gen)}, Decision{Action: ActionForward, To: owner.Address, Remote: RemoteFlow{Kind: NoteProber, To: owner.Address, Generation: gen}, ForgetRemote: true}},
		"table changed during the search":             {DecisionInput{Self: owner, CanOpen: true, Header: head(framer.FlagReturned, last, gen-1)}, walkFrom1},
		"not the owner":                               {DecisionInput{Self: second, CanOpen: true, Header: head(0, 0, gen)}, Decision{Action: ActionForward, To: owner.Address}},
		"sender's table is newer":                     {DecisionInput{Self: second, CanOpen: true, Header: head(0, 0, gen+1)}, Decision{Action: ActionReturn, Flags: framer.FlagStaleTable}},
		"entry's table is newer":                      {DecisionInput{Self: second, CanOpen: true, Header: framer.Header{Flow: key, Generation: gen + 1}}, Decision{Action: ActionForward, To: owner.Address}},
		"no table":                                    {DecisionInput{Self: owner, Table: all[0], CanOpen: true}, Decision{Action: ActionDrop}},
		"stands in for a lagging owner":               {DecisionInput{Self: owner, Table: left, CanOpen: true, Header: head(framer.FlagStaleTable, 0, left.Generation())}, Decision{Action: ActionForward, To: heir.Address, Flags: framer.FlagProbe}},
		"stand-in opens in its place of the chain":    {DecisionInput{Self: owner, Table: left, CanOpen: true, Header: head(framer.FlagReturned, 9, left.Generation())}, Decision{Action: ActionOpen, Opened: left.Generation() - 1}},
		"stand-in after its declaration":              {DecisionInput{Self: owner, Table: left, CanOpen: true, Declared: left.Generation(), Header: head(framer.FlagReturned, 9, left.Generation())}, Decision{Action: ActionDrop}},
		"offer older than a declaration":              {DecisionInput{Self: second, CanOpen: true, Declared: gen, Sender: other, Header: head(framer.FlagOffered, 0, gen-1)}, Decision{Action: ActionReturn, Flags: framer.FlagDeclined, Remote: RemoteFlow{Kind: NoteDeclined, To: other, Declined: true}}},
		"stand-in without a place does not open":      {DecisionInput{Self: agent(9), CanOpen: true, Header: head(framer.FlagReturned, 9, gen)}, Decision{Action: ActionDrop}},
		"silent candidate does not hold up new flows": {DecisionInput{Self: owner, CanOpen: true, Header: head(framer.FlagReturned, last-1, gen), Unresponsive: func(netip.AddrPort) bool { return true }}, opens},
		"silent candidate is asked for an open flow":  {DecisionInput{Self: owner, Unresponsive: func(netip.AddrPort) bool { return true }}, walkFrom1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if c.s.Table == nil {
				c.s.Table = table
			}
			c.s.Header.Flow = key
			require.Equal(t, c.want, Decide(c.s))
		})
	}
}
