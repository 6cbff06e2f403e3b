package forwarder

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/follower"
	"cherviltide.example/cherviltide/framer"
)

const service = "chart-store"

var (
	testFramer = framer.New([16]byte{1})
	virtual    = netip.MustParseAddrPort("127.0.0.5:443")
	caller     = netip.MustParseAddrPort("127.0.0.1:4000")
)

// fixture is an entry with the sockets of one agent and one caller.
type fixture struct {
	*Forwarder
	agent, caller *net.UDPConn
	view          atomic.Pointer[follower.View]
}

func testView(agent netip.AddrPort) *follower.View {
	s := cherviltide.Service{
		Name: service, ID: cherviltide.ServiceIDOf(service), Addresses: []netip.AddrPort{virtual}, Buckets: 64,
	}
	m := cherviltide.Member{Name: "a", Role: cherviltide.RoleAgent, Service: service, Address: agent, Weight: 1}
	return follower.NewView().
		WithRules(cherviltide.Rules{Revision: 1, Services: []cherviltide.Service{s}}).
		WithEvents([]cherviltide.PositionedEvent{
			{Position: 1, Event: cherviltide.MemberEvent{Type: cherviltide.EventJoined, Member: m}},
		})
}

func listenLoopback(t testing.TB) *net.UDPConn {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func localAddress(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }

func newFixture(t testing.TB, grace time.Duration) *fixture {
	x := &fixture{agent: listenLoopback(t), caller: listenLoopback(t)}
	x.view.Store(testView(localAddress(x.agent)))
	f, err := Listen(Config{
		Listen: netip.IPv4Unspecified(), Ports: []Port{{Virtual: 443}}, Internal: netip.MustParseAddrPort("127.0.0.1:0"),
		Framer: testFramer, View: x.view.Load, Grace: grace,
	})
	require.NoError(t, err)
	t.Cleanup(f.close)
	x.Forwarder = f
	return x
}

// send sends a datagram from the caller to the virtual address.
func (x *fixture) send(t testing.TB, payload string) {
	to := netip.AddrPortFrom(virtual.Addr(), localAddress(x.public[0]).Port())
	_, err := x.caller.WriteToUDPAddrPort([]byte(payload), to)
	require.NoError(t, err)
}

// received returns the next datagram that arrives at the agent.
func (x *fixture) received(t testing.TB) (framer.Header, string) {
	b := make([]byte, 2000)
	n, err := x.agent.Read(b)
	require.NoError(t, err)
	h, payload, err := testFramer.Decode(b[:n])
	require.NoError(t, err)
	return h, string(payload)
}

func encodeReply(h framer.Header, payload string) []byte {
	h.Type = framer.TypeReply
	b := append(make([]byte, framer.HeaderSize), payload...)
	testFramer.Encode(b, h, len(payload))
	return b
}

func (x *fixture) run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- x.Run(ctx) }()
	return ended
}

// Guards against datagrams that lose their addresses on the way, and against a receiver that a bad datagram or a failed
// send stops: valid datagrams follow invalid ones on the same sockets.
func TestGoodDatagramsFollowBadOnes(t *testing.T) {
	x := newFixture(t, 0)
	x.run(t.Context())
	x.send(t, "")
	x.send(t, "hello")
	h, payload := x.received(t)
	require.Equal(t, "hello", payload)
	require.Equal(t, cherviltide.FlowKey{Caller: localAddress(x.caller), Virtual: virtual}, h.Flow)
	unreachable := h
	unreachable.Flow.Caller = netip.MustParseAddrPort("127.0.0.1:0")
	for _, b := range [][]byte{{1}, make([]byte, 200), encodeReply(unreachable, "lost"), encodeReply(h, "answer")} {
		_, err := x.agent.WriteToUDPAddrPort(b, h.Entry)
		require.NoError(t, err)
	}
	b := make([]byte, 100)
	n, from, err := x.caller.ReadFromUDPAddrPort(b)
	require.NoError(t, err)
	require.Equal(t, "answer", string(b[:n]))
	require.Equal(t, virtual.Addr(), from.Addr().Unmap())
	require.EqualValues(t, 1, x.Counters.Dropped(ReasonEmpty))
	require.EqualValues(t, 1, x.Counters.Dropped(ReasonShort))
	require.EqualValues(t, 1, x.Counters.Dropped(ReasonVersion))
}

// Guards against a batch that ends at the first datagram that the operating system refuses to send.
func TestFlushSkipsFailedSends(t *testing.T) {
	x := newFixture(t, 0)
	out, err := newSender(x.internal)
	require.NoError(t, err)
	out.enqueue([]byte("refused"), netip.MustParseAddrPort("127.0.0.1:0"), netip.Addr{})
	out.enqueue([]byte("sent"), localAddress(x.agent), netip.Addr{})
	require.NoError(t, out.flush())
	require.Equal(t, [2]int{1, 1}, [2]int{out.sent, out.failed})
}

// Guards against forwarding callers' datagrams that are for no service, empty, too long or in a loop.
func TestDecideDropsByReason(t *testing.T) {
	view, internal := testView(netip.MustParseAddrPort("127.0.0.1:9")), netip.MustParseAddrPort("127.0.0.1:7")
	cases := map[string]struct {
		caller, virtual netip.AddrPort
		n               int
		want            Reason
	}{
		"other address":   {caller, netip.MustParseAddrPort("127.0.0.6:443"), 9, ReasonNoService},
		"other port":      {caller, netip.MustParseAddrPort("127.0.0.5:444"), 9, ReasonNoService},
		"empty":           {caller, virtual, 0, ReasonEmpty},
		"too long":        {caller, virtual, maxDatagram - framer.HeaderSize + 1, ReasonTooLong},
		"from the entry":  {internal, virtual, 9, ReasonLooped},
		"from a service":  {virtual, virtual, 9, ReasonLooped},
		"without port":    {netip.AddrPortFrom(caller.Addr(), 0), virtual, 9, ReasonLooped},
		"largest allowed": {caller, virtual, maxDatagram - framer.HeaderSize, -1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, reason, ok := decideNextHop(view, internal, cherviltide.FlowKey{Caller: c.caller, Virtual: c.virtual}, c.n)
			require.Equal(t, c.want < 0, ok)
			if !ok {
				require.Equal(t, c.want, reason)
			}
		})
	}
}

// Guards against sending callers datagrams of agents that are forged, malformed, over the hop limit or of another
// service.
func TestAcceptDropsByReason(t *testing.T) {
	view := testView(netip.MustParseAddrPort("127.0.0.1:9"))
	good := framer.Header{
		Service: cherviltide.ServiceIDOf(service), Flow: cherviltide.FlowKey{Caller: caller, Virtual: virtual},
	}
	with := func(change func(*framer.Header)) []byte { h := good; change(&h); return encodeReply(h, "x") }
	forged := encodeReply(good, "x")
	forged[framer.HeaderSize-1]++
	forward := good
	forward.Type = framer.TypeForward
	forwardDatagram := append(make([]byte, framer.HeaderSize), 'x')
	testFramer.Encode(forwardDatagram, forward, 1)
	cases := map[string]struct {
		datagram []byte
		want     Reason
	}{
		"short":         {make([]byte, framer.HeaderSize-1), ReasonShort},
		"other version": {make([]byte, framer.HeaderSize), ReasonVersion},
		"forged":        {forged, ReasonTag},
		"truncated":     {encodeReply(good, "xy")[:framer.HeaderSize+1], ReasonLength},
		"forward":       {forwardDatagram, ReasonType},
		"two flags":     {with(func(h *framer.Header) { h.Flags = framer.FlagProbe | framer.FlagReturned }), ReasonType},
		"looping":       {with(func(h *framer.Header) { h.Hops = framer.MaxHops + 1 }), ReasonLooped},
		"other service": {with(func(h *framer.Header) { h.Service++ }), ReasonWrongService},
		"other address": {with(func(h *framer.Header) { h.Flow.Virtual = caller }), ReasonNoService},
		"IPv6 caller":   {with(func(h *framer.Header) { h.Flow.Caller = netip.MustParseAddrPort("[::1]:1") }), ReasonAddress},
		"empty":         {encodeReply(good, ""), ReasonEmpty},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, _, reason, ok := acceptReply(view, testFramer, c.datagram)
			require.False(t, ok)
			require.Equal(t, c.want, reason)
		})
	}
}

// Guards against an entry that stops forwarding before the end of its grace period, and against one that never stops.
func TestRunGoesOnDuringGrace(t *testing.T) {
	x := newFixture(t, time.Hour)
	ctx, cancel := context.WithCancel(t.Context())
	ended := x.run(ctx)
	cancel()
	x.send(t, "late")
	_, payload := x.received(t)
	require.Equal(t, "late", payload)
	x.close()
	require.NoError(t, <-ended)
	y := newFixture(t, 0)
	ctx, cancel = context.WithCancel(t.Context())
	cancel()
	require.NoError(t, <-y.run(ctx))
}

// Guards against an idle entry that keeps reporting an old revision, and against reporting a revision that is not in
// use yet.
func TestIdleReceiversTakeUpTheCurrentRevision(t *testing.T) {
	x := newFixture(t, 0)
	x.run(t.Context())
	x.send(t, "first")
	x.received(t)
	require.EqualValues(t, 1, x.RevisionInForce())
	next := *x.view.Load()
	next.Rules.Revision = 2
	x.view.Store(&next)
	require.Eventually(t, func() bool { return x.RevisionInForce() == 2 }, time.Minute, time.Millisecond)
}
