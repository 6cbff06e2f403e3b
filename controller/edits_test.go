package controller

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"cherviltide.example/cherviltide/clock"
	"cherviltide.example/cherviltide/journaler"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/runner"
)

// TestRestartKeepsEdits guards against an only instance that forgets accepted edits or their IDs with its process.
func TestRestartKeepsEdits(t *testing.T) {
	folder := t.TempDir()
	for run := range 3 {
		ctx, cancel := context.WithCancel(context.Background())
		c := New(Config{
			Name: "control-1", Clock: clock.NewManual(1_800_000_000_000), Log: zap.NewNop(), Data: folder,
			Files: journaler.NewSystem(), Voters: []Voter{{Name: "control-1"}}, New: true, inline: true,
		})
		require.NoError(t, c.open())
		ends := make(chan runner.End, 1)
		runner.Start(ctx, "loop", ends, c.loop)
		require.Eventually(t, func() bool {
			res, err := c.current(ctx, &messenger.CurrentRequest{})
			return err == nil && res.Confirmed && res.Revision == uint64(run)
		}, 10*time.Second, time.Millisecond)
		accept(ctx, t, c, string(rune('a'+run)), desk+strings.Repeat("# end\n", run+1), uint64(run))
		accept(ctx, t, c, "a", desk+"# end\n", 0)
		cancel()
		<-ends
		require.NoError(t, c.configuration.journal.Close())
		require.NoError(t, c.membership.journal.Close())
	}
}
