// Package caller provides an HTTP/3 client that calls services and checks whether the responses are complete.
package caller

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"cherviltide.example/cherviltide/bench/responder"
)

// Caller is a client that keeps one QUIC connection for each service that it calls.
type Caller struct {
	client    *http.Client
	transport *http3.Transport
}

// Response is what a caller has checked about a response.
type Response struct {
	Status   int
	Target   string
	Customer string
	Took     time.Duration
	Bytes    int
	// Complete is true when the status is 200 and the body is the one that a target serves for the path and size.
	Complete bool
	Outcome  string
}

// New returns a caller with its own QUIC connections.
func New(config *tls.Config) *Caller {
	transport := &http3.Transport{TLSClientConfig: config, QUICConfig: &quic.Config{DisablePathMTUDiscovery: true}}
	return &Caller{client: &http.Client{Transport: transport}, transport: transport}
}

// Open sends a GET request and returns the response with its body unread. The caller must close the body.
func (c *Caller) Open(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	res, err := c.client.Do(req)
	return res, errors.Trace(err)
}

// Post sends an at-most-once request with an idempotency key and returns the status and the outcome of the response.
func (c *Caller) Post(ctx context.Context, url, key, body string) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return Response{}, errors.Trace(err)
	}
	req.Header.Set("Idempotency-Key", key)
	res, err := c.client.Do(req)
	if err != nil {
		return Response{}, errors.Trace(err)
	}
	response, _, err := readResponse(res)
	return response, err
}

// Get requests size bytes of a path below the base URL, and checks that the response is complete.
func (c *Caller) Get(ctx context.Context, base, path string, size int) (Response, error) {
	startedAt := time.Now()
	res, err := c.Open(ctx, base+path+"?bytes="+strconv.Itoa(size))
	if err != nil {
		return Response{}, errors.Trace(err)
	}
	response, body, err := readResponse(res)
	response.Took = time.Since(startedAt)
	response.Complete = response.Status == http.StatusOK && bytes.Equal(body, responder.Body(path, size))
	return response, err
}

// readResponse reads the whole body of a response and closes it.
func readResponse(res *http.Response) (Response, []byte, error) {
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return Response{}, nil, errors.Trace(err)
	}
	return Response{
		Status:   res.StatusCode,
		Target:   res.Header.Get(responder.HeaderTarget),
		Customer: res.Header.Get(responder.HeaderCustomer),
		Outcome:  res.Header.Get("Cherviltide-Outcome"),
		Bytes:    len(body),
	}, body, nil
}

// Close closes all connections.
func (c *Caller) Close() error {
	return c.transport.Close()
}
