// Package responder simulates a target: an HTTP server with a number of slots and a service time, and with faults that
// flags or the query of a request select.
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

// Header names of the responses.
const (
	HeaderTarget   = "X-Target"
	HeaderCustomer = "X-Customer"
	// HeaderDigest is the SHA-256 of the body, in hexadecimal.
	HeaderDigest = "X-Digest"
	// HeaderRequestID and HeaderShed belong to the protocol between agents and targets.
	HeaderRequestID = "Cherviltide-Request-Id"
	HeaderShed      = "Cherviltide-Shed"
)

// LoadPath is the path of the endpoint that reports the load, by default the requests in execution relative to the slots.
const LoadPath = "/load"

// ExecutionsPath is the path of the endpoint that returns how often requests with the idempotency key in the query parameter
// "key" have been executed.
const ExecutionsPath = "/runs"

// Fault is the fault that a target injects into a request. The query parameter "fault" has the same values.
type Fault string

// The faults.
const (
	FaultNone           Fault = ""
	FaultTruncated      Fault = "cut"     // Closes the connection in the middle of the body.
	FaultNoResponse     Fault = "early"   // Executes the request and closes the connection before the first byte of the response.
	FaultHang           Fault = "silent"  // Never responds.
	FaultStall          Fault = "stall"   // Stops in the middle of the body and keeps the connection open.
	FaultShed           Fault = "shed"    // Rejects with status 503 and reports that the request was not executed.
	FaultBusy           Fault = "busy"    // Rejects with status 503 without that report.
	FaultWrongRequestID Fault = "crossed" // Responds with the ID of another request.
	FaultSlow           Fault = "slow"    // Takes ten times the service time.
	FaultNoLength       Fault = "endless" // Sends a body without a length and closes the connection to end it.
)

// slowdown is the factor of the service time of FaultSlow and at the start of a slow start.
const slowdown = 10

// Config describes a target.
type Config struct {
	Name   string
	Listen netip.AddrPort
	Slots  int
	// ServiceTime is the time that the execution of a request takes.
	ServiceTime time.Duration
	// SlowStart is the time after the start in which requests take longer: at first ten times as long, falling linearly.
	SlowStart time.Duration
	// Fault applies to all requests that do not select one.
	Fault Fault
	// ReportedLoad is the load that the load endpoint reports. A negative value selects the measured load.
	ReportedLoad float64
	// CustomerHeader is the request header that names the customer.
	CustomerHeader string
}

// Responder is a simulated target.
type Responder struct {
	config  Config
	slots   chan struct{}
	started time.Time
	// draining makes the target reject all new requests.
	draining atomic.Bool

	mu sync.Mutex
	// executions counts how often requests with each idempotency key have been executed.
	executions map[string]int
}

// New returns a target that does not listen yet.
func New(config Config) *Responder {
	return &Responder{config: config, slots: make(chan struct{}, config.Slots), started: time.Now(), executions: map[string]int{}}
}

// Run serves requests until ctx is done.
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

// Drain makes the target reject new requests; requests in progress finish.
func (r *Responder) Drain() {
	r.draining.Store(true)
}

// Executions returns how often requests with the given idempotency key have been executed.
func (r *Responder) Executions(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.executions[key]
}

// ServeHTTP implements http.Handler.
func (r *Responder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == LoadPath {
		r.reportLoad(w)
		return
	}
	if req.URL.Path == ExecutionsPath {
		_, _ = w.Write([]byte(strconv.Itoa(r.Executions(req.URL.Query().Get("key")))))
		return
	}
	fault := Fault(req.URL.Query().Get("fault"))
	if fault == FaultNone {
		fault = r.config.Fault
	}
	if r.draining.Load() || fault == FaultShed {
		rejectNotExecuted(w)
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
		rejectNotExecuted(w)
		return
	}
	r.execute(w, req, fault)
}

func rejectNotExecuted(w http.ResponseWriter) {
	w.Header().Set(HeaderShed, "NotRun")
	http.Error(w, "all slots are busy", http.StatusServiceUnavailable)
}

func (r *Responder) reportLoad(w http.ResponseWriter) {
	load := r.config.ReportedLoad
	if load < 0 {
		load = float64(len(r.slots)) / float64(r.config.Slots)
	}
	_, _ = w.Write([]byte(strconv.FormatFloat(load, 'f', 2, 64)))
}

// execute executes a request that has a slot.
func (r *Responder) execute(w http.ResponseWriter, req *http.Request, fault Fault) {
	r.mu.Lock()
	r.executions[req.Header.Get("Idempotency-Key")]++
	r.mu.Unlock()
	if fault == FaultNoResponse {
		panic(http.ErrAbortHandler)
	}
	duration := r.serviceTime(fault)
	timer := time.NewTimer(duration)
	defer timer.Stop()
	done := timer.C
	if fault == FaultHang {
		done = nil
	}
	select {
	case <-done:
	case <-req.Context().Done():
		return
	}
	r.respond(w, req, fault)
}

// serviceTime returns how long the execution of a request takes now.
func (r *Responder) serviceTime(fault Fault) time.Duration {
	duration := r.config.ServiceTime
	if fault == FaultSlow {
		duration *= slowdown
	}
	if age := time.Since(r.started); age < r.config.SlowStart {
		left := 1 - float64(age)/float64(r.config.SlowStart)
		duration += time.Duration(float64(r.config.ServiceTime) * (slowdown - 1) * left)
	}
	return duration
}

// respond sends as many bytes as the query requests, and their digest.
func (r *Responder) respond(w http.ResponseWriter, req *http.Request, fault Fault) {
	size, err := strconv.Atoi(req.URL.Query().Get("bytes"))
	if err != nil || size < 0 {
		size = 64
	}
	body := Body(req.URL.Path, size)
	sum := sha256.Sum256(body)
	if fault == FaultNoLength {
		r.respondWithoutLength(w, body)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(size))
	w.Header().Set(HeaderTarget, r.config.Name)
	w.Header().Set(HeaderCustomer, req.Header.Get(r.config.CustomerHeader))
	w.Header().Set(HeaderDigest, hex.EncodeToString(sum[:]))
	w.Header().Set(HeaderRequestID, req.Header.Get(HeaderRequestID))
	if fault == FaultWrongRequestID {
		w.Header().Set(HeaderRequestID, "00000000-0000-7000-8000-000000000000")
	}
	if fault == FaultTruncated || fault == FaultStall {
		_, _ = w.Write(body[:size/2])
		_ = http.NewResponseController(w).Flush()
		if fault == FaultStall {
			<-req.Context().Done()
		}
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// respondWithoutLength sends a response without a length, which ends when the connection is closed.
func (r *Responder) respondWithoutLength(w http.ResponseWriter, body []byte) {
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
