package prober

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide/clock"
)

// TestDataPathReadiness guards against a process that reports that it is ready while its data path receives no packets or
// uses outdated rules.
func TestDataPathReadiness(t *testing.T) {
	var seen, inForce uint64
	var leaving bool
	clk := clock.NewManual(1000)
	p := &DataPathCheck{
		RevisionSeen: func() uint64 { return seen }, RevisionInForce: func() uint64 { return inForce }, IsLeaving: func() bool { return leaving }, Clock: clk,
	}
	ready := func() error { return p.Ready(context.Background()) }
	require.ErrorIs(t, ready(), errNotOpen, "before the start")
	running, stop := make(chan struct{}), make(chan struct{})
	ended := make(chan error, 1)
	run := p.Track(func(context.Context) error { close(running); <-stop; return nil })
	go func() { ended <- run(context.Background()) }()
	<-running
	seen = 1
	require.ErrorIs(t, ready(), errNoRevision, "received, but not in force")
	inForce = 1
	require.NoError(t, ready())
	seen = 2
	require.NoError(t, ready(), "a new revision may take a moment")
	clk.Advance(maxRevisionLag + 1)
	require.ErrorContains(t, ready(), "revision 1 is in force in the data path, revision 2 was received")
	inForce, seen = 2, 3
	require.NoError(t, ready(), "the lag of another revision starts at zero")
	inForce = 3
	leaving = true
	require.ErrorIs(t, ready(), errLeaving)
	leaving = false
	close(stop)
	require.NoError(t, <-ended)
	require.ErrorIs(t, ready(), errNotOpen, "after the end")
}

// TestHandler guards against wrong status codes and against a command line in the metrics.
func TestHandler(t *testing.T) {
	var notReady error
	var counters struct{ Forwarded, Dropped atomic.Uint64 }
	counters.Dropped.Add(7)
	p := New(Config{Ready: func(context.Context) error { return notReady }})
	p.Counters("Forwarder", &counters)
	get := func(path string) (int, string) {
		w := httptest.NewRecorder()
		p.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		return w.Code, w.Body.String()
	}
	cases := map[string]struct {
		notReady error
		path     string
		code     int
		text     string
	}{
		"health when not ready": {errNoRevision, "/health", 200, "ok"},
		"ready":                 {nil, "/ready", 200, "ready"},
		"not ready":             {errors.New("because"), "/ready", 503, "because"},
		"metrics":               {nil, "/debug/vars", 200, `"Forwarder.Dropped": 7`},
		"unknown":               {nil, "/debug/pprof", 404, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			notReady = c.notReady
			code, body := get(c.path)
			require.Equal(t, c.code, code)
			require.Contains(t, body, c.text)
			require.NotContains(t, body, "cmdline")
		})
	}
}

// TestRun guards against a configured address that is not served without an error.
func TestRun(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	taken := server.Listener.Addr().String()
	var e *Error
	require.ErrorAs(t, New(Config{Listen: netip.MustParseAddrPort(taken)}).Run(context.Background()), &e)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.NoError(t, New(Config{}).Run(ctx))
	require.NoError(t, New(Config{Listen: netip.MustParseAddrPort("127.0.0.1:0")}).Run(ctx))
}
