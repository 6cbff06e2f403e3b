package tracker_test

import (
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/tracker"
)

var domains = []string{"z1", "z2", "z3"}

// evacuationMachine applies random orders, joins, deaths and definitions to the tracker of a process that applied the whole
// log, and to one that was restored from a snapshot of another process at any time.
type evacuationMachine struct {
	whole, restored *tracker.Tracker
	index           uint64
	// want has the evacuated domains with the operator of the first order.
	want map[string]string
	// members has the live members by name, and incarnations the newest incarnation of each name.
	members      map[string]cherviltide.Member
	incarnations map[string]uint64
}

func (m *evacuationMachine) apply(e cherviltide.MemberEvent) {
	entry, err := tracker.Encode(e)
	if err != nil {
		panic(err)
	}
	m.index++
	m.whole.Apply(m.index, entry)
	m.restored.Apply(m.index, entry)
}

func (m *evacuationMachine) Evacuate(t *rapid.T) {
	domain, operator := rapid.SampledFrom(domains).Draw(t, "domain"), fmt.Sprint("operator-", m.index)
	m.apply(cherviltide.MemberEvent{
		Type: cherviltide.EventEvacuated, Member: cherviltide.Member{FailureDomain: domain}, Operator: operator, Time: start,
	})
	if _, ok := m.want[domain]; !ok {
		m.want[domain] = operator
	}
}

func (m *evacuationMachine) Withdraw(t *rapid.T) {
	domain := rapid.SampledFrom(domains).Draw(t, "domain")
	m.apply(cherviltide.MemberEvent{Type: cherviltide.EventRestored, Member: cherviltide.Member{FailureDomain: domain}})
	delete(m.want, domain)
}

func (m *evacuationMachine) Join(t *rapid.T) {
	n := rapid.IntRange(0, 8).Draw(t, "member")
	x := agent(n)
	m.incarnations[x.Name]++
	x.Incarnation, x.Service, x.FailureDomain = m.incarnations[x.Name], []string{"desk", "chart"}[n%2], domains[n%3]
	m.members[x.Name] = x
	m.apply(cherviltide.MemberEvent{Type: cherviltide.EventJoined, Member: x})
}

func (m *evacuationMachine) ChangeMember(t *rapid.T) {
	if len(m.members) == 0 {
		return
	}
	x := m.members[rapid.SampledFrom(slices.Sorted(maps.Keys(m.members))).Draw(t, "member")]
	e := rapid.SampledFrom([]cherviltide.EventType{
		cherviltide.EventDied, cherviltide.EventSuspected, cherviltide.EventCleared, cherviltide.EventLeaving,
	}).Draw(t, "event")
	if e == cherviltide.EventDied {
		delete(m.members, x.Name)
	}
	m.apply(cherviltide.MemberEvent{Type: e, Member: x})
}

func (m *evacuationMachine) Define(t *rapid.T) {
	service := cherviltide.Member{Service: rapid.SampledFrom([]string{"desk", "chart"}).Draw(t, "service")}
	m.apply(cherviltide.MemberEvent{Type: cherviltide.EventDefined, Member: service, Buckets: rapid.IntRange(0, 2).Draw(t, "buckets") * 16})
}

func (m *evacuationMachine) Restore(t *rapid.T) {
	data, err := m.whole.Snapshot()
	require.NoError(t, err)
	require.NoError(t, m.restored.Restore(m.index, data))
}

func (m *evacuationMachine) Check(t *rapid.T) {
	wantDomains := slices.Sorted(maps.Keys(m.want))
	for name, x := range map[string]*tracker.Tracker{"whole log": m.whole, "restored": m.restored} {
		require.Len(t, x.Evacuations(), len(m.want), name)
		for _, e := range x.Evacuations() {
			require.Equal(t, m.want[e.FailureDomain], e.Operator, name)
		}
		for service, table := range x.Tables() {
			require.Equal(t, wantDomains, table.Evacuated(), "%s: %s", name, service)
			require.Equal(t, m.whole.Tables()[service].Digest(), table.Digest(), "%s: %s", name, service)
		}
		require.Len(t, x.Tables(), len(m.whole.Tables()), name)
	}
}

// TestEvacuationsInAnyOrder guards against processes with different tables after the same events, against an order that a
// snapshot, a new table or a repeated order loses or changes. TestNoOwnerInEvacuatedDomain of picker checks the owners.
func TestEvacuationsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &evacuationMachine{
			whole: tracker.New(), restored: tracker.New(), want: map[string]string{}, members: map[string]cherviltide.Member{},
			incarnations: map[string]uint64{},
		}
		m.apply(tracker.NewFoundedEvent(start))
		t.Repeat(rapid.StateMachineActions(m))
	})
}

// TestSnapshotWithoutEvacuations guards against control instances that cannot read the snapshots of the version before
// evacuations, and against followers of that version that cannot read tables although no domain is evacuated.
func TestSnapshotWithoutEvacuations(t *testing.T) {
	// Written by the version before evacuations.
	data, err := hex.DecodeString("a6634b6579503031323334353637383961626364656664426173651a0001000066477261766573a0665461626c657381a3644461746158" +
		"238801646465736b1a000100038188616101420000420000627a31601903e800f6f6f604674275636b657473046753657276696365646465736b67456e7472696573" +
		"81a265537461746566416374697665664d656d626572a601616102654167656e74030106627a3108646465736b091903e868506f736974696f6e1a00010003")
	require.NoError(t, err)
	x := tracker.New()
	require.NoError(t, x.Restore(3, data))
	require.Empty(t, x.Evacuations())
	require.Equal(t, []string{"z1"}, x.FailureDomains())
	again, err := x.Snapshot()
	require.NoError(t, err)
	require.Equal(t, data, again)
}

// TestTooManyEvacuations guards against a state that grows without a bound, and against an order about no domain.
func TestTooManyEvacuations(t *testing.T) {
	f := newFixture(0)
	for i := range tracker.MaxEvacuations + 10 {
		f.commit([]cherviltide.MemberEvent{{Type: cherviltide.EventEvacuated, Member: cherviltide.Member{FailureDomain: fmt.Sprint("z", i)}}})
	}
	f.commit([]cherviltide.MemberEvent{{Type: cherviltide.EventRestored, Member: cherviltide.Member{FailureDomain: "z0"}}})
	f.commit([]cherviltide.MemberEvent{{Type: cherviltide.EventEvacuated}})
	require.Len(t, f.tracker.Evacuations(), tracker.MaxEvacuations-1)
}

// init fixes the seed of the property tests; the -rapid.seed flag overrides it.
func init() {
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}
}
