package follower_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/bench/throttler"
	"cherviltide.example/cherviltide/distributor"
	"cherviltide.example/cherviltide/follower"
	"cherviltide.example/cherviltide/messenger"
)

// TestLargeRulesOnThinLink guards against a process that never gets rules which take longer than the timeout of a silent stream, since it
// gives up the stream in the middle of them.
func TestLargeRulesOnThinLink(t *testing.T) {
	x := newTestControl(t, 1_000)
	random := rand.New(rand.NewPCG(1, 1))
	var text strings.Builder
	text.WriteString("Service desk Address 127.9.0.1:443 Buckets 64 # requested by test\n")
	for range 1_200 {
		fmt.Fprintf(&text, "Customer c%016x Services desk # requested by test\n", random.Uint64())
	}
	x.distributor.Publish(distributor.State{Revision: 1, Text: text.String(), Base: x.tracker.Base(), Position: x.tracker.Position(), Tables: x.tracker.Tables()})
	f := follower.New(follower.Config{
		Member: cherviltide.Member{Name: "entry-1", Role: cherviltide.RoleEntry}, Control: []string{"http://" + x.address},
		NewClient: throttler.New(4 << 10).Client, FillAnnouncement: func(*messenger.AnnounceRequest) {}, Log: zap.NewNop(),
	})
	start(t, f)
	eventually(t, "the rules", func() bool { return f.View().Rules.Revision == 1 })
	require.Len(t, f.View().Rules.Customers, 1_200)
}
