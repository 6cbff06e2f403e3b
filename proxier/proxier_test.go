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

// directConn is a data path without other agents: every packet of the socket belongs to this proxier.
type directConn struct {
	*net.UDPConn
	refusing, full *atomic.Bool
}

func (directConn) ConnectionOpened(net.Addr) {}
func (c directConn) AcceptsConnection(net.Addr) bool {
	return !c.full.Load()
}
func (directConn) ConnectionClosed(net.Addr)  {}
func (directConn) ConnectionIDPrefix() uint32 { return 1 }
func (c directConn) RefuseNewConnections()    { c.refusing.Store(true) }

type recordedOutcome struct {
	kind    string
	outcome cherviltide.Outcome
}

type outcomeRecorder chan recordedOutcome

func (r outcomeRecorder) Record(_, kind string, outcome cherviltide.Outcome, _ cherviltide.Millis) {
	r <- recordedOutcome{kind, outcome}
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

// fixture is a proxier on the loopback interface with one target, and issues certificates for callers.
type fixture struct {
	t         *testing.T
	issuer    *issuer.Issuer
	responder *responder.Responder
	// lastHeader is the header of the last request that reached the target.
	lastHeader atomic.Pointer[http.Header]
	// fault overrides the fault of a request.
	fault atomic.Pointer[string]
	// blocked gets the context of each request whose path ends in /gate. The target holds the request until the test sends
	// a value back.
	blocked  chan context.Context
	outcomes outcomeRecorder
	// refusing is true once the proxier has called RefuseNewConnections.
	refusing atomic.Bool
	// full makes the data path accept no further connection.
	full   atomic.Bool
	stop   context.CancelFunc
	result chan error
	url    string
}

// ServeHTTP is the target.
func (x *fixture) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := r.Header.Clone()
	x.lastHeader.Store(&h)
	if fault := x.fault.Load(); fault != nil {
		r.URL.RawQuery = "fault=" + *fault
	}
	if strings.HasSuffix(r.URL.Path, "/gate") {
		x.blocked <- r.Context()
		select {
		case <-x.blocked:
		case <-r.Context().Done():
		}
	}
	x.responder.ServeHTTP(w, r)
}

func newFixture(t *testing.T) *fixture {
	authority, err := issuer.New(t.TempDir())
	require.NoError(t, err)
	x := &fixture{t: t, issuer: authority, outcomes: make(outcomeRecorder, 100), result: make(chan error, 1), blocked: make(chan context.Context)}
	x.responder = responder.New(responder.Config{Name: "t", Slots: 4, CustomerHeader: HeaderCustomer, ReportedLoad: -1})
	target := httptest.NewServer(x)
	t.Cleanup(target.Close)
	x.start(target.Listener.Addr().String())
	return x
}

func (x *fixture) start(target string) {
	certificate, key, err := x.issuer.Issue("server", "s", net.IPv4(127, 0, 0, 1))
	require.NoError(x.t, err)
	config, err := certifier.ServerConfig(certifier.Files{Certificate: certificate, Key: key, Authority: x.issuer.AuthorityPath()}, "h3")
	require.NoError(x.t, err)
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(x.t, err)
	x.url = "https://" + conn.LocalAddr().String()
	system := clock.NewSystem()
	p := New(Config{
		Service: "s", Target: netip.MustParseAddrPort(target), TLS: config, Clock: system, Log: zap.NewNop(), Recorder: x.outcomes,
		Rules: func() cherviltide.Rules { return testRules }, Claims: x.claims(),
		Slots: admitter.New(admitter.Config{Slots: 2, SkipRampUp: true}, system),
	})
	ctx, cancel := context.WithCancel(x.t.Context())
	x.stop = cancel
	go func() { x.result <- p.Run(ctx, directConn{conn, &x.refusing, &x.full}) }()
	x.t.Cleanup(func() { cancel(); _ = conn.Close() })
}

// claims returns a claimer of which this agent is the only home agent. The time is advanced until the home agent no
// longer refuses new keys because of its takeover.
func (x *fixture) claims() Claims {
	manual := clock.NewManual(clock.NewSystem().Now() - 60_000)
	self := cherviltide.Member{Name: "self"}
	c := claimer.New(claimer.Config{
		Self: self, Clock: manual, MaxLease: 1_000, Lease: func() cherviltide.Millis { return 1_000 },
		Members: func() []cherviltide.Member { return []cherviltide.Member{self} },
	})
	manual.Advance(60_000)
	return c
}

func (x *fixture) caller(customer string) *http.Client {
	certificate, key, err := x.issuer.Issue(customer, customer)
	require.NoError(x.t, err)
	config, err := certifier.ClientConfig(certifier.Files{Certificate: certificate, Key: key, Authority: x.issuer.AuthorityPath()}, "h3")
	require.NoError(x.t, err)
	transport := &http3.Transport{TLSClientConfig: config.Clone()}
	x.t.Cleanup(func() { _ = transport.Close() })
	return &http.Client{Transport: transport}
}

type response struct {
	status int
	header http.Header
	body   string
	err    error
}

func (x *fixture) do(c *http.Client, method, path, body string, header http.Header) response {
	req, err := http.NewRequestWithContext(x.t.Context(), method, x.url+path, strings.NewReader(body))
	require.NoError(x.t, err)
	for name, values := range header {
		req.Header[name] = values
	}
	res, err := c.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return response{status: res.StatusCode, header: res.Header, body: string(data), err: err}
}

// TestOutcomes guards against a request with a wrong outcome, with none or with two, under each fault of the target,
// and against a truncated response that the caller takes for a complete one.
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
	x := newFixture(t)
	c := x.caller("alpha")
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			got := x.do(c, http.MethodGet, k.path, "", k.header)
			require.Equal(t, k.outcome, (<-x.outcomes).outcome)
			require.Empty(t, x.outcomes)
			require.Equal(t, k.broken, got.err != nil, "%v", got.err)
			if !k.broken {
				require.Equal(t, k.status, got.status)
				require.NotEmpty(t, got.header.Get(HeaderRequestID))
			}
		})
	}
}

// TestTargetDown guards against a request that is reported as possibly run although the target is down.
func TestTargetDown(t *testing.T) {
	x := newFixture(t)
	x.start("127.0.0.1:1")
	require.Equal(t, 503, x.do(x.caller("alpha"), http.MethodPost, "/a/x", "data", nil).status)
	require.Equal(t, recordedOutcome{"fetch", cherviltide.OutcomeRefused}, <-x.outcomes)
	require.Zero(t, x.responder.Executions(""))
}

// TestCustomerIdentity guards against callers that set the customer by a header, and against unknown customers.
func TestCustomerIdentity(t *testing.T) {
	x := newFixture(t)
	h := http.Header{
		"cherviltide-customer": {"beta"}, "CHERVILTIDE_CUSTOMER": {"beta"}, "Cherviltide_Request-Id": {"1"},
		HeaderDeadline: {"100"}, "Accept": {"*/*"},
	}
	require.Equal(t, 200, x.do(x.caller("alpha"), http.MethodGet, "/a/x", "", h).status)
	for name, values := range *x.lastHeader.Load() {
		if isReservedHeader(name) {
			require.Contains(t, []string{HeaderCustomer, HeaderDeadline, HeaderRequestID}, name)
			require.Len(t, values, 1)
		}
	}
	require.Equal(t, "alpha", x.lastHeader.Load().Get(HeaderCustomer))
	left, err := strconv.Atoi(x.lastHeader.Load().Get(HeaderDeadline))
	require.NoError(t, err)
	require.LessOrEqual(t, left, 100, "the caller's deadline is shorter than the kind's")
	require.Equal(t, 403, x.do(x.caller("stranger"), http.MethodGet, "/a/x", "", nil).status)
}

// TestBulkyEndsLate guards against a bulky transfer that is truncated because it lasts longer than its deadline.
func TestBulkyEndsLate(t *testing.T) {
	x := newFixture(t)
	c := x.caller("alpha")
	got := make(chan response, 1)
	go func() { got <- x.do(c, http.MethodGet, "/b/gate", "", nil) }()
	ctx := <-x.blocked
	timer := clock.NewSystem()
	for end := timer.Now() + 60; timer.Now() < end; {
		require.NoError(t, ctx.Err())
	}
	x.blocked <- nil
	require.Equal(t, 200, (<-got).status)
	require.Equal(t, recordedOutcome{"bulk", cherviltide.OutcomeLate}, <-x.outcomes)
}

// TestCancellation guards against a target that continues a request that its caller has cancelled.
func TestCancellation(t *testing.T) {
	x := newFixture(t)
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, x.url+"/b/gate", nil)
	require.NoError(t, err)
	go func() { _, _ = x.caller("alpha").Do(req) }()
	target := <-x.blocked
	cancel()
	<-target.Done()
	require.Equal(t, cherviltide.OutcomeUnknown, (<-x.outcomes).outcome)
}

// TestGracefulShutdown guards against a planned stop that truncates a request in progress, accepts a new one, or keeps
// datagrams of new connections from other agents. When Run did not call RefuseNewConnections, such connections timed
// out after 5 s.
func TestGracefulShutdown(t *testing.T) {
	x := newFixture(t)
	c := x.caller("alpha")
	got := make(chan response, 1)
	go func() { got <- x.do(c, http.MethodGet, "/b/gate?bytes=300000", "", nil) }()
	<-x.blocked
	x.stop()
	for x.do(c, http.MethodGet, "/a/x", "", nil).status == 200 {
		require.Equal(t, cherviltide.OutcomeTimely, (<-x.outcomes).outcome)
	}
	require.Empty(t, x.result)
	require.True(t, x.refusing.Load())
	x.blocked <- nil
	r := <-got
	require.NoError(t, r.err)
	require.Len(t, r.body, 300000)
	require.NoError(t, <-x.result)
}

// TestFullAgentRefusesConnections guards against a caller that waits for a timeout when the agent has reached its
// connection limit.
func TestFullAgentRefusesConnections(t *testing.T) {
	x := newFixture(t)
	x.full.Store(true)
	var refused *quic.TransportError
	require.ErrorAs(t, x.do(x.caller("alpha"), http.MethodGet, "/a/x", "", nil).err, &refused)
	require.Equal(t, quic.ConnectionRefused, refused.ErrorCode)
}

// TestAtMostOnce guards against an at-most-once request that runs twice, whose response goes to another customer, or
// that runs after it was refused.
func TestAtMostOnce(t *testing.T) {
	x := newFixture(t)
	alpha, beta := x.caller("alpha"), x.caller("beta")
	lodge := func(c *http.Client, key, body string) response {
		return x.do(c, http.MethodPost, "/l/x", body, http.Header{HeaderIdempotencyKey: {key}})
	}
	key := func() string { return uuid.Must(uuid.NewV7()).String() }
	first := key()
	a := lodge(alpha, first, "one")
	require.Equal(t, 200, a.status)
	again := lodge(alpha, first, "one")
	require.Equal(t, []any{200, a.body, "true"}, []any{again.status, again.body, again.header.Get(HeaderReplayed)})
	require.Equal(t, 422, lodge(alpha, first, "two").status)
	require.Equal(t, 1, x.responder.Executions(first))
	require.Equal(t, "beta", lodge(beta, first, "one").header.Get(responder.HeaderCustomer), "keys are scoped by customer")
	require.Equal(t, 400, lodge(alpha, "not a key", "one").status)
	require.Equal(t, 400, lodge(alpha, uuid.NewString(), "one").status, "version 4 has no time")

	early, lost := string(responder.FaultNoResponse), key()
	x.fault.Store(&early)
	require.Equal(t, 502, lodge(alpha, lost, "one").status)
	x.fault.Store(nil)
	require.Equal(t, 409, lodge(alpha, lost, "one").status, "the effect is unknown")
	require.Equal(t, 1, x.responder.Executions(lost))

	shed, refused := string(responder.FaultShed), key()
	x.fault.Store(&shed)
	require.Equal(t, "Refused", lodge(alpha, refused, "one").header.Get(HeaderOutcome))
	require.Zero(t, x.responder.Executions(refused))
	x.fault.Store(nil)
	require.Equal(t, 200, lodge(alpha, refused, "one").status, "a key that did not run may run")
	require.Equal(t, 1, x.responder.Executions(refused))
}

// TestKeyFromBeforeTakeover guards against a home agent that took over and refuses a repeated key as not run. A request
// with the key may have run under the former home agent, and the caller would repeat the request with a new key.
func TestKeyFromBeforeTakeover(t *testing.T) {
	x := newFixture(t)
	c := x.caller("alpha")
	cases := map[string]struct {
		header  http.Header
		outcome cherviltide.Outcome
	}{
		"sent before":   {http.Header{}, cherviltide.OutcomeUnknown},
		"first sending": {http.Header{HeaderFirstSending: {"true"}}, cherviltide.OutcomeRefused},
	}
	for name, want := range cases {
		t.Run(name, func(t *testing.T) {
			id := uuid.Must(uuid.NewV7())
			binary.BigEndian.PutUint32(id[:], binary.BigEndian.Uint32(id[:])-2) // 2 times 65.5 s earlier
			want.header.Set(HeaderIdempotencyKey, id.String())
			r := x.do(c, http.MethodPost, "/l/x", "one", want.header)
			require.Equal(t, string(want.outcome), r.header.Get(HeaderOutcome))
			require.Equal(t, "KeyTakeover", r.header.Get(HeaderReason))
			require.Zero(t, x.responder.Executions(id.String()))
		})
	}
}

// FuzzMetadata guards against request headers that cause a panic or bypass the checks.
func FuzzMetadata(f *testing.F) {
	f.Add("Cherviltide-Customer", "alpha", "100", "0197f3a0-0000-7000-8000-000000000000")
	f.Add("cherviltide_deadline-ms", "x", "-1", "0197f3a0-0000-4000-8000-000000000000")
	f.Add("Connection", "Cherviltide-Deadline-Ms, close", "9223372036854775808", "urn:uuid:0197f3a0-0000-7000-8000-000000000000")
	f.Fuzz(func(t *testing.T, name, value, deadline, key string) {
		h := http.Header{name: {value}, HeaderDeadline: {deadline}}
		if timeout, err := requestTimeout(h, cherviltide.Kind{Deadline: 500}); err == nil && (timeout <= 0 || timeout > 500) {
			t.Fatalf("timeout %d from deadline header %q", timeout, deadline)
		}
		removeUnforwardableHeaders(h)
		for n := range h {
			if strings.HasPrefix(strings.ToLower(strings.ReplaceAll(n, "_", "-")), reservedPrefix) {
				t.Fatalf("header %q is left", n)
			}
		}
		if k, err := claimer.ParseKey("c", "s", key); err == nil && (k.ID.Version() != 7 || k.IssuedAt() < 0) {
			t.Fatalf("key %q was accepted", key)
		}
	})
}
