// Package responder stands in for a target: an HTTP server with a number of slots and a speed, and with faults that flags
// or a request's query select.
package responder

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// Header names of the stand-in's answers.
const (
	HeaderTarget   = "X-Target"
	HeaderCustomer = "X-Customer"
	// HeaderDigest is the SHA-256 of the body, in hexadecimal.
	HeaderDigest = "X-Digest"
	// HeaderRequestID and HeaderShed belong to the protocol between agents and targets.
	HeaderRequestID = "Cherviltide-Request-Id"
	HeaderShed      = "Cherviltide-Shed"
)

// LoadPath is the path of the endpoint that reports the load: running requests relative to slots.
const LoadPath = "/load"

// RunsPath is the path of the endpoint that tells how often the key in the query parameter "key" has run.
const RunsPath = "/runs"

// Fault is what a target does wrong with a request. The query parameter "fault" has the same values.
type Fault string

// The faults.
const (
	FaultNone    Fault = ""
	FaultCut     Fault = "cut"     // Closes the connection in the middle of the body.
	FaultEarly   Fault = "early"   // Closes the connection before the first byte of the answer.
	FaultSilent  Fault = "silent"  // Never answers.
	FaultStall   Fault = "stall"   // Stops in the middle of the body and keeps the connection open.
	FaultShed    Fault = "shed"    // Refuses with status 503 and says that the request did not run.
	FaultBusy    Fault = "busy"    // Refuses with status 503 and says nothing.
	FaultCrossed Fault = "crossed" // Answers under another request's ID.
	FaultSlow    Fault = "slow"    // Takes ten times as long.
	FaultEndless Fault = "endless" // Sends a body without a length and closes the connection to end it.
)

// slowdown is the factor of FaultSlow.
const slowdown = 10

// Config describes a target.
type Config struct {
	Name   string
	Listen netip.AddrPort
	Slots  int
	// Service is the time that one request takes.
	Service time.Duration
	// Cold is how long after the start requests take longer: ten times as long at first, falling linearly.
	Cold time.Duration
	// Fault applies to all requests that select none.
	Fault Fault
	// Load is what the load endpoint reports; a negative value means the truth.
	Load float64
	// CustomerHeader is the request header that names the customer.
	CustomerHeader string
}

// Responder is a target.
type Responder struct {
	config  Config
	slots   chan struct{}
	started time.Time
	// draining makes the target shed all new requests.
	draining atomic.Bool

	mu sync.Mutex
	// runs counts how often each request ID or idempotency key has run.
	runs map[string]int
}

// New returns a target that has not started.
func New(config Config) *Responder {
	return &Responder{config: config, slots: make(chan struct{}, config.Slots), started: time.Now(), runs: map[string]int{}}
}

// Run serves until ctx ends.
func (r *Responder) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", r.config.Listen.String())
	if err != nil {
		return errors.Trace(err)
	}
	server := &http.Server{Handler: r, ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return errors.Trace(err)
	}
	return nil
}

// Drain makes the target shed new requests; those in progress finish.
func (r *Responder) Drain() {
	r.draining.Store(true)
}

// Runs returns how often requests with the given idempotency key have run.
func (r *Responder) Runs(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[key]
}

// ServeHTTP answers one request.
func (r *Responder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == LoadPath {
		r.load(w)
		return
	}
	if req.URL.Path == RunsPath {
		_, _ = w.Write([]byte(strconv.Itoa(r.Runs(req.URL.Query().Get("key")))))
		return
	}
	fault := Fault(req.URL.Query().Get("fault"))
	if fault == FaultNone {
		fault = r.config.Fault
	}
	if r.draining.Load() || fault == FaultShed {
		shed(w)
		return
	}
	if fault == FaultBusy {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	default:
		shed(w)
		return
	}
	r.serve(w, req, fault)
}

func shed(w http.ResponseWriter) {
	w.Header().Set(HeaderShed, "NotRun")
	http.Error(w, "all slots are busy", http.StatusServiceUnavailable)
}

func (r *Responder) load(w http.ResponseWriter) {
	load := r.config.Load
	if load < 0 {
		load = float64(len(r.slots)) / float64(r.config.Slots)
	}
	_, _ = w.Write([]byte(strconv.FormatFloat(load, 'f', 2, 64)))
}

// serve runs a request in its slot.
func (r *Responder) serve(w http.ResponseWriter, req *http.Request, fault Fault) {
	r.mu.Lock()
	r.runs[req.Header.Get("Idempotency-Key")]++
	r.mu.Unlock()
	if fault == FaultEarly {
		panic(http.ErrAbortHandler)
	}
	span := r.span(fault)
	timer := time.NewTimer(span)
	defer timer.Stop()
	expired := timer.C
	if fault == FaultSilent {
		expired = nil
	}
	select {
	case <-expired:
	case <-req.Context().Done():
		return
	}
	r.answer(w, req, fault)
}

// span is how long a request takes now.
func (r *Responder) span(fault Fault) time.Duration {
	span := r.config.Service
	if fault == FaultSlow {
		span *= slowdown
	}
	if age := time.Since(r.started); age < r.config.Cold {
		left := 1 - float64(age)/float64(r.config.Cold)
		span += time.Duration(float64(r.config.Service) * (slowdown - 1) * left)
	}
	return span
}

// answer sends as many bytes as the query asks for, and their digest.
func (r *Responder) answer(w http.ResponseWriter, req *http.Request, fault Fault) {
	size, err := strconv.Atoi(req.URL.Query().Get("bytes"))
	if err != nil || size < 0 {
		size = 64
	}
	body := Body(req.URL.Path, size)
	sum := sha256.Sum256(body)
	if fault == FaultEndless {
		r.endless(w, body)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(size))
	w.Header().Set(HeaderTarget, r.config.Name)
	w.Header().Set(HeaderCustomer, req.Header.Get(r.config.CustomerHeader))
	w.Header().Set(HeaderDigest, hex.EncodeToString(sum[:]))
	w.Header().Set(HeaderRequestID, req.Header.Get(HeaderRequestID))
	if fault == FaultCrossed {
		w.Header().Set(HeaderRequestID, "00000000-0000-7000-8000-000000000000")
	}
	if fault == FaultCut || fault == FaultStall {
		_, _ = w.Write(body[:size/2])
		_ = http.NewResponseController(w).Flush()
		if fault == FaultStall {
			<-req.Context().Done()
		}
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// endless writes an answer whose end only the end of the connection shows.
func (r *Responder) endless(w http.ResponseWriter, body []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"))
	_, _ = conn.Write(body)
	_ = conn.Close()
}

// Body returns the body that a target serves for a path.
func Body(path string, size int) []byte {
	body := make([]byte, size)
	for i := range body {
		body[i] = path[i%len(path)] + byte(i>>10)
	}
	return body
}
