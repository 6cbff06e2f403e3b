package controller

import (
	"context"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/clock"
	"cherviltide.example/cherviltide/journaler"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/runner"
)

// live runs an only instance with the state of a folder while f uses it, which gets the revision that it confirms.
func live(t *testing.T, folder string, parse cherviltide.RulesParser, f func(ctx context.Context, c *Controller, revision uint64)) {
	ctx, cancel := context.WithCancel(context.Background())
	c := New(Config{
		Name: "control-1", Clock: clock.NewManual(1_800_000_000_000), Log: zap.NewNop(), Data: folder, Parse: parse,
		Files: journaler.NewOSFileSystem(), Voters: []Voter{{Name: "control-1"}}, Bootstrap: true, inline: true,
	})
	require.NoError(t, c.open())
	ends := make(chan runner.Exit, 1)
	runner.Start(ctx, "loop", ends, c.loop)
	var revision uint64
	require.Eventually(t, func() bool {
		res, err := c.current(ctx, &messenger.CurrentRequest{})
		if err == nil {
			revision = res.Revision
		}
		return err == nil && res.Confirmed
	}, 10*time.Second, time.Millisecond)
	f(ctx, c, revision)
	cancel()
	<-ends
	require.NoError(t, c.configuration.journal.Close())
	require.NoError(t, c.membership.journal.Close())
}

// TestRestartKeepsEdits guards against an only instance that forgets accepted edits or their IDs with its process.
func TestRestartKeepsEdits(t *testing.T) {
	folder := t.TempDir()
	for run := range 3 {
		live(t, folder, nil, func(ctx context.Context, c *Controller, revision uint64) {
			require.EqualValues(t, run, revision)
			accept(ctx, t, c, string(rune('a'+run)), desk+strings.Repeat("# end\n", run+1), uint64(run))
			accept(ctx, t, c, "a", desk+"# end\n", 0)
		})
	}
}

// routes reads a text as the names of the services that the only route has.
func routes(text string) (cherviltide.Rules, error) {
	route := cherviltide.Route{Name: "r", Address: netip.MustParseAddrPort("198.18.0.1:443")}
	for _, name := range strings.Fields(text) {
		route.Shares = append(route.Shares, cherviltide.Share{Service: name, Weight: 1})
	}
	return cherviltide.Rules{Routes: []cherviltide.Route{route}}, nil
}

// TestFormerServices guards against a control instance that restarts and no longer tells followers which services may hold
// open flows of a route.
func TestFormerServices(t *testing.T) {
	folder := t.TempDir()
	for run, texts := range [][]string{{"a", "b", "b c"}, {}, {"d"}} {
		live(t, folder, routes, func(ctx context.Context, c *Controller, base uint64) {
			for _, text := range texts {
				accept(ctx, t, c, text, text, base)
				base++
			}
			var got []cherviltide.FormerServices
			require.NoError(t, c.do(ctx, func() { got = c.registrar.Current().Edit.Former }))
			want := [][]string{{"a"}, {"a"}, {"b", "c", "a"}}[run]
			require.Equal(t, []cherviltide.FormerServices{{Address: netip.MustParseAddrPort("198.18.0.1:443"), Services: want}}, got)
		})
	}
}
