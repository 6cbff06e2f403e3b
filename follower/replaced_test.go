package follower_test

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide/messenger"
)

// listenSilently listens on an address, accepts connections and answers nothing. It counts the connections.
func listenSilently(t *testing.T, connections *atomic.Int64) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			t.Cleanup(func() { _ = c.Close() })
		}
	}()
	return "http://" + listener.Addr().String()
}

// TestReplacedControlIsNotTried guards against followers that are without control because they try instances that were
// replaced before they try the present ones.
func TestReplacedControlIsNotTried(t *testing.T) {
	var connections atomic.Int64
	var present []string
	var all []*testControl
	for range 3 {
		x := newTestControl(t, 1_000)
		x.apply(1)
		all, present = append(all, x), append(present, "http://"+x.address)
	}
	var urls atomic.Pointer[[]string]
	for _, x := range all {
		x.editUpdate = func(u *messenger.FollowUpdate) { u.ControlURLs = *urls.Load() }
	}
	event := uint64(0)
	update := func() {
		event++
		for _, x := range all {
			x.commit(joined(1, event))
		}
	}
	urls.Store(&present)
	f := newFollower(all[0].address)
	start(t, f)
	eventually(t, "first state", func() bool { return all[0].has(f.View()) })
	for range 9 {
		urls.Store(&[]string{present[0], listenSilently(t, &connections), listenSilently(t, &connections)})
		update()
		eventually(t, "replaced instances", func() bool { return all[0].has(f.View()) })
	}
	urls.Store(&present)
	update()
	eventually(t, "present instances", func() bool { return all[0].has(f.View()) })
	for i := range 7 {
		stopped := all[i%3]
		stopped.close()
		update()
		eventually(t, fmt.Sprint("state after stop ", i), func() bool { return all[(i+1)%3].has(f.View()) })
		stopped.serve(t)
	}
	require.Zero(t, connections.Load(), "connections to instances that were replaced")
}
