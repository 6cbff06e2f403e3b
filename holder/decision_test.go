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
	chain := table.Chain(nil, key)
	require.GreaterOrEqual(t, len(chain), 2)
	owner, second := chain[0], chain[len(chain)-1]
	left := tables(3, int(owner.Address.Port()))[4]
	heir := left.Chain(nil, key)[0]
	other := netip.MustParseAddrPort("127.0.0.1:77")
	last := uint8(len(chain) - 1)
	gen := table.Generation()
	walkFrom1 := Step{Action: ActionPass, To: chain[1].Address, Flags: framer.FlagProbe, Position: 1}
	offer := Step{Action: ActionPass, To: second.Address, Flags: framer.FlagOffered, Note: Note{Kind: NoteOffered, To: second.Address}}
	opens := Step{Action: ActionOpen, Opened: gen, Forget: true}
	head := func(flags framer.Flags, position uint8, generation uint64) framer.Header {
		return framer.Header{Flow: key, Flags: flags, Position: position, Generation: generation, Hops: 1}
	}
	end := head(framer.FlagReturned, last, gen)
	cases := map[string]struct {
		s    Situation
		want Step
	}{
		"held":                                        {Situation{Self: second, Held: true}, Step{Action: ActionDeliver}},
		"held probe notifies":                         {Situation{Self: second, Held: true, Header: head(framer.FlagProbe, 1, gen)}, Step{Action: ActionDeliver, Notify: true}},
		"held direct probe is quiet":                  {Situation{Self: second, Held: true, Header: head(framer.FlagProbe, 0, gen)}, Step{Action: ActionDeliver}},
		"notice is noted":                             {Situation{Self: owner, Sender: other, Header: head(framer.FlagHeld, 0, gen)}, Step{Action: ActionAbsorb, Note: Note{Kind: NoteHeld, To: other}}},
		"notice never reaches a connection":           {Situation{Self: owner, Held: true, Header: head(framer.FlagHeld, 0, gen)}, Step{Action: ActionAbsorb}},
		"probe of an equal table":                     {Situation{Self: second, Sender: other, Header: head(framer.FlagProbe, 1, gen)}, Step{Action: ActionReturn, Flags: framer.FlagReturned, Position: 1, Note: Note{Kind: NoteProber, To: other, Generation: gen}}},
		"probe of an older table":                     {Situation{Self: second, Sender: other, Header: head(framer.FlagProbe, 1, gen-1)}, Step{Action: ActionReturn, Flags: framer.FlagReturned, Position: 1}},
		"owner searches before it opens":              {Situation{Self: owner, Opening: true}, walkFrom1},
		"full owner searches before it refuses":       {Situation{Self: owner, Opening: true, Full: true}, walkFrom1},
		"last candidate answered":                     {Situation{Self: owner, Opening: true, Header: end}, opens},
		"not opening":                                 {Situation{Self: owner, Header: end}, Step{Action: ActionDrop}},
		"busy owner offers":                           {Situation{Self: owner, Opening: true, Busy: true, Header: end}, offer},
		"full owner offers":                           {Situation{Self: owner, Opening: true, Full: true, Header: end}, offer},
		"retransmission after an offer":               {Situation{Self: owner, Opening: true, Note: offer.Note}, offer},
		"search that ends after an offer":             {Situation{Self: owner, Opening: true, Note: offer.Note, Header: end}, offer},
		"declined":                                    {Situation{Self: owner, Opening: true, Busy: true, Note: offer.Note, Header: head(framer.FlagDeclined, 0, gen)}, opens},
		"declined and full":                           {Situation{Self: owner, Opening: true, Full: true, Header: head(framer.FlagDeclined, 0, gen)}, Step{Action: ActionRefuse, Forget: true}},
		"declined by a lost owner":                    {Situation{Self: second, Opening: true, Header: head(framer.FlagDeclined, 0, gen)}, Step{Action: ActionPass, To: owner.Address, Forget: true}},
		"offer accepted":                              {Situation{Self: second, Opening: true, Header: head(framer.FlagOffered, 0, gen-1)}, Step{Action: ActionOpen, Opened: gen - 1}},
		"offer to a busy agent":                       {Situation{Self: second, Opening: true, Busy: true, Sender: other, Header: head(framer.FlagOffered, 0, gen)}, Step{Action: ActionReturn, Flags: framer.FlagDeclined, Note: Note{Kind: NoteDeclined, To: other, Declined: true}}},
		"offer repeated after a decline":              {Situation{Self: second, Opening: true, Sender: other, Note: Note{Kind: NoteDeclined, To: other, Declined: true}, Header: head(framer.FlagOffered, 0, gen)}, Step{Action: ActionReturn, Flags: framer.FlagDeclined, Note: Note{Kind: NoteDeclined, To: other, Declined: true}}},
		"offer while a newer owner searches":          {Situation{Self: second, Opening: true, Sender: other, Note: Note{Kind: NoteProber, To: heir.Address, Generation: gen + 1}, Header: head(framer.FlagOffered, 0, gen)}, Step{Action: ActionPass, To: heir.Address}},
		"search ends while a newer owner searches":    {Situation{Self: owner, Opening: true, Note: Note{Kind: NoteProber, To: heir.Address, Generation: gen + 1}, Header: end}, Step{Action: ActionPass, To: heir.Address}},
		"note of an older search is void":             {Situation{Self: owner, Opening: true, Note: Note{Kind: NoteProber, To: heir.Address, Generation: gen - 1}}, walkFrom1},
		"told holder":                                 {Situation{Self: owner, Note: Note{Kind: NoteHeld, To: other}}, Step{Action: ActionPass, To: other, Flags: framer.FlagProbe}},
		"told holder has ended the flow":              {Situation{Self: owner, Sender: other, Note: Note{Kind: NoteHeld, To: other}, Header: head(framer.FlagReturned, 0, gen)}, Step{Action: ActionPass, To: chain[1].Address, Flags: framer.FlagProbe, Position: 1, Forget: true}},
		"notice keeps the search that was noted":      {Situation{Self: owner, Sender: other, Note: Note{Kind: NoteProber, To: heir.Address, Generation: gen}, Header: head(framer.FlagHeld, 0, gen)}, Step{Action: ActionAbsorb, Note: Note{Kind: NoteHeld, To: other, Prober: heir.Address, Generation: gen}}},
		"refuted notice leaves the noted search":      {Situation{Self: second, Opening: true, Sender: other, Note: Note{Kind: NoteHeld, To: other, Prober: owner.Address, Generation: gen}, Header: head(framer.FlagReturned, 0, gen)}, Step{Action: ActionPass, To: owner.Address, Note: Note{Kind: NoteProber, To: owner.Address, Generation: gen}, Forget: true}},
		"table changed during the search":             {Situation{Self: owner, Opening: true, Header: head(framer.FlagReturned, last, gen-1)}, walkFrom1},
		"not the owner":                               {Situation{Self: second, Opening: true, Header: head(0, 0, gen)}, Step{Action: ActionPass, To: owner.Address}},
		"sender's table is newer":                     {Situation{Self: second, Opening: true, Header: head(0, 0, gen+1)}, Step{Action: ActionReturn, Flags: framer.FlagBehind}},
		"entry's table is newer":                      {Situation{Self: second, Opening: true, Header: framer.Header{Flow: key, Generation: gen + 1}}, Step{Action: ActionPass, To: owner.Address}},
		"no table":                                    {Situation{Self: owner, Table: all[0], Opening: true}, Step{Action: ActionDrop}},
		"stands in for a lagging owner":               {Situation{Self: owner, Table: left, Opening: true, Header: head(framer.FlagBehind, 0, left.Generation())}, Step{Action: ActionPass, To: heir.Address, Flags: framer.FlagProbe}},
		"stand-in opens in its place of the chain":    {Situation{Self: owner, Table: left, Opening: true, Header: head(framer.FlagReturned, 9, left.Generation())}, Step{Action: ActionOpen, Opened: left.Generation() - 1}},
		"stand-in after its declaration":              {Situation{Self: owner, Table: left, Opening: true, Declared: left.Generation(), Header: head(framer.FlagReturned, 9, left.Generation())}, Step{Action: ActionDrop}},
		"offer older than a declaration":              {Situation{Self: second, Opening: true, Declared: gen, Sender: other, Header: head(framer.FlagOffered, 0, gen-1)}, Step{Action: ActionReturn, Flags: framer.FlagDeclined, Note: Note{Kind: NoteDeclined, To: other, Declined: true}}},
		"stand-in without a place does not open":      {Situation{Self: agent(9), Opening: true, Header: head(framer.FlagReturned, 9, gen)}, Step{Action: ActionDrop}},
		"silent candidate does not hold up new flows": {Situation{Self: owner, Opening: true, Header: head(framer.FlagReturned, last-1, gen), Silent: func(netip.AddrPort) bool { return true }}, opens},
		"silent candidate is asked for an open flow":  {Situation{Self: owner, Silent: func(netip.AddrPort) bool { return true }}, walkFrom1},
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
