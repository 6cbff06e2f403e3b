package proxier

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/uuid"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/admitter"
	"cherviltide.example/cherviltide/bench/issuer"
	"cherviltide.example/cherviltide/bench/responder"
	"cherviltide.example/cherviltide/certifier"
	"cherviltide.example/cherviltide/claimer"
	"cherviltide.example/cherviltide/clock"
)

// plainConn is a data path without agents: each packet of the socket belongs to this proxier.
type plainConn struct {
	*net.UDPConn
	refused, full *atomic.Bool
}

func (plainConn) ConnectionOpened(net.Addr) {}
func (c plainConn) AcceptsConnection(net.Addr) bool {
	return !c.full.Load()
}
func (plainConn) ConnectionClosed(net.Addr)  {}
func (plainConn) ConnectionIDPrefix() uint32 { return 1 }
func (c plainConn) RefuseNewConnections()    { c.refused.Store(true) }

type result struct {
	kind    string
	outcome cherviltide.Outcome
}

type recorder chan result

func (r recorder) Record(_, kind string, outcome cherviltide.Outcome, _ cherviltide.Millis) {
	r <- result{kind, outcome}
}

var testRules = cherviltide.Rules{
	Kinds: []cherviltide.Kind{
		{Service: "s", Name: "fetch", PathPrefix: "/a/", Class: cherviltide.ClassNormal, Deadline: 400},
		{Service: "s", Name: "bulk", PathPrefix: "/b/", Class: cherviltide.ClassBulky, Deadline: 50},
		{Service: "s", Name: "lodge", PathPrefix: "/l/", Class: cherviltide.ClassNormal, Deadline: 400, AtMostOnce: true},
	},
	Customers: []cherviltide.Customer{
		{Name: "alpha", Certificate: "alpha", Services: []string{"s"}}, {Name: "beta", Certificate: "beta", Services: []string{"s"}},
	},
}

// bed is a proxier on the loopback with one target and callers.
type bed struct {
	t         *testing.T
	issuer    *issuer.Issuer
	responder *responder.Responder
	// seen is the header of the last request that reached the target.
	seen atomic.Pointer[http.Header]
	// fault overrides the fault of a request.
	fault atomic.Pointer[string]
	// gate holds up the requests below /a/gate and /b/gate until something is sent, after it has received their context.
	gate    chan context.Context
	results recorder
	// refused is true once new connections are left to other agents.
	refused atomic.Bool
	// full makes the data path accept no further connection.
	full atomic.Bool
	stop context.CancelFunc
	done chan error
	url  string
}

func (b *bed) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := r.Header.Clone()
	b.seen.Store(&h)
	if f := b.fault.Load(); f != nil {
		r.URL.RawQuery = "fault=" + *f
	}
	if strings.HasSuffix(r.URL.Path, "/gate") {
		b.gate <- r.Context()
		select {
		case <-b.gate:
		case <-r.Context().Done():
		}
	}
	b.responder.ServeHTTP(w, r)
}

func newBed(t *testing.T) *bed {
	authority, err := issuer.New(t.TempDir())
	require.NoError(t, err)
	b := &bed{t: t, issuer: authority, results: make(recorder, 100), done: make(chan error, 1), gate: make(chan context.Context)}
	b.responder = responder.New(responder.Config{Name: "t", Slots: 4, CustomerHeader: HeaderCustomer, Load: -1})
	target := httptest.NewServer(b)
	t.Cleanup(target.Close)
	b.start(target.Listener.Addr().String())
	return b
}

func (b *bed) start(target string) {
	certificate, key, err := b.issuer.Issue("server", "s", net.IPv4(127, 0, 0, 1))
	require.NoError(b.t, err)
	config, err := certifier.Server(certifier.Files{Certificate: certificate, Key: key, Authority: b.issuer.Authority()}, "h3")
	require.NoError(b.t, err)
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(b.t, err)
	b.url = "https://" + conn.LocalAddr().String()
	system := clock.NewSystem()
	p := New(Config{
		Service: "s", Target: netip.MustParseAddrPort(target), TLS: config, Clock: system, Log: zap.NewNop(), Recorder: b.results,
		Rules: func() cherviltide.Rules { return testRules }, Claims: b.claims(),
		Slots: admitter.New(admitter.Config{Slots: 2, Warm: true}, system),
	})
	ctx, cancel := context.WithCancel(b.t.Context())
	b.stop = cancel
	go func() { b.done <- p.Run(ctx, plainConn{conn, &b.refused, &b.full}) }()
	b.t.Cleanup(func() { cancel(); _ = conn.Close() })
}

// claims returns claims with this agent as the only home, past the time in which a new home refuses keys.
func (b *bed) claims() Claims {
	manual := clock.NewManual(clock.NewSystem().Now() - 60_000)
	self := cherviltide.Member{Name: "self"}
	c := claimer.New(claimer.Config{
		Self: self, Clock: manual, MaxLease: 1_000, Lease: func() cherviltide.Millis { return 1_000 },
		Members: func() []cherviltide.Member { return []cherviltide.Member{self} },
	})
	manual.Advance(60_000)
	return c
}

func (b *bed) caller(customer string) *http.Client {
	certificate, key, err := b.issuer.Issue(customer, customer)
	require.NoError(b.t, err)
	config, err := certifier.Client(certifier.Files{Certificate: certificate, Key: key, Authority: b.issuer.Authority()}, "h3")
	require.NoError(b.t, err)
	transport := &http3.Transport{TLSClientConfig: config.Clone()}
	b.t.Cleanup(func() { _ = transport.Close() })
	return &http.Client{Transport: transport}
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (b *bed) do(c *http.Client, method, path, body string, header http.Header) reply {
	req, err := http.NewRequestWithContext(b.t.Context(), method, b.url+path, strings.NewReader(body))
	require.NoError(b.t, err)
	for name, values := range header {
		req.Header[name] = values
	}
	res, err := c.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, header: res.Header, body: string(data), err: err}
}

// Guards against a request without an outcome, with a wrong one or with two, under each fault of the target, and against
// a cut answer that looks complete to the caller.
func TestOutcomes(t *testing.T) {
	cases := map[string]struct {
		path    string
		header  http.Header
		outcome cherviltide.Outcome
		status  int
		broken  bool
	}{
		"whole":        {path: "/a/x?bytes=100000", outcome: cherviltide.OutcomeTimely, status: 200},
		"cut":          {path: "/a/x?bytes=100000&fault=cut", outcome: cherviltide.OutcomePartial, broken: true},
		"early":        {path: "/a/x?fault=early", outcome: cherviltide.OutcomeUnknown, status: 502},
		"silent":       {path: "/a/x?fault=silent", outcome: cherviltide.OutcomeUnknown, status: 504},
		"shed":         {path: "/a/x?fault=shed", outcome: cherviltide.OutcomeRefused, status: 503},
		"busy":         {path: "/a/x?fault=busy", outcome: cherviltide.OutcomeTimely, status: 503},
		"crossed":      {path: "/a/x?fault=crossed", outcome: cherviltide.OutcomeUnknown, status: 502},
		"endless":      {path: "/a/x?fault=endless", outcome: cherviltide.OutcomeUnknown, status: 502},
		"no kind":      {path: "/c/x", outcome: cherviltide.OutcomeRefused, status: 404},
		"dot segments": {path: "/a/%2e%2e/b/x", outcome: cherviltide.OutcomeRefused, status: 400},
		"bad deadline": {path: "/a/x", header: http.Header{HeaderDeadline: {"soon"}}, outcome: cherviltide.OutcomeRefused, status: 400},
		"at most once": {path: "/l/x", outcome: cherviltide.OutcomeRefused, status: 400},
	}
	b := newBed(t)
	c := b.caller("alpha")
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			got := b.do(c, http.MethodGet, k.path, "", k.header)
			require.Equal(t, k.outcome, (<-b.results).outcome)
			require.Empty(t, b.results)
			require.Equal(t, k.broken, got.err != nil, "%v", got.err)
			if !k.broken {
				require.Equal(t, k.status, got.status)
				require.NotEmpty(t, got.header.Get(HeaderRequestID))
			}
		})
	}
}

// Guards against a request that is sent to a target that is down, and reported as run.
func TestTargetDown(t *testing.T) {
	b := newBed(t)
	b.start("127.0.0.1:1")
	require.Equal(t, 503, b.do(b.caller("alpha"), http.MethodPost, "/a/x", "data", nil).status)
	require.Equal(t, result{"fetch", cherviltide.OutcomeRefused}, <-b.results)
	require.Zero(t, b.responder.Runs(""))
}

// Guards against callers that name a customer of their own choice, and against unknown customers.
func TestCustomerIdentity(t *testing.T) {
	b := newBed(t)
	h := http.Header{
		"cherviltide-customer": {"beta"}, "CHERVILTIDE_CUSTOMER": {"beta"}, "Cherviltide_Request-Id": {"1"},
		HeaderDeadline: {"100"}, "Accept": {"*/*"},
	}
	require.Equal(t, 200, b.do(b.caller("alpha"), http.MethodGet, "/a/x", "", h).status)
	for name, values := range *b.seen.Load() {
		if reserved(name) {
			require.Contains(t, []string{HeaderCustomer, HeaderDeadline, HeaderRequestID}, name)
			require.Len(t, values, 1)
		}
	}
	require.Equal(t, "alpha", b.seen.Load().Get(HeaderCustomer))
	left, err := strconv.Atoi(b.seen.Load().Get(HeaderDeadline))
	require.NoError(t, err)
	require.LessOrEqual(t, left, 100, "the caller's deadline is shorter than the kind's")
	require.Equal(t, 403, b.do(b.caller("stranger"), http.MethodGet, "/a/x", "", nil).status)
}

// Guards against a bulky transfer that is cut because it lasts longer than its deadline.
func TestBulkyEndsLate(t *testing.T) {
	b := newBed(t)
	c := b.caller("alpha")
	got := make(chan reply, 1)
	go func() { got <- b.do(c, http.MethodGet, "/b/gate", "", nil) }()
	ctx := <-b.gate
	timer := clock.NewSystem()
	for end := timer.Now() + 60; timer.Now() < end; {
		require.NoError(t, ctx.Err())
	}
	b.gate <- nil
	require.Equal(t, 200, (<-got).status)
	require.Equal(t, result{"bulk", cherviltide.OutcomeLate}, <-b.results)
}

// Guards against a target that goes on with a request that its caller has cancelled.
func TestCancellation(t *testing.T) {
	b := newBed(t)
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, b.url+"/b/gate", nil)
	require.NoError(t, err)
	go func() { _, _ = b.caller("alpha").Do(req) }()
	target := <-b.gate
	cancel()
	<-target.Done()
	require.Equal(t, cherviltide.OutcomeUnknown, (<-b.results).outcome)
}

// Guards against a planned stop that cuts a request in progress, accepts a new one, or keeps the datagrams of callers'
// next connections to itself. Run had lost the call of RefuseNewConnections once, and such connections then waited 5 s in vain.
func TestGracefulShutdown(t *testing.T) {
	b := newBed(t)
	c := b.caller("alpha")
	got := make(chan reply, 1)
	go func() { got <- b.do(c, http.MethodGet, "/b/gate?bytes=300000", "", nil) }()
	<-b.gate
	b.stop()
	for b.do(c, http.MethodGet, "/a/x", "", nil).status == 200 {
		require.Equal(t, cherviltide.OutcomeTimely, (<-b.results).outcome)
	}
	require.Empty(t, b.done)
	require.True(t, b.refused.Load())
	b.gate <- nil
	r := <-got
	require.NoError(t, r.err)
	require.Len(t, r.body, 300000)
	require.NoError(t, <-b.done)
}

// Guards against a caller that waits for a timeout when the agent holds as many connections as it may.
func TestFullAgentRefusesConnections(t *testing.T) {
	b := newBed(t)
	b.full.Store(true)
	var refused *quic.TransportError
	require.ErrorAs(t, b.do(b.caller("alpha"), http.MethodGet, "/a/x", "", nil).err, &refused)
	require.Equal(t, quic.ConnectionRefused, refused.ErrorCode)
}

// Guards against an at-most-once request that runs twice, answers another customer, or runs after it was refused.
func TestAtMostOnce(t *testing.T) {
	b := newBed(t)
	alpha, beta := b.caller("alpha"), b.caller("beta")
	lodge := func(c *http.Client, key, body string) reply {
		return b.do(c, http.MethodPost, "/l/x", body, http.Header{HeaderKey: {key}})
	}
	key := func() string { return uuid.Must(uuid.NewV7()).String() }
	first := key()
	a := lodge(alpha, first, "one")
	require.Equal(t, 200, a.status)
	again := lodge(alpha, first, "one")
	require.Equal(t, []any{200, a.body, "true"}, []any{again.status, again.body, again.header.Get(HeaderReplayed)})
	require.Equal(t, 422, lodge(alpha, first, "two").status)
	require.Equal(t, 1, b.responder.Runs(first))
	require.Equal(t, "beta", lodge(beta, first, "one").header.Get(responder.HeaderCustomer), "keys are scoped by customer")
	require.Equal(t, 400, lodge(alpha, "not a key", "one").status)
	require.Equal(t, 400, lodge(alpha, uuid.NewString(), "one").status, "version 4 has no time")

	early, lost := string(responder.FaultEarly), key()
	b.fault.Store(&early)
	require.Equal(t, 502, lodge(alpha, lost, "one").status)
	b.fault.Store(nil)
	require.Equal(t, 409, lodge(alpha, lost, "one").status, "the effect is unknown")
	require.Equal(t, 1, b.responder.Runs(lost))

	shed, refused := string(responder.FaultShed), key()
	b.fault.Store(&shed)
	require.Equal(t, "Refused", lodge(alpha, refused, "one").header.Get(HeaderOutcome))
	require.Zero(t, b.responder.Runs(refused))
	b.fault.Store(nil)
	require.Equal(t, 200, lodge(alpha, refused, "one").status, "a key that did not run may run")
	require.Equal(t, 1, b.responder.Runs(refused))
}

// Guards against a resent key that is refused as not run by a home that took over: the former home may have run it, and the
// caller would send the same lodgement under a new key.
func TestKeyFromBeforeTakeover(t *testing.T) {
	b := newBed(t)
	c := b.caller("alpha")
	cases := map[string]struct {
		header  http.Header
		outcome cherviltide.Outcome
	}{
		"sent before":   {http.Header{}, cherviltide.OutcomeUnknown},
		"first sending": {http.Header{HeaderFirst: {"true"}}, cherviltide.OutcomeRefused},
	}
	for name, want := range cases {
		t.Run(name, func(t *testing.T) {
			id := uuid.Must(uuid.NewV7())
			binary.BigEndian.PutUint32(id[:], binary.BigEndian.Uint32(id[:])-2) // 2 times 65.5 s earlier
			want.header.Set(HeaderKey, id.String())
			r := b.do(c, http.MethodPost, "/l/x", "one", want.header)
			require.Equal(t, string(want.outcome), r.header.Get(HeaderOutcome))
			require.Equal(t, "KeyTakeover", r.header.Get(HeaderReason))
			require.Zero(t, b.responder.Runs(id.String()))
		})
	}
}

// FuzzMetadata guards against request metadata that panics or gets past the checks.
func FuzzMetadata(f *testing.F) {
	f.Add("Cherviltide-Customer", "alpha", "100", "0197f3a0-0000-7000-8000-000000000000")
	f.Add("cherviltide_deadline-ms", "x", "-1", "0197f3a0-0000-4000-8000-000000000000")
	f.Add("Connection", "Cherviltide-Deadline-Ms, close", "9223372036854775808", "urn:uuid:0197f3a0-0000-7000-8000-000000000000")
	f.Fuzz(func(t *testing.T, name, value, deadline, key string) {
		h := http.Header{name: {value}, HeaderDeadline: {deadline}}
		if span, err := deadlineOf(h, cherviltide.Kind{Deadline: 500}); err == nil && (span <= 0 || span > 500) {
			t.Fatalf("deadline %d from %q", span, deadline)
		}
		clean(h)
		for n := range h {
			if strings.HasPrefix(strings.ToLower(strings.ReplaceAll(n, "_", "-")), reservedPrefix) {
				t.Fatalf("header %q is left", n)
			}
		}
		if k, err := claimer.ParseKey("c", "s", key); err == nil && (k.ID.Version() != 7 || k.Issued() < 0) {
			t.Fatalf("key %q was accepted", key)
		}
	})
}
