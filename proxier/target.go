package proxier

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// targetConn counts the bytes written to the target. A request of which no byte was written has not run.
type targetConn struct {
	net.Conn
	written atomic.Int64
}

// Write counts the bytes before it sends them, since a write that fails may have sent some of them.
func (c *targetConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

func dialTarget(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &targetConn{Conn: conn}, nil
}

// writeTracker tracks whether any byte of a request was written to the target.
type writeTracker struct {
	used atomic.Pointer[connUse]
}

// connUse is a connection that a request uses, with the number of bytes that were written to it before.
type connUse struct {
	conn          *targetConn
	writtenBefore int64
}

// withTrace returns a context that makes the transport report the connection that it uses. It is enough to keep the
// last one: the transport changes to another connection only when it has written nothing to the first.
func (t *writeTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*targetConn); ok {
			t.used.Store(&connUse{conn: c, writtenBefore: c.written.Load()})
		}
	}})
}

// anyWritten reports whether a byte of the request was written to the target.
func (t *writeTracker) anyWritten() bool {
	u := t.used.Load()
	return u != nil && u.conn.written.Load() > u.writtenBefore
}

// singleUseBody is a request body that the transport cannot send again by itself: only the proxier may retry requests.
type singleUseBody struct {
	body     io.ReadCloser
	consumed *atomic.Bool
}

// Read reads from the body and records that a part of it has been consumed.
func (b singleUseBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if n > 0 {
		b.consumed.Store(true)
	}
	return n, err
}

// Close leaves the body open for a second attempt. The HTTP/3 server closes it after the request.
func (b singleUseBody) Close() error { return nil }

// hasBodyFraming reports whether the end of a response body can be distinguished from a broken connection.
func hasBodyFraming(res *http.Response) bool {
	return res.ContentLength >= 0 || len(res.TransferEncoding) > 0
}
