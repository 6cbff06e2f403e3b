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

// shortHeaderDatagram returns a short-header datagram whose connection ID starts with a tag.
func shortHeaderDatagram(tag uint32) []byte {
	b := make([]byte, shortHeaderIDOffset+ConnectionIDLength+16)
	b[0] = 0x40
	binary.BigEndian.PutUint32(b[shortHeaderIDOffset:], tag)
	return b
}

// initialDatagram returns an Initial datagram with a connection ID of the given length that the caller chose.
func initialDatagram(length int) []byte {
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

// TestConnectionIDNamesTheAgent guards against datagrams of a connection that reach the agent of another connection with
// the same flow key. If only the flow key decided, its holder would get them all, and the case "other agent, held here"
// would be delivered here.
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
		"this agent, held":             {picker.TagOf("desk-1"), true, false, 0, true, Decision{Action: ActionDeliver}},
		"this agent, new address":      {picker.TagOf("desk-1"), false, false, 0, true, Decision{Action: ActionOpen}},
		"this agent, full":             {picker.TagOf("desk-1"), false, true, 0, true, Decision{Action: ActionRefuse}},
		"other agent, held here":       {picker.TagOf("desk-2"), true, false, 0, true, Decision{Action: ActionForward, To: members["desk-2"].Address, Flags: framer.FlagTagged}},
		"other agent, forwarded twice": {picker.TagOf("desk-2"), true, false, framer.FlagTagged, true, Decision{Action: ActionDrop}},
		"dead agent":                   {picker.TagOf("desk-3"), false, false, 0, true, Decision{Action: ActionReset}},
		"unknown agent":                {picker.TagOf("chart-1"), true, false, 0, false, Decision{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tag, ok := connectionTag(shortHeaderDatagram(c.tag))
			require.True(t, ok)
			decision, known := decideByTag(DecisionInput{Self: self, Table: table, Held: c.held, Full: c.full, Header: framer.Header{Flags: c.flags}}, tag)
			require.Equal(t, c.known, known)
			if known {
				require.Equal(t, c.want, decision)
			}
		})
	}
}

// TestLeavingAgentRefusesNewConnections guards against an agent that leaves, or whose failure domain is evacuated, and accepts a
// caller's new connection because it holds the flow of the old one. Without RefuseNewConnections and in another domain, the
// same datagram is delivered.
func TestLeavingAgentRefusesNewConnections(t *testing.T) {
	table, members := agentTable(t, "desk-1", "desk-2")
	table = table.WithEvent(9, cherviltide.MemberEvent{Type: cherviltide.EventEvacuated, Member: cherviltide.Member{FailureDomain: "z1"}})
	for name, test := range map[string]struct {
		leaving  bool
		domain   string
		refusing bool
	}{
		"leaving": {true, "", true}, "evacuated": {false, "z1", true}, "other domain": {false, "z2", false}, "mechanism off": {false, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			h, refusing, self := &Holder{config: Config{Self: members["desk-1"]}}, test.refusing, members["desk-1"]
			self.FailureDomain = test.domain
			if test.leaving {
				h.RefuseNewConnections()
			}
			in := DecisionInput{
				Self: self, Table: table, Held: true, CanOpen: true, Sender: members["desk-2"].Address,
				Header: framer.Header{Flags: framer.FlagProbe, Position: 1, Generation: table.Generation()},
			}
			require.Equal(t, refusing, h.decide(in, initialDatagram(8)).Action == ActionReturn)
		})
	}
}

// TestConnectionTagOfShortDatagrams guards against a panic or a wrong tag for datagrams that are too short for a
// connection ID.
func TestConnectionTagOfShortDatagrams(t *testing.T) {
	cases := map[string][]byte{
		"empty":                   {},
		"short header":            make([]byte, ConnectionIDLength),
		"long header":             {0xc0, 0, 0, 0, 1},
		"other ID length":         initialDatagram(8),
		"truncated connection ID": initialDatagram(ConnectionIDLength)[:longHeaderIDOffset+ConnectionIDLength-1],
	}
	for name, datagram := range cases {
		t.Run(name, func(t *testing.T) {
			_, ok := connectionTag(datagram)
			require.False(t, ok)
		})
	}
}
