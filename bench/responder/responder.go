// Package responder stands in for a target: an HTTP server with a number of slots and a speed.
package responder

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// Header names of the stand-in's answers.
const (
	HeaderTarget   = "X-Target"
	HeaderCustomer = "X-Customer"
	// HeaderDigest is the SHA-256 of the body, in hexadecimal.
	HeaderDigest = "X-Digest"
)

// Config describes a target.
type Config struct {
	Name   string
	Listen netip.AddrPort
	Slots  int
	// Service is the time that one request takes.
	Service time.Duration
	// CustomerHeader is the request header that names the customer.
	CustomerHeader string
}

// Responder is a target.
type Responder struct {
	config Config
	slots  chan struct{}
}

// New returns a target that has not started.
func New(config Config) *Responder {
	return &Responder{config: config, slots: make(chan struct{}, config.Slots)}
}

// Run serves until ctx ends.
func (r *Responder) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", r.config.Listen.String())
	if err != nil {
		return errors.Trace(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return errors.Trace(err)
	}
	return nil
}

// serve answers with as many bytes as the query asks for, and their digest.
func (r *Responder) serve(w http.ResponseWriter, req *http.Request) {
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	default:
		http.Error(w, "all slots are busy", http.StatusServiceUnavailable)
		return
	}
	time.Sleep(r.config.Service)
	size, err := strconv.Atoi(req.URL.Query().Get("bytes"))
	if err != nil || size < 0 {
		size = 64
	}
	body := Body(req.URL.Path, size)
	sum := sha256.Sum256(body)
	w.Header().Set("Content-Length", strconv.Itoa(size))
	w.Header().Set(HeaderTarget, r.config.Name)
	w.Header().Set(HeaderCustomer, req.Header.Get(r.config.CustomerHeader))
	w.Header().Set(HeaderDigest, hex.EncodeToString(sum[:]))
	_, _ = w.Write(body)
}

// Body returns the body that a target serves for a path.
func Body(path string, size int) []byte {
	body := make([]byte, size)
	for i := range body {
		body[i] = path[i%len(path)] + byte(i>>10)
	}
	return body
}
