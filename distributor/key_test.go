package distributor

import (
	"context"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide/messenger"
)

// TestKeyOfLaterLog guards against followers that never receive the packet key because their stream began before the
// membership log was bootstrapped. All other processes reject their datagrams.
func TestKeyOfLaterLog(t *testing.T) {
	d := New()
	d.Publish(State{})
	key := []byte("0123456789abcdef")
	errStop := errors.New("enough")
	var keys [][]byte
	err := d.Serve(context.Background(), &messenger.FollowRequest{}, func(u *messenger.FollowUpdate) error {
		keys = append(keys, u.PacketKey)
		if len(keys) == 1 {
			d.Publish(State{Base: 1 << 16, Position: 1<<16 + 1, Key: key})
		}
		if len(keys) == 3 {
			return errStop
		}
		return nil
	})
	require.ErrorIs(t, err, errStop)
	require.Equal(t, [][]byte{nil, key, nil}, keys)
}
