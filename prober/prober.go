// Package prober serves the health, the readiness and the metrics of a process on a local address.
package prober

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"net/netip"
	"reflect"
	"runtime"
	"sync/atomic"
	"time"

	"cherviltide.example/cherviltide"
)

// headerTimeout bounds the time until the headers of a request have arrived.
const headerTimeout = 2 * time.Second

// Error is a failure to serve.
type Error struct{ cherviltide.Fault }

// Config describes what a prober serves.
type Config struct {
	// Listen is where to serve; nothing is served when it is not valid.
	Listen netip.AddrPort
	// Ready returns nil while the process does its work, or why it does not.
	Ready func(context.Context) error
	// ReadyPath is a second path for readiness; empty means none.
	ReadyPath string
}

// Prober serves GET /health, /ready and /debug/vars. Metrics are added before Run.
type Prober struct {
	config  Config
	metrics *expvar.Map
}

// New returns a prober with the metrics of the Go runtime.
func New(config Config) *Prober {
	p := &Prober{config: config, metrics: new(expvar.Map).Init()}
	started := time.Now()
	p.Metric("Process.UptimeMs", func() any { return time.Since(started).Milliseconds() })
	p.Metric("Process.Goroutines", func() any { return runtime.NumGoroutine() })
	p.Metric("Process.HeapBytes", func() any {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	})
	return p
}

// Metric adds a metric. The function is called for each request and must be safe for concurrent use.
func (p *Prober) Metric(name string, value func() any) {
	p.metrics.Set(name, expvar.Func(value))
}

// Counters adds a metric for each exported atomic.Uint64 field of the struct that counters points to, as PREFIX.FIELD.
func (p *Prober) Counters(prefix string, counters any) {
	s := reflect.ValueOf(counters).Elem()
	for i := range s.NumField() {
		if !s.Type().Field(i).IsExported() {
			continue
		}
		if n, ok := s.Field(i).Addr().Interface().(*atomic.Uint64); ok {
			p.Metric(prefix+"."+s.Type().Field(i).Name, func() any { return n.Load() })
		}
	}
}

// Run serves until ctx ends. It returns an error when the address cannot be opened.
func (p *Prober) Run(ctx context.Context) error {
	if !p.config.Listen.IsValid() {
		<-ctx.Done()
		return nil
	}
	listener, err := net.Listen("tcp", p.config.Listen.String())
	if err != nil {
		return &Error{cherviltide.Fault{Op: "prober.Run", Kind: cherviltide.KindInternal, Err: err}}
	}
	server := &http.Server{Handler: p.Handler(), ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return &Error{cherviltide.Fault{Op: "prober.Run", Kind: cherviltide.KindInternal, Err: err}}
	}
	return nil
}

func (p *Prober) ready(w http.ResponseWriter, r *http.Request) {
	if err := p.config.Ready(r.Context()); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// Handler returns what Run serves, for a process that has a server of its own. It leaves out the command line, which
// expvar's own handler shows and which may hold secrets.
func (p *Prober) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /ready", p.ready)
	if p.config.ReadyPath != "" {
		mux.HandleFunc("GET "+p.config.ReadyPath, p.ready)
	}
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_, _ = w.Write([]byte(p.metrics.String()))
	})
	return mux
}
