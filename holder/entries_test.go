package holder

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
)

// Guards against replies that go to a dead entry while the caller waits for an answer and sends nothing. A reply that
// always follows the flow's last entry fails the cases in which "first" is silent.
func TestChooseEntry(t *testing.T) {
	first, second := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	cases := map[string]struct {
		first, second, now cherviltide.Millis
		want               []netip.AddrPort
	}{
		"own entry is fresh":           {5_000, 5_500, 6_000, []netip.AddrPort{first, first}},
		"own entry is silent":          {1_000, 5_500, 6_000, []netip.AddrPort{second, second}},
		"all silent take turns":        {1_000, 2_000, 60_000, []netip.AddrPort{second, first}},
		"own entry at its last moment": {5_000, 0, 6_000, []netip.AddrPort{first, first}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &entries{}
			own := s.get(first)
			own.heard.Store(int64(c.first))
			s.get(second).heard.Store(int64(c.second))
			for _, want := range c.want {
				require.Equal(t, want, s.choose(own, c.now))
			}
		})
	}
}

// Guards against unbounded memory when entries are replaced for months.
func TestEntriesAreBounded(t *testing.T) {
	s := &entries{}
	for i := range 10 * entryLimit {
		e := s.get(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1))
		e.heard.Store(int64(i))
	}
	require.Len(t, s.list, entryLimit)
}
