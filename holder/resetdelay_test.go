package holder

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/clock"
	"cherviltide.example/cherviltide/follower"
	"cherviltide.example/cherviltide/framer"
	"cherviltide.example/cherviltide/picker"
)

// TestResetWaitsForRejoin guards against connections of an agent that was frozen, declared dead and has joined again, which
// an agent with an older table resets. Connections of an agent that stays dead must still be reset.
func TestResetWaitsForRejoin(t *testing.T) {
	table, members := agentTable(t, "desk-1", "desk-3")
	dead := table.WithEvent(9, cherviltide.MemberEvent{Type: cherviltide.EventDied, Member: members["desk-3"]})
	again := members["desk-3"]
	again.Incarnation++
	again.Address = netip.MustParseAddrPort("127.0.0.1:9") // The test sends to it.
	rejoined := dead.WithEvent(10, cherviltide.MemberEvent{Type: cherviltide.EventJoined, Member: again})
	for name, test := range map[string]struct {
		later  *picker.Table
		after  cherviltide.Millis
		counts [3]uint64 // Dropped, passed to desk-3, reset.
	}{
		"joined again":          {rejoined, 100, [3]uint64{1, 1, 0}},
		"table stays behind":    {dead, resetDelay - 1, [3]uint64{2, 0, 0}},
		"stays dead":            {dead, resetDelay, [3]uint64{1, 0, 1}},
		"port used again later": {dead, resetMemory + 1, [3]uint64{2, 0, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			self := members["desk-1"]
			self.Address = netip.MustParseAddrPort("127.0.0.1:0")
			now, key := clock.NewManual(1_000), [16]byte{1}
			h, err := Listen(Config{Self: self, Framer: framer.New(key), Clock: now, Busy: func() bool { return false }})
			require.NoError(t, err)
			defer func() { _ = h.Close() }()
			send := func(table *picker.Table) {
				payload := shortHeaderDatagram(picker.TagOf("desk-3"))
				datagram := append(make([]byte, framer.HeaderSize), payload...)
				framer.New(key).Encode(datagram, framer.Header{
					Type: framer.TypeForward, Service: table.Service().ID, ServiceCount: 1, Entry: netip.MustParseAddrPort("127.0.0.1:9"),
					Flow: cherviltide.FlowKey{Caller: netip.MustParseAddrPort("100.64.0.1:2000"), Virtual: netip.MustParseAddrPort("198.18.0.1:443")},
				}, len(payload))
				view := follower.NewView()
				view.Tables = map[string]*picker.Table{self.Service: table}
				h.handle(view, datagram, netip.MustParseAddrPort("127.0.0.1:9"))
			}
			send(dead)
			now.Advance(test.after)
			send(test.later)
			require.Equal(t, test.counts, [3]uint64{h.Counters.NoHolder.Load(), h.Counters.Passed.Load(), h.Counters.Reset.Load()})
		})
	}
}
