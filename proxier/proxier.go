// Package proxier serves callers' HTTP/3 requests at an agent and forwards them to its one target.
package proxier

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/admitter"
	"cherviltide.example/cherviltide/claimer"
	"cherviltide.example/cherviltide/runner"
)

// Limits of connections and requests.
const (
	// IdleTimeout is how long a connection of a caller may be without packets.
	IdleTimeout = 30 * time.Second
	dialTimeout = 2 * time.Second
	// targetIdleTimeout is how long an unused connection to the target is kept. It is shorter than the usual idle timeout
	// of targets: the outcome of a request that is sent on a connection that the target has just closed is unknown.
	targetIdleTimeout = 3 * time.Second
	// stallTimeout is how long a response may make no progress before it counts as truncated.
	stallTimeout = 30 * time.Second
	// maxHeaderBytes is the largest size of a header.
	maxHeaderBytes = 64 << 10
	// maxBodyBytes is the largest request body. Bulky kinds have maxBulkyBodyBytes, at-most-once kinds
	// maxAtMostOnceBodyBytes.
	maxBodyBytes           = 64 << 20
	maxBulkyBodyBytes      = 16 << 30
	maxAtMostOnceBodyBytes = 1 << 20
	// maxStoredAnswerBytes is the largest response body that is stored to answer a repeated at-most-once request.
	maxStoredAnswerBytes = 64 << 10
)

var errTooManyConnections = errors.New("the agent has reached its connection limit")

// Error is returned when callers cannot be served.
type Error struct{ cherviltide.Fault }

// PacketConn is the agent's data path.
type PacketConn interface {
	net.PacketConn
	// AcceptsConnection reports whether a new connection may be opened; others are refused at once.
	AcceptsConnection(remote net.Addr) bool
	// ConnectionOpened records a connection of a flow. Each call is followed by one of ConnectionClosed.
	ConnectionOpened(remote net.Addr)
	// ConnectionClosed releases the flow of a closed connection.
	ConnectionClosed(remote net.Addr)
	// ConnectionIDPrefix returns the agent tag, which the agent's connection IDs start with.
	ConnectionIDPrefix() uint32
	// RefuseNewConnections leaves new connections to other agents.
	RefuseNewConnections()
}

// Slots limits the number of requests that run concurrently at the target.
type Slots interface {
	// Acquire waits for a slot. After an error, the request must not run.
	Acquire(ctx context.Context, kind cherviltide.Kind, deadline cherviltide.Millis) (release func(admitter.Completion), err error)
	// TakeRetry takes one retry from the retry budget and reports whether one was available.
	TakeRetry() bool
}

// Claims grants the right to run at-most-once requests.
type Claims interface {
	Claim(ctx context.Context, claim claimer.Claim) claimer.Verdict
	Settle(ctx context.Context, settlement claimer.Settlement)
}

// Config describes a proxier.
type Config struct {
	Service string
	// Target is the address of the one target, on the loopback interface or on the same instance.
	Target netip.AddrPort
	TLS    *tls.Config
	Rules  func() cherviltide.Rules
	Slots  Slots
	// Claims may be nil; requests of at-most-once kinds are then refused.
	Claims Claims
	// ResetKey is the key of QUIC stateless resets. All agents have the same, so that each can reset the connections of a
	// dead one. Zero disables stateless resets.
	ResetKey [32]byte
	// Recorder may be nil.
	Recorder cherviltide.Recorder
	Clock    cherviltide.Clock
	Log      *zap.Logger
}

// Proxier serves the requests of one agent.
type Proxier struct {
	config   Config
	server   *http3.Server
	client   *http.Transport
	requests *requestTracker
}

// New returns a proxier that is not running yet.
func New(config Config) *Proxier {
	p := &Proxier{config: config, requests: newRequestTracker(), client: &http.Transport{
		DialContext:            dialTarget,
		DisableCompression:     true,
		IdleConnTimeout:        targetIdleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
	p.server = &http3.Server{Handler: http.HandlerFunc(p.serve), MaxHeaderBytes: maxHeaderBytes}
	return p
}

// Run serves callers on conn until ctx ends. Then it refuses new connections and requests, and returns when the
// requests in progress have ended, however long they take.
func (p *Proxier) Run(ctx context.Context, conn PacketConn) error {
	transport := &quic.Transport{Conn: conn, ConnectionIDGenerator: connectionIDGenerator{prefix: conn.ConnectionIDPrefix()}}
	if p.config.ResetKey != [32]byte{} {
		transport.StatelessResetKey = (*quic.StatelessResetKey)(&p.config.ResetKey)
	}
	listener, err := transport.ListenEarly(p.config.TLS, quicConfig(conn))
	if err != nil {
		return &Error{cherviltide.Fault{Op: "proxier.Run", Kind: cherviltide.KindInternal, Err: err}}
	}
	p.server.ConnContext = func(ctx context.Context, c *quic.Conn) context.Context {
		conn.ConnectionOpened(c.RemoteAddr())
		context.AfterFunc(c.Context(), func() { conn.ConnectionClosed(c.RemoteAddr()) })
		return ctx
	}
	exits := make(chan runner.Exit, 1)
	runner.Start(ctx, "serve", exits, func(context.Context) error { return p.server.ServeListener(listener) })
	select {
	case <-ctx.Done():
		// New connections go to other agents from now on. Closing the listener does not affect the open connections.
		conn.RefuseNewConnections()
		err = errors.Join(listener.Close(), p.drain(ctx))
		<-exits
	case exit := <-exits:
		err = exit.Err
	}
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	return errors.Join(err, listener.Close(), transport.Close())
}

// quicConfig returns the QUIC configuration. Connections that conn does not accept are refused.
func quicConfig(conn PacketConn) *quic.Config {
	accepted := &quic.Config{MaxIdleTimeout: IdleTimeout, DisablePathMTUDiscovery: true}
	config := accepted.Clone()
	config.GetConfigForClient = func(info *quic.ClientInfo) (*quic.Config, error) {
		if !conn.AcceptsConnection(info.RemoteAddr) {
			return nil, errTooManyConnections
		}
		return accepted, nil
	}
	return config
}

// drain sends GOAWAY on all connections, which rejects new requests, waits for the requests in progress, and closes the
// connections after lingerTimeout. It does not wait for callers to close them, since callers keep idle connections
// open.
func (p *Proxier) drain(ctx context.Context) error {
	exits := make(chan runner.Exit, 1)
	runner.Start(context.WithoutCancel(ctx), "shutdown", exits, p.server.Shutdown)
	<-p.requests.close()
	linger := time.NewTimer(lingerTimeout)
	defer linger.Stop()
	select {
	case exit := <-exits:
		return exit.Err
	case <-linger.C:
	}
	err := p.server.Close()
	<-exits
	return err
}
