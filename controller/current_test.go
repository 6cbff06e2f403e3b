package controller

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/clock"
	"cherviltide.example/cherviltide/journaler"
	"cherviltide.example/cherviltide/voter"
)

// TestCutOffFromOneGroup guards against a control instance that keeps its followers on outdated rules because it is cut off
// from the leader of the configuration alone.
func TestCutOffFromOneGroup(t *testing.T) {
	c := New(Config{
		Name: "control-1", Clock: clock.NewManual(1_800_000_000_000), Log: zap.NewNop(), Data: t.TempDir(),
		Files: journaler.NewOSFileSystem(), Voters: []Voter{{Name: "control-1"}}, Bootstrap: true, synchronousWrites: true,
	})
	require.NoError(t, c.openGroups())
	defer c.closeJournals()
	var now cherviltide.Millis
	advance := func(d cherviltide.Millis) {
		for end := now + d; now < end; now += 20 {
			c.configuration.voter.Tick(now)
			c.membership.voter.Tick(now)
			require.NoError(t, c.processGroupOutputs())
		}
	}
	advance(5_000)
	require.True(t, c.members.log.IsCurrent())
	// Another voter never answers, so that nobody leads.
	self := voter.ID{Name: "control-1", Number: 1}
	c.configuration.voter = voter.New(voter.Config{Self: self, Names: []string{"control-1", "control-2"}}, voter.StoredState{}, now)
	advance(2 * configurationGrace)
	require.True(t, c.membership.voter.IsCurrent())
	require.False(t, c.members.log.IsCurrent())
}
