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
	"cherviltide.example/cherviltide/prober"
	"cherviltide.example/cherviltide/registrar"
	"cherviltide.example/cherviltide/runner"
)

// withController runs a single control instance on the state in a directory, and calls f with it and its confirmed revision.
func withController(t *testing.T, dir string, parse cherviltide.RulesParser, f func(ctx context.Context, c *Controller, revision uint64)) {
	ctx, cancel := context.WithCancel(context.Background())
	c := New(Config{
		Name: "control-1", Clock: clock.NewManual(1_800_000_000_000), Log: zap.NewNop(), Data: dir, Parse: parse,
		Files: journaler.NewOSFileSystem(), Voters: []Voter{{Name: "control-1"}}, Bootstrap: true, synchronousWrites: true,
	})
	require.NoError(t, c.openGroups())
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

// TestRestartKeepsEdits guards against accepted edits or their IDs that are lost when a single control instance restarts.
func TestRestartKeepsEdits(t *testing.T) {
	dir := t.TempDir()
	for run := range 3 {
		withController(t, dir, nil, func(ctx context.Context, c *Controller, revision uint64) {
			require.EqualValues(t, run, revision)
			applyEdit(ctx, t, c, string(rune('a'+run)), deskRule+strings.Repeat("# end\n", run+1), uint64(run))
			applyEdit(ctx, t, c, "a", deskRule+"# end\n", 0)
		})
	}
}

// parseRouteServices returns rules with one route, whose services are the words of the text.
func parseRouteServices(text string) (cherviltide.Rules, error) {
	route := cherviltide.Route{Name: "r", Address: netip.MustParseAddrPort("198.18.0.1:443")}
	for _, name := range strings.Fields(text) {
		route.Shares = append(route.Shares, cherviltide.Share{Service: name, Weight: 1})
	}
	return cherviltide.Rules{Routes: []cherviltide.Route{route}}, nil
}

// TestFormerServices guards against a control instance that loses the former services of a route when it restarts: followers
// would no longer find the open flows that these services hold.
func TestFormerServices(t *testing.T) {
	dir := t.TempDir()
	for run, texts := range [][]string{{"a", "b", "b c"}, {}, {"d"}} {
		withController(t, dir, parseRouteServices, func(ctx context.Context, c *Controller, base uint64) {
			for _, text := range texts {
				applyEdit(ctx, t, c, text, text, base)
				base++
			}
			var got []cherviltide.FormerServices
			require.NoError(t, c.runInLoop(ctx, func() { got = c.registrar.Current().Edit.Former }))
			want := [][]string{{"a"}, {"a"}, {"b", "c", "a"}}[run]
			require.Equal(t, []cherviltide.FormerServices{{Address: netip.MustParseAddrPort("198.18.0.1:443"), Services: want}}, got)
		})
	}
}

// blockingParser parses any text to no rules. It reports each start on started and waits until release is closed.
type blockingParser struct {
	started, release chan struct{}
}

func (p blockingParser) parse(text string) (cherviltide.Rules, error) {
	if text != "" {
		p.started <- struct{}{}
		<-p.release
	}
	return cherviltide.Rules{}, nil
}

// TestEditOutlivesItsCaller guards against an edit that begins from the start with each attempt of an operator who gives up
// after a second. On a slow machine no attempt would ever end, and the edit would never be accepted.
func TestEditOutlivesItsCaller(t *testing.T) {
	tests := map[string]*messenger.ApplyRequest{
		"numbered":          {Number: cherviltide.NewEditNumber(7), Text: "seven"},
		"with an ID":        {EditID: "a", Text: "a"},
		"forwarded to self": {Number: cherviltide.NewEditNumber(7), Text: "seven", Forwarded: true},
	}
	for name, req := range tests {
		t.Run(name, func(t *testing.T) {
			parser := blockingParser{started: make(chan struct{}, 100), release: make(chan struct{})}
			withController(t, t.TempDir(), parser.parse, func(ctx context.Context, c *Controller, _ uint64) {
				attemptCtx, giveUp := context.WithCancel(ctx)
				ended := make(chan error, 1)
				go func() {
					_, err := c.apply(attemptCtx, req)
					ended <- err
				}()
				<-parser.started
				giveUp()
				close(parser.release)
				var revision uint64
				require.Eventually(t, func() bool {
					require.NoError(t, c.runInLoop(ctx, func() { revision = c.registrar.Current().Number }))
					return revision == 1
				}, 10*time.Second, time.Millisecond, "the edit was lost with its caller")
				<-ended
				res, err := c.apply(ctx, req)
				require.NoError(t, err)
				require.EqualValues(t, 1, res.Revision)
			})
		})
	}
}

// TestEditIsParsedOnce guards against an instance that parses the text of an edit again at each step: when it arrives, when it is
// proposed, when it is compared with the next one and when it is published.
func TestEditIsParsedOnce(t *testing.T) {
	var parsed []string
	parse := func(text string) (cherviltide.Rules, error) {
		parsed = append(parsed, text)
		return cherviltide.Rules{}, nil
	}
	withController(t, t.TempDir(), parse, func(ctx context.Context, c *Controller, _ uint64) {
		for i, text := range []string{"a", "b", "c"} {
			_, err := c.apply(ctx, &messenger.ApplyRequest{Number: cherviltide.NewEditNumber(uint64(i) + 1), Text: text})
			require.NoError(t, err)
		}
		var published string
		require.NoError(t, c.runInLoop(ctx, func() { published = c.members.configuration.Edit.Text }))
		require.Equal(t, "c", published)
		require.Equal(t, []string{"a", "b", "c"}, parsed)
	})
}

// TestLoopDoesNotParse guards against a control goroutine that parses an edit of another instance: it would send no heartbeats
// and answer no announcements meanwhile.
func TestLoopDoesNotParse(t *testing.T) {
	parser := blockingParser{started: make(chan struct{}, 10), release: make(chan struct{}, 10)}
	withController(t, t.TempDir(), parser.parse, func(ctx context.Context, c *Controller, _ uint64) {
		parser.release <- struct{}{}
		applyEdit(ctx, t, c, "one", "first", 0)
		<-parser.started
		publishedRevision := func() (revision uint64) {
			require.NoError(t, c.runInLoop(ctx, func() { revision = c.members.configuration.Number }))
			return revision
		}
		require.EqualValues(t, 1, publishedRevision())
		var err error
		require.NoError(t, c.runInLoop(ctx, func() {
			var entry []byte
			entry, err = c.registrar.Encode(registrar.Edit{ID: "two", Base: 1, Text: "second"})
			c.registrar.Apply(2, entry)
			c.publish()
		}))
		require.NoError(t, err)
		<-parser.started
		require.EqualValues(t, 1, publishedRevision(), "an unparsed revision was published")
		parser.release <- struct{}{}
		require.Eventually(t, func() bool { return publishedRevision() == 2 }, 10*time.Second, time.Millisecond)
	})
}

// TestOneEntryForEachBase guards against edits of one base that each send an entry as large as their text to all voters, although
// only one of them can be accepted.
func TestOneEntryForEachBase(t *testing.T) {
	withController(t, t.TempDir(), parseNothing, func(ctx context.Context, c *Controller, _ uint64) {
		pending := &pendingEdit{done: make(chan struct{})}
		entries := func() (n uint64) {
			require.NoError(t, c.runInLoop(ctx, func() { n = c.configuration.voter.AppliedIndex() }))
			return n
		}
		require.NoError(t, c.runInLoop(ctx, func() {
			pending.term, _ = c.configuration.isLeader()
			c.pendingEdit = pending
		}))
		before := entries()
		ended := make(chan error, 2)
		for _, req := range []*messenger.ApplyRequest{{Number: cherviltide.NewEditNumber(7), Text: "seven"}, {EditID: "a", Text: "a"}} {
			go func() {
				_, err := c.apply(ctx, req)
				ended <- err
			}()
		}
		require.Eventually(t, func() bool { return c.times[phaseEncode].Value().(prober.Quantiles).Count == 2 }, 10*time.Second, time.Millisecond)
		require.Equal(t, before, entries())
		require.NoError(t, c.runInLoop(ctx, func() { c.pendingEdit = nil }))
		close(pending.done)
		first, second := <-ended, <-ended
		if first == nil {
			// The numbered edit is accepted in any order, the other one only if it was first.
			first = second
		}
		if first != nil {
			require.ErrorContains(t, first, "current revision is 1")
		}
		// One that was proposed with another edit's base may be proposed once more.
		require.LessOrEqual(t, entries(), before+2)
	})
}
