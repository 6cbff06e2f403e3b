package holder

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
)

// TestChooseEntry guards against replies that are sent to an entry that has ended, while the caller waits for an answer and
// sends nothing. Replies that always used the flow's last entry would fail the cases in which "first" has not delivered
// recently.
func TestChooseEntry(t *testing.T) {
	first, second := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	cases := map[string]struct {
		first, second, now cherviltide.Millis
		want               []netip.AddrPort
	}{
		"own entry is recent":    {5_000, 5_500, 6_000, []netip.AddrPort{first, first}},
		"own entry is silent":    {1_000, 5_500, 6_000, []netip.AddrPort{second, second}},
		"all silent take turns":  {1_000, 2_000, 60_000, []netip.AddrPort{second, first}},
		"own entry at the limit": {5_000, 0, 6_000, []netip.AddrPort{first, first}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &entries{}
			own := s.get(first)
			own.lastDelivery.Store(int64(c.first))
			s.get(second).lastDelivery.Store(int64(c.second))
			for _, want := range c.want {
				require.Equal(t, want, s.replyAddress(own, c.now))
			}
		})
	}
}

// TestEntriesAreBounded guards against unbounded memory when entries are replaced for months.
func TestEntriesAreBounded(t *testing.T) {
	s := &entries{}
	for i := range 10 * maxEntries {
		e := s.get(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1))
		e.lastDelivery.Store(int64(i))
	}
	require.Len(t, s.list, maxEntries)
}
