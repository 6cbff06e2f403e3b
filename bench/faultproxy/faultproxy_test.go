package faultproxy

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// connectToEchoServer starts an echo server and a proxy in front of it, and returns the proxy and a connection through it.
func connectToEchoServer(t *testing.T) (*Proxy, net.Conn) {
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
	proxy, err := Listen(listener.Addr().String())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- proxy.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended; _ = listener.Close() })
	conn, err := net.Dial("tcp", proxy.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return proxy, conn
}

// echoByte sends a byte and returns an error when it does not come back within the timeout.
func echoByte(t *testing.T, conn net.Conn, timeout time.Duration) error {
	_, err := conn.Write([]byte("x"))
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(timeout)))
	_, err = io.ReadFull(conn, make([]byte, 1))
	return err
}

// TestConditions guards against faults that the proxy does not inject, so that a soak would pass without them, and against
// a blocked direction that loses bytes, which TCP over a broken link does not.
func TestConditions(t *testing.T) {
	const short, long = 150 * time.Millisecond, 5 * time.Second
	for name, conditions := range map[string]Conditions{
		"delay":     {Delay: 2 * short},
		"to target": {BlockToTarget: true},
		"to caller": {BlockToCaller: true},
	} {
		t.Run(name, func(t *testing.T) {
			proxy, conn := connectToEchoServer(t)
			require.NoError(t, echoByte(t, conn, long))
			proxy.SetConditions(conditions)
			require.ErrorContains(t, echoByte(t, conn, short), "timeout")
			proxy.SetConditions(Conditions{})
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(long)))
			_, err := io.ReadFull(conn, make([]byte, 1))
			require.NoError(t, err, "bytes that were held back did not arrive")
		})
	}
	t.Run("reset", func(t *testing.T) {
		proxy, conn := connectToEchoServer(t)
		require.NoError(t, echoByte(t, conn, long))
		require.Equal(t, 1, proxy.ResetConnections())
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(long)))
		_, err := conn.Read(make([]byte, 1))
		require.ErrorContains(t, err, "reset")
	})
}
