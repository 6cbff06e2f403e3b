package proxier

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// targetConn counts the bytes that went to the target, so that a request of which none did is known not to have run.
type targetConn struct {
	net.Conn
	written atomic.Int64
}

// Write sends bytes to the target. Bytes count before they are sent: a write that fails may have sent some.
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

// sending watches whether a request's bytes went to the target.
type sending struct {
	used atomic.Pointer[connUse]
}

type connUse struct {
	conn  *targetConn
	start int64
}

// watch returns a context under which the transport reports the connection that it uses. The transport may move to a
// second connection only after it has written nothing on the first.
func (s *sending) watch(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*targetConn); ok {
			s.used.Store(&connUse{conn: c, start: c.written.Load()})
		}
	}})
}

// sent reports whether a byte of the request went to the target.
func (s *sending) sent() bool {
	u := s.used.Load()
	return u != nil && u.conn.written.Load() > u.start
}

// oneShot is a request's body that the transport cannot send again on its own: requests are repeated by the proxier only.
type oneShot struct {
	body     io.ReadCloser
	consumed *atomic.Bool
}

// Read reads the body.
func (o oneShot) Read(p []byte) (int, error) {
	n, err := o.body.Read(p)
	if n > 0 {
		o.consumed.Store(true)
	}
	return n, err
}

// Close leaves the body open for a second attempt. The HTTP/3 server closes it after the request.
func (o oneShot) Close() error { return nil }

// hasLength reports whether the end of an answer's body can be told from a connection that was cut.
func hasLength(res *http.Response) bool {
	return res.ContentLength >= 0 || len(res.TransferEncoding) > 0
}
