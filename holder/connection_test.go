package holder

import (
	"encoding/binary"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/framer"
	"cherviltide.example/cherviltide/picker"
)

// datagramOf returns a short-header datagram whose connection ID has a tag.
func datagramOf(tag uint32) []byte {
	b := make([]byte, quicShortID+ConnectionIDLength+16)
	b[0] = 0x40
	binary.BigEndian.PutUint32(b[quicShortID:], tag)
	return b
}

// initialOf returns an Initial datagram with a connection ID that the caller chose.
func initialOf(length int) []byte {
	b := make([]byte, 1200)
	b[0], b[4], b[quicVersionEnd] = 0xc0, 1, byte(length)
	return b
}

func agentTable(t *testing.T, names ...string) (*picker.Table, map[string]cherviltide.Member) {
	t.Helper()
	table := picker.New(cherviltide.Service{Name: "desk", Buckets: 16, Connections: 10})
	members := map[string]cherviltide.Member{}
	for i, name := range names {
		m := cherviltide.Member{
			Name: name, Role: cherviltide.RoleAgent, Incarnation: 1, Service: "desk", Weight: 1000,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000),
		}
		members[name] = m
		table = table.WithEvent(uint64(i+1), cherviltide.MemberEvent{Type: cherviltide.EventJoined, Member: m})
	}
	return table, members
}

// Guards against datagrams of a connection that reach the agent of another connection with the same flow key. Without the
// connection ID, the holder of the flow key takes them all: the case "other agent, held here" is then delivered here.
func TestConnectionIDNamesTheAgent(t *testing.T) {
	table, members := agentTable(t, "desk-1", "desk-2", "desk-3")
	self := members["desk-1"]
	table = table.WithEvent(9, cherviltide.MemberEvent{Type: cherviltide.EventDied, Member: members["desk-3"]})
	cases := map[string]struct {
		tag   uint32
		held  bool
		full  bool
		flags framer.Flags
		known bool
		want  Decision
	}{
		"this agent, held":          {picker.TagOf("desk-1"), true, false, 0, true, Decision{Action: ActionDeliver}},
		"this agent, new address":   {picker.TagOf("desk-1"), false, false, 0, true, Decision{Action: ActionOpen}},
		"this agent, full":          {picker.TagOf("desk-1"), false, true, 0, true, Decision{Action: ActionRefuse}},
		"other agent, held here":    {picker.TagOf("desk-2"), true, false, 0, true, Decision{Action: ActionForward, To: members["desk-2"].Address, Flags: framer.FlagTagged}},
		"other agent, passed twice": {picker.TagOf("desk-2"), true, false, framer.FlagTagged, true, Decision{Action: ActionDrop}},
		"dead agent":                {picker.TagOf("desk-3"), false, false, 0, true, Decision{Action: ActionReset}},
		"unknown agent":             {picker.TagOf("chart-1"), true, false, 0, false, Decision{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tag, ok := tagOf(datagramOf(c.tag))
			require.True(t, ok)
			step, known := decideTagged(DecisionInput{Self: self, Table: table, Held: c.held, Full: c.full, Header: framer.Header{Flags: c.flags}}, tag)
			require.Equal(t, c.known, known)
			if known {
				require.Equal(t, c.want, step)
			}
		})
	}
}

// Guards against a caller's new connection that a leaving agent takes because it holds the flow of the old one. With
// refusing off, the same datagram is delivered.
func TestLeavingAgentRefusesNewConnections(t *testing.T) {
	table, members := agentTable(t, "desk-1", "desk-2")
	for name, refusing := range map[string]bool{"leaving": true, "mechanism off": false} {
		t.Run(name, func(t *testing.T) {
			h := &Holder{config: Config{Self: members["desk-1"]}}
			if refusing {
				h.RefuseNewConnections()
			}
			s := DecisionInput{
				Self: members["desk-1"], Table: table, Held: true, CanOpen: true, Sender: members["desk-2"].Address,
				Header: framer.Header{Flags: framer.FlagProbe, Position: 1, Generation: table.Generation()},
			}
			require.Equal(t, refusing, h.decide(s, initialOf(8)).Action == ActionReturn)
		})
	}
}

// Guards against a panic or a wrong tag on datagrams that are too short for a connection ID.
func TestTagOfShortDatagrams(t *testing.T) {
	cases := map[string][]byte{
		"empty":             {},
		"short header":      make([]byte, ConnectionIDLength),
		"long header":       {0xc0, 0, 0, 0, 1},
		"other ID length":   initialOf(8),
		"cut connection ID": initialOf(ConnectionIDLength)[:quicLongID+ConnectionIDLength-1],
	}
	for name, datagram := range cases {
		t.Run(name, func(t *testing.T) {
			_, ok := tagOf(datagram)
			require.False(t, ok)
		})
	}
}
