package distributor

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide/messenger"
)

// TestBytesInFlightAreBounded guards against a control instance that exceeds its memory because many followers receive a large
// configuration at once. A follower that accepts nothing must not keep the others from theirs for good.
func TestBytesInFlightAreBounded(t *testing.T) {
	const followers = 40
	random := rand.New(rand.NewPCG(1, 0))
	var text strings.Builder
	for text.Len() < 1<<20 {
		text.WriteByte(byte('!' + random.IntN(90)))
	}
	d := New()
	d.Publish(State{Revision: 1, Text: text.String()})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, followers)
	release := make(chan struct{})
	var inFlight, received atomic.Int64
	for range followers {
		go func() {
			ended <- d.Serve(ctx, &messenger.FollowRequest{}, func(u *messenger.FollowUpdate) error {
				inFlight.Add(int64(u.Size()))
				defer inFlight.Add(-int64(u.Size()))
				if u.Rules != nil {
					<-release
					received.Add(1)
				}
				return nil
			})
		}()
	}
	require.Eventually(t, func() bool { return inFlight.Load() > maxBytesInFlight-int64(text.Len()) }, 10*time.Second, time.Millisecond)
	require.Never(t, func() bool { return inFlight.Load() > maxBytesInFlight }, 200*time.Millisecond, time.Millisecond)
	close(release)
	require.Eventually(t, func() bool { return received.Load() == followers }, 10*time.Second, time.Millisecond)
	cancel()
	for range followers {
		require.NoError(t, <-ended)
	}
}
