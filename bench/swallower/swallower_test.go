package swallower

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// echo starts a server that returns what it gets, and returns a connection to it through a forwarder.
func echo(t *testing.T) (*Swallower, net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	s, err := Listen(listener.Addr().String())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended; _ = listener.Close() })
	conn, err := net.Dial("tcp", s.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return s, conn
}

// ask sends a byte and reports whether it came back within a time.
func ask(t *testing.T, conn net.Conn, within time.Duration) error {
	_, err := conn.Write([]byte("x"))
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(within)))
	_, err = io.ReadFull(conn, make([]byte, 1))
	return err
}

// TestConduct guards against faults that the forwarder does not inject, which would let a soak pass without them, and
// against a cut that loses bytes, which no link does to a connection.
func TestConduct(t *testing.T) {
	const short, long = 150 * time.Millisecond, 5 * time.Second
	for name, cut := range map[string]Conduct{
		"delay":     {Delay: 2 * short},
		"to target": {CutToTarget: true},
		"to caller": {CutToCaller: true},
	} {
		t.Run(name, func(t *testing.T) {
			s, conn := echo(t)
			require.NoError(t, ask(t, conn, long))
			s.Set(cut)
			require.ErrorContains(t, ask(t, conn, short), "timeout")
			s.Set(Conduct{})
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(long)))
			_, err := io.ReadFull(conn, make([]byte, 1))
			require.NoError(t, err, "held bytes arrive after the cut")
		})
	}
	t.Run("reset", func(t *testing.T) {
		s, conn := echo(t)
		require.NoError(t, ask(t, conn, long))
		require.Equal(t, 1, s.Reset())
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(long)))
		_, err := conn.Read(make([]byte, 1))
		require.ErrorContains(t, err, "reset")
	})
}
