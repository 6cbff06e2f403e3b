// Package proxier serves callers' HTTP/3 requests at an agent and runs them at its one target.
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
	idleTimeout = 30 * time.Second
	dialTimeout = 2 * time.Second
	// targetIdle is how long an unused connection to the target is kept. It is shorter than the usual idle timeout of
	// targets, since a request on a connection that the target has just closed ends as unknown.
	targetIdle = 3 * time.Second
	// stallTimeout is how long an answer may make no progress before it counts as cut.
	stallTimeout = 30 * time.Second
	// maxHeader is the largest size of a request's header, in bytes.
	maxHeader = 64 << 10
	// maxBody is the largest body of a request, in bytes; bulky kinds have maxBulkyBody and at-most-once kinds maxClaimBody.
	maxBody      = 64 << 20
	maxBulkyBody = 16 << 30
	maxClaimBody = 1 << 20
	// maxAnswerBody is the largest body that is kept for a repeated at-most-once request, in bytes.
	maxAnswerBody = 64 << 10
)

var errFull = errors.New("the agent accepts no further connection")

// Error is a failure to serve callers.
type Error struct{ cherviltide.Fault }

// PacketConn is the agent's data path.
type PacketConn interface {
	net.PacketConn
	// AcceptsConnection reports whether a new connection may be opened; others are refused at once.
	AcceptsConnection(remote net.Addr) bool
	// ConnectionOpened records a connection of a flow. Each one is followed by ConnectionClosed.
	ConnectionOpened(remote net.Addr)
	// ConnectionClosed releases the flow of a closed connection.
	ConnectionClosed(remote net.Addr)
	// ConnectionIDPrefix is what the agent's connection IDs start with.
	ConnectionIDPrefix() uint32
	// RefuseNewConnections leaves new connections to other agents.
	RefuseNewConnections()
}

// Slots limits the requests that run at the target.
type Slots interface {
	// Acquire waits for a slot. It returns an error when the request is not to run.
	Acquire(ctx context.Context, kind cherviltide.Kind, deadline cherviltide.Millis) (release func(admitter.Completion), err error)
	// MayRetry takes one retry out of the budget and reports whether there was one.
	MayRetry() bool
}

// Claims grants the right to run at-most-once requests.
type Claims interface {
	Claim(ctx context.Context, claim claimer.Claim) claimer.Verdict
	Settled(ctx context.Context, settlement claimer.Settlement)
}

// Config describes the serving side of an agent.
type Config struct {
	Service string
	// Target is the address of the one target, on the loopback or on the same instance.
	Target netip.AddrPort
	TLS    *tls.Config
	Rules  func() cherviltide.Rules
	Slots  Slots
	// Claims may be nil; requests of at-most-once kinds are then refused.
	Claims Claims
	// ResetKey is the same at all agents, so that each can reset the connections of a dead one; zero means no resets.
	ResetKey [32]byte
	// Recorder may be nil.
	Recorder cherviltide.Recorder
	Clock    cherviltide.Clock
	Log      *zap.Logger
}

// Proxier serves the requests of one agent.
type Proxier struct {
	config Config
	server *http3.Server
	client *http.Transport
	gate   *gate
}

// New returns a proxier that has not started.
func New(config Config) *Proxier {
	p := &Proxier{config: config, gate: newGate(), client: &http.Transport{
		DialContext:            dialTarget,
		DisableCompression:     true,
		IdleConnTimeout:        targetIdle,
		MaxResponseHeaderBytes: maxHeader,
	}}
	p.server = &http3.Server{Handler: http.HandlerFunc(p.serve), MaxHeaderBytes: maxHeader}
	return p
}

// Run serves callers on conn until ctx ends. Then it accepts nothing new and returns after the requests in progress have
// finished, however long they take.
func (p *Proxier) Run(ctx context.Context, conn PacketConn) error {
	transport := &quic.Transport{Conn: conn, ConnectionIDGenerator: connectionIDs{tag: conn.ConnectionIDPrefix()}}
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
	ends := make(chan runner.Exit, 1)
	runner.Start(ctx, "serve", ends, func(context.Context) error { return p.server.ServeListener(listener) })
	select {
	case <-ctx.Done():
		// New connections go to other agents at once; the listener's end leaves the open ones as they are.
		conn.RefuseNewConnections()
		err = errors.Join(listener.Close(), p.drain(ctx))
		<-ends
	case end := <-ends:
		err = end.Err
	}
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	return errors.Join(err, listener.Close(), transport.Close())
}

// quicConfig returns the configuration of connections. The connections that conn does not accept are refused.
func quicConfig(conn PacketConn) *quic.Config {
	accepted := &quic.Config{MaxIdleTimeout: idleTimeout, DisablePathMTUDiscovery: true}
	config := accepted.Clone()
	config.GetConfigForClient = func(info *quic.ClientInfo) (*quic.Config, error) {
		if !conn.AcceptsConnection(info.RemoteAddr) {
			return nil, errFull
		}
		return accepted, nil
	}
	return config
}

// drain sends GOAWAY on all connections, which rejects new requests, waits for those in progress and closes the
// connections. Callers keep idle connections open, so waiting for them to close would delay the end.
func (p *Proxier) drain(ctx context.Context) error {
	ends := make(chan runner.Exit, 1)
	runner.Start(context.WithoutCancel(ctx), "shutdown", ends, p.server.Shutdown)
	<-p.gate.close()
	linger := time.NewTimer(lingerTimeout)
	defer linger.Stop()
	select {
	case end := <-ends:
		return end.Err
	case <-linger.C:
	}
	err := p.server.Close()
	<-ends
	return err
}
