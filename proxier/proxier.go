// Package proxier serves callers' HTTP/3 requests at an agent and runs them at its one target.
package proxier

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
)

// Header names between callers, agents and targets.
const (
	// HeaderCustomer names the caller's customer to the target. A caller's own value is removed.
	HeaderCustomer = "Cherviltide-Customer"
	// HeaderDeadline tells the target how many milliseconds are left.
	HeaderDeadline = "Cherviltide-Deadline-Ms"
	// HeaderOutcome tells a caller why it got an answer that is not the target's.
	HeaderOutcome = "Cherviltide-Outcome"
	// headerPrefix marks the headers that only cherviltide sets.
	headerPrefix = "Cherviltide-"
)

// Limits of connections.
const (
	idleTimeout = 30 * time.Second
	dialTimeout = 2 * time.Second
	// drainTimeout bounds how long a graceful stop waits for requests in progress.
	drainTimeout = 10 * time.Minute
)

// Error is a failure to serve callers.
type Error struct{ cherviltide.Fault }

// PacketConn is the agent's data path.
type PacketConn interface {
	net.PacketConn
	// Ended releases the flow of a closed connection.
	Ended(remote net.Addr)
	// Started records a connection of a flow. Each one is followed by Ended.
	Started(remote net.Addr)
}

// Slots limits the requests that run at the target.
type Slots interface {
	// Acquire waits for a slot. It returns an error when the request is not to run.
	Acquire(ctx context.Context, kind cherviltide.Kind) (release func(), err error)
}

// Config describes the serving side of an agent.
type Config struct {
	Service string
	// Target is the address of the one target, on the loopback or on the same instance.
	Target netip.AddrPort
	TLS    *tls.Config
	Rules  func() cherviltide.Rules
	Slots  Slots
	Clock  cherviltide.Clock
	Log    *zap.Logger
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
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression: true,
	}}
	p.server = &http3.Server{Handler: http.HandlerFunc(p.serve)}
	return p
}

// Run serves callers on conn until ctx ends, then lets the requests in progress finish.
func (p *Proxier) Run(ctx context.Context, conn PacketConn) error {
	transport := &quic.Transport{Conn: conn}
	listener, err := transport.ListenEarly(p.config.TLS, &quic.Config{
		MaxIdleTimeout:          idleTimeout,
		DisablePathMTUDiscovery: true,
	})
	if err != nil {
		return &Error{cherviltide.Fault{Op: "proxier.Run", Kind: cherviltide.KindInternal, Err: err}}
	}
	p.server.ConnContext = func(ctx context.Context, c *quic.Conn) context.Context {
		conn.Started(c.RemoteAddr())
		context.AfterFunc(c.Context(), func() { conn.Ended(c.RemoteAddr()) })
		return ctx
	}
	stopped := make(chan struct{})
	notStarted := context.AfterFunc(ctx, func() {
		defer close(stopped)
		p.stop()
	})
	err = p.server.ServeListener(listener)
	// ServeListener returns as soon as the shutdown starts; closing the transport then would cut the requests in progress.
	if !notStarted() {
		<-stopped
	}
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	return errors.Join(err, transport.Close())
}

// customer returns the customer of a request, by the caller's verified certificate.
func (p *Proxier) customer(r *http.Request, rules cherviltide.Rules) (cherviltide.Customer, bool) {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return cherviltide.Customer{}, false
	}
	c, ok := rules.CustomerOf(r.TLS.PeerCertificates[0].Subject.CommonName)
	return c, ok && c.MayReach(p.config.Service)
}

// kindOf returns the kind of a request: the longest matching path prefix of the service wins.
func (p *Proxier) kindOf(r *http.Request, rules cherviltide.Rules) (cherviltide.Kind, bool) {
	var best cherviltide.Kind
	found := false
	for _, k := range rules.Kinds {
		if k.Service != p.config.Service || (k.Method != "" && k.Method != r.Method) {
			continue
		}
		if strings.HasPrefix(r.URL.Path, k.PathPrefix) && len(k.PathPrefix) > len(best.PathPrefix) {
			best, found = k, true
		}
	}
	return best, found
}
