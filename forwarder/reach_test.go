package forwarder

import (
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/follower"
	"cherviltide.example/cherviltide/framer"
)

// domainAgent is a socket that answers probes unless it is cut off, and passes on forwarded datagrams.
type domainAgent struct {
	conn      *net.UDPConn
	cut       atomic.Bool
	forwarded chan framer.Header
}

func newDomainAgent(t *testing.T, key [16]byte) *domainAgent {
	a := &domainAgent{conn: listenLoopback(t), forwarded: make(chan framer.Header, 4*batchSize)}
	done := make(chan struct{})
	t.Cleanup(func() { _ = a.conn.Close(); <-done })
	go func() {
		defer close(done)
		buffer := make([]byte, 2048)
		for {
			n, sender, err := a.conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			h, _, err := framer.New(key).Decode(buffer[:n])
			switch {
			case err != nil || a.cut.Load():
			case h.Type == framer.TypeReachProbe:
				h.Type = framer.TypeReachEcho
				framer.New(key).Encode(buffer[:framer.HeaderSize], h, 0)
				_, _ = a.conn.WriteToUDPAddrPort(buffer[:framer.HeaderSize], sender)
			case len(a.forwarded) < cap(a.forwarded):
				a.forwarded <- h
			}
		}
	}()
	return a
}

// viewOfDomains returns a view with one route to a service with an agent in each of the domains a and b.
func viewOfDomains(agents map[string]*domainAgent) *follower.View {
	var events []cherviltide.PositionedEvent
	for name, a := range agents {
		events = append(events, cherviltide.PositionedEvent{Position: uint64(len(events) + 1), Event: cherviltide.MemberEvent{
			Type: cherviltide.EventJoined, Member: cherviltide.Member{
				Name: "agent-" + name, Role: cherviltide.RoleAgent, Service: "s", Incarnation: 1, Weight: 1, FailureDomain: name,
				Address: localAddress(a.conn),
			},
		}})
	}
	return follower.NewView().WithRules(cherviltide.Rules{
		Revision: 1, Services: []cherviltide.Service{{Name: "s", ID: cherviltide.ServiceIDOf("s"), Buckets: 1}},
		Routes: []cherviltide.Route{{Name: "r", Address: relayFlow.Virtual, Shares: []cherviltide.Share{{Service: "s", Weight: 1}}}},
	}).WithEvents(events)
}

// runRelay runs an entry in a failure domain until the test ends, and returns it with a caller.
func runRelay(t *testing.T, view func() *follower.View, domain string) (*Relay, *net.UDPConn) {
	local := netip.MustParseAddrPort("127.0.0.1:0")
	relay, err := ListenRelay(RelayConfig{
		Public: local, Internal: local, Codec: textCodec{}, View: view, Log: zap.NewNop(), FailureDomain: domain,
	})
	require.NoError(t, err)
	runUntilEnd(t, relay.Run)
	caller, err := net.DialUDP("udp4", nil, relay.public.LocalAddr().(*net.UDPAddr))
	require.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	return relay, caller
}

// TestRelayAvoidsClosedDomain guards against new flows that an entry sends into a cut, later packets that reach neither the owner
// nor the agent that took the flow, and an owner that is avoided after the cut.
func TestRelayAvoidsClosedDomain(t *testing.T) {
	agents := map[string]*domainAgent{"a": newDomainAgent(t, [16]byte{}), "b": newDomainAgent(t, [16]byte{})}
	view := viewOfDomains(agents)
	owner, ok := view.Tables["s"].Pick(relayFlow)
	require.True(t, ok)
	other := map[string]string{"a": "b", "b": "a"}[owner.FailureDomain]
	relay, caller := runRelay(t, func() *follower.View { return view }, other)
	send := func(packet string) {
		_, err := caller.Write([]byte(packet))
		require.NoError(t, err)
	}
	receive := func(domain string) framer.Header {
		select {
		case h := <-agents[domain].forwarded:
			return h
		case <-time.After(10 * time.Second):
			require.Fail(t, "no datagram arrived", domain)
			return framer.Header{}
		}
	}
	send("\x01new")
	require.Zero(t, receive(owner.FailureDomain).Position)
	require.Eventually(t, func() bool { return relay.Reach.Counters.Echoes.Load() > 2 }, 10*time.Second, time.Millisecond)
	agents[owner.FailureDomain].cut.Store(true)
	require.Eventually(t, func() bool { return len(relay.Reach.Closed()) == 1 }, 10*time.Second, time.Millisecond)
	send("\x01new")
	require.Equal(t, framer.PositionOwnerClosed, receive(other).Position)
	agents[owner.FailureDomain].cut.Store(false)
	send("\x02data")
	require.Equal(t, framer.PositionOwnerClosed, receive(other).Position)
	receive(owner.FailureDomain)
	// A full batch of packets makes twice as many datagrams as the sender has room for.
	for range 2 * batchSize {
		send("\x02data")
	}
	for range 2 * batchSize {
		receive(other)
		receive(owner.FailureDomain)
	}
	require.Eventually(t, func() bool { return len(relay.Reach.Closed()) == 0 }, 10*time.Second, time.Millisecond)
	send("\x02data")
	require.Zero(t, receive(owner.FailureDomain).Position)
	require.Empty(t, agents[other].forwarded)
}

// TestRelayRetainsLostAgents guards against new flows that an entry sends into a cut because control has lost the agents of its own
// domain, and against an entry that goes on using lost agents after the cut or when they do not answer.
func TestRelayRetainsLostAgents(t *testing.T) {
	agents := map[string]*domainAgent{"a": newDomainAgent(t, [16]byte{}), "b": newDomainAgent(t, [16]byte{})}
	var view atomic.Pointer[follower.View]
	view.Store(viewOfDomains(agents))
	relay, caller := runRelay(t, view.Load, "a")
	// receives opens flows until one arrives in a domain and none in the other for a while.
	receives := func(domain, other string) {
		require.Eventually(t, func() bool {
			for len(agents[other].forwarded) > 0 {
				<-agents[other].forwarded
			}
			_, err := caller.Write([]byte("\x01new"))
			require.NoError(t, err)
			select {
			case <-agents[domain].forwarded:
				return len(agents[other].forwarded) == 0
			case <-time.After(20 * time.Millisecond):
				return false
			}
		}, 10*time.Second, time.Millisecond)
	}
	require.Eventually(t, func() bool {
		_, _ = caller.Write([]byte("\x02data"))
		return relay.Reach.Counters.Echoes.Load() > 2
	}, 10*time.Second, 10*time.Millisecond)
	agents["b"].cut.Store(true)
	require.Eventually(t, func() bool { return len(relay.Reach.Closed()) == 1 }, 10*time.Second, time.Millisecond)
	view.Store(view.Load().WithEvents([]cherviltide.PositionedEvent{{Position: 3, Event: cherviltide.MemberEvent{
		Type: cherviltide.EventDied, Member: cherviltide.Member{Name: "agent-a", Service: "s", Incarnation: 1},
	}}}))
	require.Eventually(t, func() bool { return relay.Reach.Retained() == 1 }, 10*time.Second, time.Millisecond)
	receives("a", "b")
	// The agents to probe are collected again each second.
	time.Sleep(1_200 * time.Millisecond)
	require.Equal(t, []string{"b"}, relay.Reach.Closed())
	receives("a", "b")
	agents["b"].cut.Store(false)
	require.Eventually(t, func() bool { return relay.Reach.Retained() == 0 }, 10*time.Second, time.Millisecond)
	receives("b", "a")
}
