package registrar

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
)

// TestFormerServicesInLog guards against log entries that each contain the former services of all routes, which would fill
// the memory of control after a large change, and against former services that are lost by the log or a snapshot.
func TestFormerServicesInLog(t *testing.T) {
	var former []cherviltide.FormerServices
	for port := range 4_000 {
		former = append(former, cherviltide.FormerServices{
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, 1}), uint16(port+1)), Services: []string{"a"},
		})
	}
	r := New()
	for number := uint64(1); number <= 3; number++ {
		entry, err := r.Encode(Edit{ID: fmt.Sprint(number), Base: number - 1, Text: fmt.Sprint(number), Former: former})
		require.NoError(t, err)
		if number > 1 {
			require.Less(t, len(entry), 200)
		}
		r.Apply(number, entry)
		require.Equal(t, former, r.Current().Edit.Former)
		snapshot, err := r.Snapshot()
		require.NoError(t, err)
		r = New()
		require.NoError(t, r.Restore(number, snapshot))
	}
	former = former[1:]
	entry, err := r.Encode(Edit{ID: "4", Base: 3, Text: "4", Former: former})
	require.NoError(t, err)
	r.Apply(4, entry)
	require.Equal(t, former, r.Current().Edit.Former)
}
