package forwarder

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/clock"
	"cherviltide.example/cherviltide/framer"
	"cherviltide.example/cherviltide/shaper"
)

// linkCodec decodes packets whose first byte has their flags, and whose second byte has the caller's port.
type linkCodec struct{ textCodec }

func (linkCodec) Decode(b []byte) (cherviltide.Packet, error) {
	return cherviltide.Packet{
		Source: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(b[1])), Destination: relayFlow.Virtual,
		Flags: cherviltide.PacketFlags(b[0]), Length: len(b) - 2,
	}, nil
}

func (linkCodec) AppendReset(b []byte, flow cherviltide.FlowKey, sequence uint32) []byte {
	return append(b, byte(flow.Caller.Port()), byte(sequence))
}

// newLinkFixture returns a relay whose link has a place for one upload, and whose route has the given class. The link reads a clock
// that only the test advances.
func newLinkFixture(t testing.TB, class cherviltide.Class) (*relayFixture, *clock.Manual) {
	x := newRelayFixture(t)
	x.relay.config.Codec = linkCodec{}
	x.relay.config.CallerPort = uint16(x.caller.LocalAddr().(*net.UDPAddr).Port)
	x.relay.config.Link = shaper.Config{Rate: 200_000, MaxPayload: 1_200, OpeningTimeout: 1_400}
	x.relay.link = newLink(x.relay)
	now := clock.NewManual(1)
	x.relay.link.clock = now
	x.setRules(1, "a")
	rules := x.view.Rules.WithRevision(2)
	rules.Routes = []cherviltide.Route{rules.Routes[0]}
	rules.Routes[0].Class = class
	x.view = x.view.WithRules(rules)
	return x, now
}

// runUntilEnd calls run, which must return no error when the test ends.
func runUntilEnd(t testing.TB, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- run(ctx) }()
	t.Cleanup(func() { cancel(); require.NoError(t, <-ended) })
}

// requireNothingReceived fails if a datagram has arrived at the agent of a service.
func (x *relayFixture) requireNothingReceived(service string) {
	x.t.Helper()
	require.NoError(x.t, x.agents[service].SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	_, err := x.agents[service].Read(make([]byte, 2048))
	require.True(x.t, isTimeout(err))
}

// TestLinkReleasesOpenings guards against uploads beyond the places of the link, against a waiting opening packet that is
// forwarded twice or never, and against admission control of packets of open flows.
func TestLinkReleasesOpenings(t *testing.T) {
	x, _ := newLinkFixture(t, cherviltide.ClassUpload)
	runUntilEnd(t, x.relay.link.run)
	x.send("\x01\x01")
	_, payload := x.receivedBy("a")
	require.Equal(t, "\x01\x01", payload)
	x.send("\x01\x02")
	x.send("\x01\x02")
	x.requireNothingReceived("a")
	x.send("\x02\x03data of a flow that is open")
	x.requireSent("a", 3)
	x.send("\x08\x01")
	_, first := x.receivedBy("a")
	_, second := x.receivedBy("a")
	require.ElementsMatch(t, []string{"\x08\x01", "\x01\x02"}, []string{first, second})
	x.requireNothingReceived("a")
	require.EqualValues(t, 2, x.relay.LinkCounters.Admitted.Load())
	require.EqualValues(t, 1, x.relay.LinkCounters.Absorbed.Load())
}

// TestLinkRefuses guards against callers that wait for a time-out instead of a reset, and against a reset that an open flow
// takes for its own.
func TestLinkRefuses(t *testing.T) {
	x, _ := newLinkFixture(t, cherviltide.ClassUpload)
	for port := byte(1); x.relay.LinkCounters.Refused.Load() == 0; port++ {
		x.send(string([]byte{byte(cherviltide.PacketOpen), port}))
	}
	require.NoError(t, x.caller.SetReadDeadline(time.Now().Add(10*time.Second)))
	reset := make([]byte, 10)
	n, err := x.caller.Read(reset)
	require.NoError(t, err)
	require.Equal(t, []byte{byte(x.relay.LinkCounters.Waited.Load() + 2), 0}, reset[:n])
}

// TestLinkIgnoresOtherRoutes guards against admission control of small requests, and of uploads without a known rate.
func TestLinkIgnoresOtherRoutes(t *testing.T) {
	for name, class := range map[string]cherviltide.Class{"normal": cherviltide.ClassNormal, "without a rate": cherviltide.ClassUpload} {
		t.Run(name, func(t *testing.T) {
			x, now := newLinkFixture(t, class)
			if class == cherviltide.ClassUpload {
				x.relay.config.Link.Rate = 0
				x.relay.link = newLink(x.relay)
			} else {
				runUntilEnd(t, x.relay.link.run)
			}
			for port := byte(1); port < 100; port++ {
				// The link carries 200 bytes, which is more than a packet has.
				now.Advance(1)
				x.send(string([]byte{byte(cherviltide.PacketOpen), port}))
				x.requireSent("a", port)
			}
		})
	}
}

// TestLinkPacesDepartures guards against packets that are lost, sent twice or sent faster than the rate when the link is busy, and
// against small packets behind the data of uploads. The link carries 200 bytes/ms and has a backlog of at most 5 ms; the datagrams
// have 1,328 bytes and 128 bytes with their headers.
func TestLinkPacesDepartures(t *testing.T) {
	x, now := newLinkFixture(t, cherviltide.ClassUpload)
	for i := range byte(5) {
		x.send("\x02" + string([]byte{10 + i}) + strings.Repeat("x", 1_200))
	}
	x.send("\x02\x01")
	x.requireSent("a", 10)
	x.requireNothingReceived("a")
	runUntilEnd(t, x.relay.link.run)
	for _, departure := range []struct {
		after cherviltide.Millis
		port  byte
	}{{2, 1}, {1, 11}, {6, 12}, {7, 13}, {7, 14}} {
		now.Advance(departure.after - 1)
		x.requireNothingReceived("a")
		now.Advance(1)
		x.requireSent("a", departure.port)
	}
	now.Advance(1_000)
	x.requireNothingReceived("a")
}

// requireSent checks the callers' ports of the next packets that arrive at the agent of a service.
func (x *relayFixture) requireSent(service string, ports ...byte) {
	x.t.Helper()
	for _, port := range ports {
		_, payload := x.receivedBy(service)
		require.Equal(x.t, port, payload[1])
	}
}

// BenchmarkLinkAccept measures the decision about a packet of an idle link.
func BenchmarkLinkAccept(b *testing.B) {
	for name, class := range map[string]cherviltide.Class{"small": cherviltide.ClassNormal, "upload": cherviltide.ClassUpload} {
		b.Run(name, func(b *testing.B) {
			x, _ := newLinkFixture(b, class)
			x.relay.config.Link.Rate = 1 << 40
			x.relay.link = newLink(x.relay)
			route := x.view.Routes[relayFlow.Virtual]
			datagram := make([]byte, 1_300)
			packet := cherviltide.Packet{Source: relayFlow.Caller, Destination: relayFlow.Virtual, Flags: cherviltide.PacketAck, Length: 1_200}
			decide := func() {
				if !x.relay.link.accept(x.view, relayFlow, packet, datagram) || !x.relay.link.depart(route, relayFlow, datagram, datagram[framer.HeaderSize:], relayFlow.Caller) {
					b.Fatal("the packet does not leave at once")
				}
			}
			require.Zero(b, testing.AllocsPerRun(100, decide))
			for i := 0; b.Loop(); i++ {
				if i%batchSize == 0 {
					x.relay.link.receive()
				}
				decide()
			}
		})
	}
}
