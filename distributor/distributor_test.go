package distributor

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/picker"
)

// TestReconnectStorm guards against an instance that is overloaded when 3,400 entries reconnect at once, and against
// followers that are never admitted.
func TestReconnectStorm(t *testing.T) {
	limits := Limits{MaxStreams: 4_000, StreamsPerSecond: 400, SnapshotsPerSecond: 200}
	a, r := newAdmission(limits), rand.New(rand.NewPCG(1, 0))
	next := make([]cherviltide.Millis, 3_400)
	admitted := map[int]int{}
	attempts, in := 0, 0
	for now := cherviltide.Millis(0); now < 60_000; now++ {
		for i, at := range next {
			if at < 0 || at > now {
				continue
			}
			attempts++
			_, err := a.admit(now, true)
			var refused *Error
			if !errors.As(err, &refused) {
				next[i] = -1
				admitted[int(now/1_000)]++
				in++
				continue
			}
			require.Equal(t, cherviltide.KindUnavailable, refused.FaultKind())
			next[i] = now + refused.RetryDelay + cherviltide.Millis(r.Int64N(int64(refused.RetryDelay)+1))
		}
	}
	require.Equal(t, len(next), in, "followers that were never admitted")
	for second, n := range admitted {
		require.LessOrEqual(t, n, 2*limits.SnapshotsPerSecond, "second %d", second)
	}
	t.Logf("%d attempts for %d followers", attempts, in)
	require.Less(t, attempts, 10*len(next))
	_, err := newAdmission(Limits{MaxStreams: 0, StreamsPerSecond: 1, SnapshotsPerSecond: 1}).admit(0, false)
	require.Error(t, err)
}

// TestSlowFollower guards against a follower that reads no bytes and thereby blocks publishing or other followers.
func TestSlowFollower(t *testing.T) {
	d := New()
	ctx, cancel := context.WithCancel(context.Background())
	blocked, ended := make(chan struct{}), make(chan error, 2)
	go func() {
		ended <- d.Serve(ctx, &messenger.FollowRequest{}, func(*messenger.FollowUpdate) error {
			close(blocked)
			<-ctx.Done()
			return ctx.Err()
		})
	}()
	<-blocked
	received := make(chan uint64, 1_000)
	go func() {
		ended <- d.Serve(ctx, &messenger.FollowRequest{}, func(u *messenger.FollowUpdate) error {
			received <- u.Position
			return nil
		})
	}()
	for i := range uint64(1_000) {
		d.Publish(State{Base: 1, Position: i + 1})
	}
	for position := uint64(0); position < 1_000; {
		position = <-received
	}
	cancel()
	<-ended
	<-ended
	release, err := d.admission.admit(0, false)
	require.NoError(t, err)
	release()
	require.Zero(t, d.admission.streams, "ended streams are still counted")
}

// TestRulesDelta guards against a rules change that is sent as the whole file, and against a delta that does not start from
// the follower's text. Each revision changes the first line, as in a numbered file, and another one; revision 15 is overtaken before
// it is published.
func TestRulesDelta(t *testing.T) {
	lines := make([]string, 500)
	for i := range lines {
		lines[i] = fmt.Sprintf("Service a-%d Address 127.0.0.1:1 # requested by test", i)
	}
	d, texts := New(), []string{""}
	for revision := range uint64(20) {
		lines[0] = fmt.Sprintf("Version %d", revision+1)
		lines[450-revision*7] = fmt.Sprintf("Service a Address 127.0.0.1:%d # requested by test", revision+2)
		texts = append(texts, strings.Join(lines, "\n"))
		if revision+1 != 15 {
			d.Publish(State{Revision: revision + 1, Text: texts[revision+1]})
		}
	}
	state, _ := d.current()
	for name, test := range map[string]struct {
		held, digest uint64
		// maxBytes bounds the changed lines; 0 means the whole text.
		maxBytes int
	}{
		"one behind":               {19, messenger.TextDigest(texts[19]), 100},
		"ten behind":               {10, messenger.TextDigest(texts[10]), 1_000},
		"behind one not published": {14, messenger.TextDigest(texts[14]), 600},
		"at one not published":     {15, messenger.TextDigest(texts[15]), 0},
		"another text":             {19, 1, 0},
		"text asked for":           {19, 0, 0},
		"revision of another":      {19, messenger.TextDigest(texts[18]), 0},
	} {
		t.Run(name, func(t *testing.T) {
			u, err := state.update(&messenger.FollowRequest{Revision: test.held, RulesDigest: test.digest}, false)
			require.NoError(t, err)
			if test.maxBytes == 0 {
				require.Empty(t, u.Rules.Deltas)
				require.Equal(t, state.Text, u.Rules.Text)
				return
			}
			require.NotEmpty(t, u.Rules.Deltas)
			require.Less(t, u.Size(), test.maxBytes)
			text, err := messenger.ApplyLineDeltas(texts[test.held], u.Rules.Deltas)
			require.NoError(t, err)
			require.Equal(t, state.Text, text)
		})
	}
}

// TestFilter guards against an agent that receives the events or tables of other services, or a digest that includes them.
func TestFilter(t *testing.T) {
	tables := map[string]*picker.Table{}
	state := State{Base: 1, Position: 40, EventsSince: 1}
	for i := range 20 {
		service := fmt.Sprintf("service-%d", i%2)
		state.Events = append(state.Events, cherviltide.PositionedEvent{Position: uint64(20 + i), Event: cherviltide.MemberEvent{
			Type: cherviltide.EventSuspected, Member: cherviltide.Member{Name: "x", Service: service},
		}})
		tables[service] = picker.New(cherviltide.Service{Name: service, Buckets: 8})
	}
	state.Tables = tables
	d := New()
	d.Publish(state)
	p, _ := d.current()
	for service, want := range map[string]struct{ events, tables int }{"service-0": {10, 1}, "": {20, 2}, "unknown": {0, 0}} {
		u, err := p.update(&messenger.FollowRequest{Base: 1, Position: 5, Service: service}, true)
		require.NoError(t, err)
		require.Len(t, u.Events, want.events, service)
		held := map[string]*picker.Table{}
		for name, table := range tables {
			if service == "" || name == service {
				held[name] = table
			}
		}
		require.Equal(t, Digest(held), u.Digest, service)
		u, err = p.update(&messenger.FollowRequest{Service: service}, false)
		require.NoError(t, err)
		require.Len(t, u.Tables, want.tables, service)
		require.True(t, u.ReplaceTables)
	}
}

// TestRefusals guards against a follower that stays with an instance that cannot serve it, and against one whose tables are
// replaced by those of an empty log.
func TestRefusals(t *testing.T) {
	held := messenger.FollowRequest{Base: 10, Position: 20}
	for name, test := range map[string]struct {
		state   State
		now     cherviltide.Millis
		refused bool
	}{
		"same log":              {State{Base: 10, Position: 20}, 0, false},
		"instance is behind":    {State{Base: 10, Position: 19}, 0, true},
		"instance is stale":     {State{Base: 10, Position: 20, Stale: true}, 0, true},
		"instance has no log":   {State{}, 60_000, true},
		"log is new":            {State{Base: 40, Position: 41}, 0, true},
		"log is new and joined": {State{Base: 40, Position: 41}, newLogDelay, false},
	} {
		t.Run(name, func(t *testing.T) {
			err := (&publishedState{State: test.state}).refusalFor(test.now, &held)
			require.Equal(t, test.refused, err != nil)
		})
	}
}

// notifyingContext is a context that calls onDone at each call of Done.
type notifyingContext struct {
	context.Context
	onDone func()
}

func (c notifyingContext) Done() <-chan struct{} {
	c.onDone()
	return c.Context.Done()
}

// TestWaitsForMajority guards against followers that are rejected during an election, and against one that waits forever on
// an instance that is cut off from the majority.
func TestWaitsForMajority(t *testing.T) {
	d := New()
	d.Publish(State{Base: 10, Position: 20, Stale: true})
	ctx, cancel := context.WithCancel(t.Context())
	elected := sync.OnceFunc(func() { d.Publish(State{Base: 10, Position: 21}) })
	var got []uint64
	err := d.Serve(notifyingContext{ctx, elected}, &messenger.FollowRequest{}, func(u *messenger.FollowUpdate) error {
		got = append(got, u.Position)
		cancel()
		return nil
	})
	require.NoError(t, err)
	require.Equal(t, []uint64{21}, got)

	d.Publish(State{Base: 10, Position: 22, Stale: true})
	err = d.Serve(t.Context(), &messenger.FollowRequest{}, func(*messenger.FollowUpdate) error { return nil })
	var refused *Error
	require.ErrorAs(t, err, &refused)
	require.Equal(t, cherviltide.KindUnavailable, refused.Kind)
}
