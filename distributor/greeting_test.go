package distributor

import (
	"context"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide/messenger"
)

// TestGreetingAndReferral guards against a control instance that leaves a follower without a way to another one: one that
// accepts the follower says so before it sends tables and rules, and one that is stale or behind names the others.
func TestGreetingAndReferral(t *testing.T) {
	control := []string{"http://a", "http://b"}
	const base = 1 << 16
	tests := map[string]struct {
		state    State
		held     messenger.FollowRequest
		greeting bool
		cause    error
	}{
		"current":                       {State{Revision: 2, Base: base, Position: base + 5}, messenger.FollowRequest{}, true, nil},
		"same revision":                 {State{Revision: 2, Base: base, Position: base + 5}, messenger.FollowRequest{Revision: 2, Base: base, Position: base + 5}, true, nil},
		"stale":                         {State{Stale: true, Revision: 2, Base: base, Position: base + 5}, messenger.FollowRequest{}, false, errStale},
		"membership behind":             {State{Revision: 2, Base: base, Position: base + 5}, messenger.FollowRequest{Base: base, Position: base + 6}, false, errBehind},
		"configuration behind":          {State{Revision: 2, Base: base, Position: base + 5}, messenger.FollowRequest{Revision: 3, Base: base, Position: base + 5}, false, errBehind},
		"configuration of another log":  {State{Revision: 2, Base: base, Position: base + 5}, messenger.FollowRequest{Revision: 3}, true, nil},
		"follower without referrals":    {State{Stale: true, Revision: 2, Base: base, Position: base + 5}, messenger.FollowRequest{Name: "old"}, false, errStale},
		"follower without the greeting": {State{Revision: 2, Base: base, Position: base + 5}, messenger.FollowRequest{Name: "old"}, false, nil},
	}
	errStop := errors.New("enough")
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test.state.Control = control
			d := New()
			d.Publish(test.state)
			test.held.AcceptsGreeting = test.held.Name != "old"
			var first *messenger.FollowUpdate
			err := d.Serve(context.Background(), &test.held, func(u *messenger.FollowUpdate) error {
				first = u
				if test.cause == nil {
					return errStop
				}
				return nil
			})
			if test.cause == nil {
				require.ErrorIs(t, err, errStop)
				require.Equal(t, test.greeting, first.Greeting)
				require.False(t, first.IsReferral())
				return
			}
			require.ErrorIs(t, err, test.cause)
			if test.held.AcceptsGreeting {
				require.True(t, first.IsReferral())
				require.Equal(t, control, first.ControlURLs)
			} else {
				require.Nil(t, first)
			}
		})
	}
}
