package controller

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/voter"
)

// TestLasting guards against a line for each tick, a line about a state that a restart explains, and an end that is not logged.
func TestLasting(t *testing.T) {
	var l lasting
	var lines []cherviltide.Millis
	update := func(applies bool, from, to cherviltide.Millis) {
		for now := from; now < to; now += 100 {
			if l.update(applies, now) {
				lines = append(lines, now)
			}
		}
	}
	update(true, 100, 1_100)
	require.EqualValues(t, 1, l.duration(100))
	update(false, 1_100, 3_000)
	require.Empty(t, lines)
	update(true, 3_000, 11_000)
	require.Equal(t, []cherviltide.Millis{5_000, 10_000}, lines)
	require.EqualValues(t, 8_000, l.duration(11_000))
	update(false, 11_000, 20_000)
	require.Equal(t, []cherviltide.Millis{5_000, 10_000, 11_000}, lines)
	require.Zero(t, l.duration(20_000))
}

// TestNotAdmittedIsLogged guards against an instance that waits for its admission and does not tell whom it asks and who answers.
func TestNotAdmittedIsLogged(t *testing.T) {
	core, logs := observer.New(zap.WarnLevel)
	self := voter.ID{Name: "c", Number: 3}
	v := voter.New(voter.Config{Self: self, Names: []string{"a", "b"}, DynamicVoters: true}, voter.StoredState{}, 0)
	g := &group{name: groupConfiguration, log: zap.New(core), voter: v, self: self, watched: groupWatch{answers: map[string]voter.MessageType{}}}
	g.watch(0)
	g.watched.heard(voter.ID{Name: "a", Number: 1}, voter.MessageEmptyLog)
	g.watch(watchDelay)
	require.Equal(t, 1, logs.Len())
	fields := logs.All()[0].ContextMap()
	require.Equal(t, map[string]string{"a": "EmptyLog"}, fields["Answers"])
	require.Equal(t, []any{"b"}, fields["Silent"])
	require.EqualValues(t, watchDelay, fields["SinceMs"])
}
