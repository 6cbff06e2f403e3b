// Package prober serves the health check, the readiness check and the metrics of a process over HTTP on a local address.
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

// headerTimeout bounds the time in which the headers of a request must arrive.
const headerTimeout = 2 * time.Second

// Error is an error of the HTTP server.
type Error struct{ cherviltide.Fault }

// Config describes what a prober serves.
type Config struct {
	// Listen is the address to serve on; nothing is served if it is not valid.
	Listen netip.AddrPort
	// Ready returns nil while the process is ready, or an error with the reason why it is not.
	Ready func(context.Context) error
	// ReadyPath is a second URL path of the readiness check; empty means none.
	ReadyPath string
}

// Prober serves GET /health, /ready and /debug/vars. All metrics must be added before Run.
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

// Metric adds a metric. The value function is called for each request for metrics and must be safe for concurrent use.
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

func (p *Prober) serveReady(w http.ResponseWriter, r *http.Request) {
	if err := p.config.Ready(r.Context()); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// Handler returns the handler that Run serves, for a process with its own HTTP server. It does not show the command line,
// which the handler of expvar does and which may contain secrets.
func (p *Prober) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /ready", p.serveReady)
	if p.config.ReadyPath != "" {
		mux.HandleFunc("GET "+p.config.ReadyPath, p.serveReady)
	}
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_, _ = w.Write([]byte(p.metrics.String()))
	})
	return mux
}
