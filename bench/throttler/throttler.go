// Package throttler limits connections to the bandwidth of a link that they share.
package throttler

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cherviltide.example/cherviltide/messenger"
)

// maxChunk bounds the bytes that pass a link at once. Connections that share the link take turns after as many.
const maxChunk = 1_500

// Link is the link of a machine with a bandwidth in each direction. It is safe for concurrent use.
type Link struct {
	in, out direction
}

// New returns a link with the given bandwidth in bytes a second.
func New(bytesPerSecond int) *Link {
	return &Link{in: direction{bytesPerSecond: bytesPerSecond}, out: direction{bytesPerSecond: bytesPerSecond}}
}

// Received returns the number of bytes that were received over the link, without the headers of TCP and IP.
func (l *Link) Received() int64 {
	return l.in.bytes.Load()
}

// Client returns a client for the procedures of control whose connections pass the link. It shares no connections with other clients.
func (l *Link) Client() *http.Client {
	return messenger.WrapConnections(messenger.NewClient(nil), func(conn net.Conn) net.Conn {
		return &throttledConn{Conn: conn, link: l}
	})
}

// direction is one direction of a link.
type direction struct {
	bytesPerSecond int
	bytes          atomic.Int64

	mu sync.Mutex
	// freeAt is when everything that has been sent so far has passed.
	freeAt time.Time
}

// pass waits until n bytes have passed behind everything that was sent before.
func (d *direction) pass(n int) {
	d.bytes.Add(int64(n))
	d.mu.Lock()
	if now := time.Now(); d.freeAt.Before(now) {
		d.freeAt = now
	}
	d.freeAt = d.freeAt.Add(time.Duration(n) * time.Second / time.Duration(d.bytesPerSecond))
	freeAt := d.freeAt
	d.mu.Unlock()
	time.Sleep(time.Until(freeAt))
}

// throttledConn is a connection over a link.
type throttledConn struct {
	net.Conn
	link *Link
}

// Read implements io.Reader.
func (c *throttledConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), maxChunk)])
	c.link.in.pass(n)
	return n, err
}

// Write implements io.Writer.
func (c *throttledConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		chunk := p[written:min(len(p), written+maxChunk)]
		c.link.out.pass(len(chunk))
		n, err := c.Conn.Write(chunk)
		if written += n; err != nil {
			return written, err
		}
	}
	return written, nil
}
