package messenger

import (
	"context"
	"net"
)

// receiptKey is the key of the function that a context of WithReceipt has.
type receiptKey struct{}

// WithReceipt returns a context for a call on a new client of NewClient. received is called whenever bytes arrive on the connection that
// the call opens, long before a large message is complete.
func WithReceipt(ctx context.Context, received func()) context.Context {
	return context.WithValue(ctx, receiptKey{}, received)
}

// notifyReceipt returns the connection, which reports the receipt of bytes if the context asks for it.
func notifyReceipt(ctx context.Context, conn net.Conn) net.Conn {
	received, ok := ctx.Value(receiptKey{}).(func())
	if !ok {
		return conn
	}
	return receiptConn{Conn: conn, received: received}
}

// receiptConn is a connection that reports the receipt of bytes.
type receiptConn struct {
	net.Conn
	received func()
}

// Read implements io.Reader.
func (c receiptConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received()
	}
	return n, err
}
