package pinger

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/follower"
	"cherviltide.example/cherviltide/framer"
)

// viewOf returns a view with n agents in each of the failure domains a and b.
func viewOf(n int) *follower.View {
	var events []cherviltide.PositionedEvent
	for i := range 2 * n {
		events = append(events, cherviltide.PositionedEvent{Position: uint64(i + 1), Event: cherviltide.MemberEvent{
			Type: cherviltide.EventJoined, Member: cherviltide.Member{
				Name: fmt.Sprint("agent-", i), Role: cherviltide.RoleAgent, Service: "s", Incarnation: 1, Weight: 1,
				FailureDomain: []string{"a", "b"}[i%2], Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000),
			},
		}})
	}
	return follower.NewView().WithRules(cherviltide.Rules{
		Revision: 1, Services: []cherviltide.Service{{Name: "s", ID: cherviltide.ServiceIDOf("s"), Buckets: 64}},
	}).WithEvents(events)
}

// TestProbesAndEchoes guards against probes to the process itself, a sample of agents that grows with the service or is the same
// for all processes, probes that no one answers, and echoes that do not count.
func TestProbesAndEchoes(t *testing.T) {
	const agents = 100
	view := viewOf(agents)
	probed := map[netip.AddrPort]map[netip.AddrPort]bool{}
	for i := range 2 {
		self := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
		probed[self] = map[netip.AddrPort]bool{}
		var p *Pinger
		other := New(Config{FailureDomain: "b", Self: netip.MustParseAddrPort("10.9.9.9:1"), Log: zap.NewNop(), Send: func(b []byte, to netip.AddrPort) {
			h, payload, err := framer.New(view.Key).Decode(b)
			require.NoError(t, err)
			require.Equal(t, self, to)
			require.True(t, p.Handle(view, h, payload, to))
		}})
		p = New(Config{
			FailureDomain: "a", Self: self, Limits: EntryLimits, View: func() *follower.View { return view }, Log: zap.NewNop(),
			Send: func(b []byte, to netip.AddrPort) {
				h, payload, err := framer.New(view.Key).Decode(b)
				require.NoError(t, err)
				probed[self][to] = true
				require.True(t, other.Handle(view, h, payload, self))
			},
		})
		for range 200 {
			p.Suspect("b")
			p.tick()
		}
		require.Equal(t, p.Counters.Probes.Load(), p.Counters.Echoes.Load())
		require.Equal(t, p.Counters.Probes.Load(), other.Counters.Answered.Load())
		require.Len(t, probed[self], sampleSize)
		require.NotContains(t, probed[self], self)
		require.Empty(t, p.Closed())
		require.False(t, p.Handle(view, framer.Header{Type: framer.TypeForward}, nil, self))
	}
	require.NotEqual(t, probed[netip.MustParseAddrPort("10.0.0.0:7000")], probed[netip.MustParseAddrPort("10.0.0.1:7000")])
}

// TestNoFailureDomain guards against a panic in a process without a failure domain, which probes nothing.
func TestNoFailureDomain(t *testing.T) {
	p := New(Config{})
	require.Nil(t, p)
	p.MarkTraffic()
	p.Suspect("a")
	require.Empty(t, p.Closed())
	require.Empty(t, p.Domains())
	require.True(t, p.Handle(follower.NewView(), framer.Header{Type: framer.TypeReachProbe}, nil, netip.AddrPort{}))
}

// TestShortForms guards against short probes to agents of earlier versions, which drop them, also after an agent has gone back to
// one, short echoes to earlier versions, and full headers between processes that know the short one.
func TestShortForms(t *testing.T) {
	view, agent := viewOf(1), netip.MustParseAddrPort("10.0.0.1:7000")
	key := framer.New(view.Key)
	var sent [][]byte
	p := New(Config{
		FailureDomain: "a", Self: netip.MustParseAddrPort("10.0.0.0:7000"), Limits: EntryLimits, Log: zap.NewNop(),
		View: func() *follower.View { return view }, Send: func(b []byte, _ netip.AddrPort) { sent = append(sent, b) },
	})
	// probe makes a probe due and reports whether it has the short header.
	probe := func() (framer.Header, bool) {
		sent = nil
		for len(sent) == 0 {
			p.Suspect("b")
			p.tick()
		}
		h, payload, err := key.Decode(sent[0])
		require.NoError(t, err)
		require.Equal(t, "a", string(payload))
		return h, len(sent[0]) < framer.HeaderSize
	}
	echo := func(h framer.Header, position uint8) {
		p.Handle(view, framer.Header{Type: framer.TypeReachEcho, Generation: h.Generation, Position: position}, nil, agent)
	}
	for i, step := range []struct {
		short, answered bool
		position        uint8
	}{
		{false, true, 0}, {false, true, framer.PositionShortReach}, {true, true, framer.PositionShortReach}, {true, false, 0},
		{false, true, 0}, {false, true, framer.PositionShortReach}, {true, true, framer.PositionShortReach},
	} {
		h, short := probe()
		require.Equal(t, step.short, short, i)
		require.Equal(t, framer.PositionShortReach, h.Position)
		if step.answered {
			echo(h, step.position)
		}
	}
	for position, size := range map[uint8]int{0: framer.HeaderSize, framer.PositionShortReach: framer.ReachHeaderSize} {
		sent = nil
		p.Handle(view, framer.Header{Type: framer.TypeReachProbe, Position: position}, []byte("b"), agent)
		require.Len(t, sent[0], size)
	}
}
