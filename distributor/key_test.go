package distributor

import (
	"context"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide/messenger"
)

// TestKeyOfLaterLog guards against followers that never get the packet key because their stream began before the
// membership log was founded: their datagrams are refused by all others.
func TestKeyOfLaterLog(t *testing.T) {
	d := New()
	d.Publish(State{})
	key := []byte("0123456789abcdef")
	enough := errors.New("enough")
	var keys [][]byte
	err := d.Serve(context.Background(), &messenger.FollowRequest{}, func(u *messenger.FollowUpdate) error {
		keys = append(keys, u.PacketKey)
		if len(keys) == 1 {
			d.Publish(State{Base: 1 << 16, Position: 1<<16 + 1, Key: key})
		}
		if len(keys) == 3 {
			return enough
		}
		return nil
	})
	require.ErrorIs(t, err, enough)
	require.Equal(t, [][]byte{nil, key, nil}, keys)
}
