package controller

import (
	"context"
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

const (
	deskRule  = "Service desk Address 203.0.113.7:443 # asked by Rita\n"
	fetchRule = "Kind desk fetch Path /a Objective 99 # asked by Amir\n"
)

// startController runs the loop of a single control instance without a server, and returns when it leads both groups.
func startController(t *testing.T) (*Controller, context.Context) {
	ctx, cancel := context.WithCancel(context.Background())
	c := New(Config{
		Name: "control-1", Clock: clock.NewManual(1_800_000_000_000), Log: zap.NewNop(), Data: t.TempDir(),
		Files: journaler.NewOSFileSystem(), Voters: []Voter{{Name: "control-1"}}, Bootstrap: true, synchronousWrites: true,
	})
	require.NoError(t, c.openGroups())
	ends := make(chan runner.Exit, 1)
	runner.Start(ctx, "loop", ends, c.loop)
	t.Cleanup(func() { cancel(); <-ends })
	require.Eventually(t, func() bool {
		bootstrapped, leadsConfiguration := false, false
		require.NoError(t, c.runInLoop(ctx, func() {
			bootstrapped = c.tracker.IsLeader() && c.tracker.Base() > 0
			_, leadsConfiguration = c.configuration.isLeader()
		}))
		return bootstrapped && leadsConfiguration
	}, 10*time.Second, time.Millisecond)
	return c, ctx
}

// applyEdit applies an edit whose ID is the name of its operator.
func applyEdit(ctx context.Context, t *testing.T, c *Controller, operator, text string, base uint64) {
	_, err := c.apply(ctx, &messenger.ApplyRequest{EditID: operator, Operator: operator, Text: text, Base: base})
	require.NoError(t, err)
}

// TestOrigins guards against a rule that is attributed to an edit that only moved or reformatted it or left it unchanged,
// and against a history with the wrong revisions, texts or line counts.
func TestOrigins(t *testing.T) {
	c, ctx := startController(t)
	res, err := c.rules(ctx, &messenger.RulesRequest{})
	require.NoError(t, err)
	require.Empty(t, res.Rules)
	applyEdit(ctx, t, c, "one", deskRule, 0)
	applyEdit(ctx, t, c, "two", "# head\n"+fetchRule+"Service  desk Address 203.0.113.7:443   # asked by Rita\n", 1)
	applyEdit(ctx, t, c, "three", deskRule, 2)
	applyEdit(ctx, t, c, "four", deskRule+"\n"+fetchRule, 3)
	res, err = c.rules(ctx, &messenger.RulesRequest{})
	require.NoError(t, err)
	require.Len(t, res.Rules, 2)
	require.Equal(t, "one", res.Rules[0].Operator)
	require.Equal(t, messenger.RuleOrigin{
		Line: 3, Text: "Kind desk fetch Path /a Objective 99", Requester: "asked by Amir", Revision: 4, EditID: "four",
		Operator: "four", Time: 1_800_000_000_000,
	}, res.Rules[1])
	history, err := c.history(ctx, &messenger.HistoryRequest{Newest: 3, Limit: 2, WithText: true})
	require.NoError(t, err)
	require.Len(t, history.Revisions, 2)
	require.Equal(t, deskRule, history.Revisions[0].Text)
	require.Equal(t, []int{1, 3}, []int{history.Revisions[0].Added, history.Revisions[0].Removed})
	require.EqualValues(t, 2, history.Revisions[1].Revision)
}

// TestDrain guards against a drain that also applies to the member's next incarnation, and against one that the member is
// never notified of.
func TestDrain(t *testing.T) {
	c, ctx := startController(t)
	req := messenger.AnnounceRequest{Member: cherviltide.Member{Name: "a", Role: cherviltide.RoleAgent, Service: "desk", Incarnation: 1}}
	announce := func(change func(*messenger.AnnounceRequest)) bool {
		change(&req)
		r := req
		res, err := c.announce(ctx, &r)
		require.NoError(t, err)
		return res.Leave
	}
	_, err := c.drain(ctx, &messenger.DrainRequest{Member: "a"})
	require.ErrorContains(t, err, "no member has this name")
	require.False(t, announce(func(*messenger.AnnounceRequest) {}))
	var positions [2]uint64
	for i := range positions {
		res, err := c.drain(ctx, &messenger.DrainRequest{Member: "a"})
		require.NoError(t, err)
		require.Equal(t, cherviltide.StateLeaving, res.State)
		require.NoError(t, c.runInLoop(ctx, func() { positions[i] = c.tracker.Position() }))
	}
	require.Equal(t, positions[0], positions[1], "a repeated drain adds an event")
	require.True(t, announce(func(*messenger.AnnounceRequest) {}), "the member is not told to leave")
	require.False(t, announce(func(r *messenger.AnnounceRequest) { r.Leaving = true }), "a member that announces that it leaves is told again")
	require.False(t, announce(func(r *messenger.AnnounceRequest) { r.Ended = true }))
	res, err := c.drain(ctx, &messenger.DrainRequest{Member: "a"})
	require.NoError(t, err, "a repeated drain of a member that has ended fails")
	require.Equal(t, cherviltide.StateDead, res.State)
	require.False(t, announce(func(r *messenger.AnnounceRequest) { r.Member.Incarnation, r.Leaving, r.Ended = 2, false, false }))
}

// TestReport guards against a member that counts requests for a service that it does not serve, and against requests that
// are counted again with each announcement of the same counters.
func TestReport(t *testing.T) {
	c, ctx := startController(t)
	applyEdit(ctx, t, c, "one", deskRule+fetchRule, 0)
	for range 2 {
		_, err := c.announce(ctx, &messenger.AnnounceRequest{
			Member: cherviltide.Member{Name: "a", Service: "desk", Incarnation: 1}, Started: 1_800_000_000_000,
			Counters: []cherviltide.KindCounts{
				{Service: "desk", Kind: "fetch", Counts: cherviltide.Counts{Timely: 3, Late: 1}},
				{Service: "other", Kind: "fetch", Counts: cherviltide.Counts{Timely: 9}},
			},
		})
		require.NoError(t, err)
	}
	res, err := c.report(ctx, &messenger.ReportRequest{})
	require.NoError(t, err)
	require.Len(t, res.Report.Kinds, 1)
	require.EqualValues(t, 1, res.Report.Revision)
	require.Equal(t, cherviltide.Counts{Timely: 3, Late: 1}, res.Report.Kinds[0].Total)
	require.InDelta(t, 25, res.Report.Kinds[0].Windows[0].BurnRate, 1e-9)
}
