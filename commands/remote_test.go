package commands

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide/messenger"
)

// TestSilentInstances guards against a command that fails because it waits for one instance after the other, when most of the
// addresses that it was given accept connections and answer nothing.
func TestSilentInstances(t *testing.T) {
	live := startControl(t, func(req *messenger.ApplyRequest) (*messenger.ApplyResponse, error) {
		return &messenger.ApplyResponse{Revision: req.Base + 1}, nil
	})
	s := &session{client: messenger.NewClient(nil), timeout: 2 * callTimeout}
	t.Cleanup(s.client.CloseIdleConnections)
	for range 2 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		s.baseURLs = append(s.baseURLs, "http://"+listener.Addr().String())
	}
	s.baseURLs = append(s.baseURLs, "http://"+live)
	res, err := callControl(context.Background(), s, messenger.Apply, &messenger.ApplyRequest{Base: 4, Text: validRules})
	require.NoError(t, err)
	require.EqualValues(t, 5, res.Revision)
	short := *s
	short.baseURLs, short.timeout = s.baseURLs[:1], 100*time.Millisecond
	_, err = callControl(context.Background(), &short, messenger.Apply, &messenger.ApplyRequest{Base: 4, Text: validRules})
	require.ErrorIs(t, err, errOutcomeUnknown)
}
