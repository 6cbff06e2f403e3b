package picker

import (
	"errors"
	"flag"
	"fmt"
	"net/netip"

	"pgregory.net/rapid"

	"cherviltide.example/cherviltide"
)

const testBuckets = 64

var testDomains = []string{"howrah", "rajarhat", "salt-lake"}

func testService() cherviltide.Service {
	return cherviltide.Service{Name: "chart-store", ID: cherviltide.ServiceIDOf("chart-store"), Buckets: testBuckets}
}

func testMember(name int, incarnation uint64, weight uint32) cherviltide.Member {
	return cherviltide.Member{
		Name: fmt.Sprintf("agent-%02d", name), Role: cherviltide.RoleAgent, Incarnation: incarnation,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(name)}), 7000), Region: "south",
		FailureDomain: testDomains[name%len(testDomains)], Service: "chart-store", Weight: weight,
	}
}

func testKey(n int) cherviltide.FlowKey {
	return cherviltide.FlowKey{
		Caller:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), 4000),
		Virtual: netip.MustParseAddrPort("10.9.9.9:443"),
	}
}

// randomEvents draws a log of arbitrary member events, including repeated, late and invalid ones.
func randomEvents(t *rapid.T) []cherviltide.PositionedEvent {
	types := []cherviltide.EventType{
		cherviltide.EventJoined, cherviltide.EventJoined, cherviltide.EventWeighed, cherviltide.EventSuspected,
		cherviltide.EventCleared, cherviltide.EventLeaving, cherviltide.EventReleased, cherviltide.EventDied,
		cherviltide.EventEvacuated, cherviltide.EventRestored,
	}
	n := rapid.IntRange(0, 40).Draw(t, "events")
	list := make([]cherviltide.PositionedEvent, n)
	for i := range list {
		m := testMember(rapid.IntRange(1, 6).Draw(t, "name"), rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
			rapid.Uint32Range(0, 4000).Draw(t, "weight"))
		list[i] = cherviltide.PositionedEvent{Position: uint64(i + 1), Event: cherviltide.MemberEvent{
			Type: rapid.SampledFrom(types).Draw(t, "type"), Member: m,
			Generation: rapid.Uint64Range(0, uint64(i+1)).Draw(t, "generation"),
		}}
	}
	return list
}

func applyEvents(t *Table, list []cherviltide.PositionedEvent) *Table {
	for _, e := range list {
		t = t.WithEvent(e.Position, e.Event)
	}
	return t
}

// init fixes the seed of the property tests; the -rapid.seed flag overrides it.
func init() {
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}
}
