package claimer

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cherviltide.example/cherviltide"
)

const (
	seedCount = 2000
	testLease = cherviltide.Millis(5_000)
)

// keyAt returns a key that was issued at the given time.
func keyAt(issued cherviltide.Millis, number byte) Key {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(issued))
	id := uuid.UUID{6: 0x70, 8: 0x80, 15: number}
	copy(id[:6], b[2:])
	return Key{Customer: "c", Service: "s", ID: id}
}

func TestParseKey(t *testing.T) {
	issued := cherviltide.Millis(1_760_000_000_123)
	k, err := ParseKey("c", "s", keyAt(issued, 1).ID.String())
	require.NoError(t, err)
	require.Equal(t, issued, k.IssuedAt())
	for name, value := range map[string]string{
		"empty": "", "version 4": uuid.NewString(), "braces": "{" + k.ID.String() + "}", "urn": "urn:uuid:" + k.ID.String(),
	} {
		_, err := ParseKey("c", "s", value)
		require.Error(t, err, name)
	}
}

// TestStore guards against a key that is granted twice, against a stored response that is returned for another request,
// and against claims that accumulate without limit.
func TestStore(t *testing.T) {
	const now = cherviltide.Millis(1_000_000)
	authority := HomeAuthority{Since: 100_000, LeaseLeft: 3_000}
	key := keyAt(now, 1)
	claim := Claim{Key: key, Digest: Digest{1}, Run: "a", Until: 1_000}
	other := Claim{Key: key, Digest: Digest{1}, Run: "b", Until: 1_000}
	granted := Verdict{State: StateGranted, Attempt: 1, Left: 3_000}
	settle := func(run string, attempt uint32, e Ending) Settlement {
		return Settlement{Key: key, Run: run, Attempt: attempt, Ending: e, Answer: &Answer{Status: 200, Body: []byte("x")}}
	}
	cases := map[string]struct {
		at        cherviltide.Millis
		authority HomeAuthority
		settle    []Settlement
		claim     Claim
		want      Verdict
	}{
		"in progress":                {now, authority, nil, other, Verdict{State: StateInProgress}},
		"sent again":                 {now, authority, nil, claim, granted},
		"no lease":                   {now, HomeAuthority{Since: 100_000}, nil, other, refused(ReasonHomeLease)},
		"stored":                     {now, authority, []Settlement{settle("a", 1, EndingStored)}, other, Verdict{State: StateStored, Answer: &Answer{Status: 200, Body: []byte("x")}}},
		"other request":              {now, authority, []Settlement{settle("a", 1, EndingStored)}, Claim{Key: key, Digest: Digest{2}, Run: "b"}, refused(ReasonKeyReused)},
		"unknown":                    {now, authority, []Settlement{settle("a", 1, EndingUnknown)}, other, Verdict{State: StateUnknown}},
		"not run":                    {now, authority, []Settlement{settle("a", 1, EndingNotRun)}, other, Verdict{State: StateGranted, Attempt: 2, Left: 3_000}},
		"not run, sent again":        {now, authority, []Settlement{settle("a", 0, EndingNotRun)}, claim, refused(ReasonHomeSilent)},
		"settlement not current":     {now, authority, []Settlement{settle("z", 1, EndingNotRun), settle("a", 2, EndingNotRun)}, other, Verdict{State: StateInProgress}},
		"not run after stored":       {now, authority, []Settlement{settle("a", 1, EndingStored), settle("a", 1, EndingNotRun)}, other, Verdict{State: StateStored, Answer: &Answer{Status: 200, Body: []byte("x")}}},
		"no settlement in time":      {now + 4_001, authority, nil, other, Verdict{State: StateUnknown}},
		"key ahead":                  {now, authority, nil, Claim{Key: keyAt(now+MaxClockSkew+1, 2)}, refused(ReasonKeyAhead)},
		"key old":                    {now + KeyLifetime + 1, authority, nil, other, refused(ReasonKeyOld)},
		"key issued before takeover": {now, HomeAuthority{Since: now - MaxClockSkew + 1, LeaseLeft: 1}, nil, other, refused(ReasonKeyTakeover)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := NewStore()
			require.Equal(t, granted, s.Claim(now, authority, claim))
			for _, settlement := range c.settle {
				s.Settle(settlement)
			}
			require.Equal(t, c.want, s.Claim(c.at, c.authority, c.claim))
		})
	}
	s := NewStore()
	s.Claim(now, authority, claim)
	s.Claim(now+KeyLifetime+MaxClockSkew+1, authority, Claim{Key: keyAt(now+KeyLifetime, 3)})
	require.Equal(t, 1, s.Len(), "claims of expired keys are dropped")
}

// TestOlderKeysExpireFirst guards against expired claims that stay because a key with a newer timestamp was claimed before.
func TestOlderKeysExpireFirst(t *testing.T) {
	s, now := NewStore(), 2*KeyLifetime
	authority := HomeAuthority{LeaseLeft: 1_000}
	s.Claim(now, authority, Claim{Key: keyAt(now, 1)})
	s.Claim(now, authority, Claim{Key: keyAt(now-KeyLifetime, 2)})
	s.Claim(now, authority, Claim{Key: keyAt(now-KeyLifetime/2, 3)})
	require.Equal(t, 3, s.Len())
	now += MaxClockSkew + 1
	s.Claim(now, authority, Claim{Key: keyAt(now, 4)})
	require.Equal(t, 3, s.Len(), "the claim of the oldest key is dropped")
}

// simulation has agents whose views of the membership lag by up to a lease, and counts the executions of each key.
type simulation struct {
	now        cherviltide.Millis
	members    []cherviltide.Member
	agents     map[string]*agent
	executions map[Key]int
	// ignoreTakeover makes home agents grant keys that were issued before they took over.
	ignoreTakeover bool
	lastID         int
}

type agent struct {
	self     cherviltide.Member
	homes    *HomeHistory
	store    *Store
	lastSync cherviltide.Millis
}

// join adds an agent, or replaces it by a new incarnation.
func (s *simulation) join(name string) {
	s.lastID++
	a := &agent{self: cherviltide.Member{Name: name, Incarnation: uint64(s.lastID)}, homes: NewHomeHistory(testLease), store: NewStore()}
	s.members = slices.DeleteFunc(s.members, func(m cherviltide.Member) bool { return m.Name == name })
	s.members = append(s.members, a.self)
	s.agents[name] = a
	s.sync(a)
}

// sync gives an agent the current membership and renews its lease.
func (s *simulation) sync(a *agent) {
	a.lastSync = s.now
	a.homes.Update(s.now, s.members)
}

// claim sends a claim to the home agent in the executor's view, and executes the request when the claim is granted.
func (s *simulation) claim(executor *agent, c Claim, ending Ending) {
	home, ok := executor.homes.Home(c.Key)
	at := s.agents[home.Name]
	if !ok || at.self != home {
		return
	}
	since, isHome := at.homes.SoleHomeSince(c.Key, at.self)
	if !isHome {
		return
	}
	if s.ignoreTakeover {
		since = 0
	}
	v := at.store.Claim(s.now, HomeAuthority{Since: since, LeaseLeft: at.lastSync + testLease - s.now}, c)
	if v.State != StateGranted {
		return
	}
	if ending != EndingNotRun {
		s.executions[c.Key]++
	}
	if ending != "" {
		at.store.Settle(Settlement{Key: c.Key, Run: c.Run, Attempt: v.Attempt, Ending: ending})
	}
}

// simulate claims a few keys repeatedly while agents join, restart, leave and miss membership updates.
func simulate(t *rapid.T, ignoreTakeover bool) *simulation {
	s := &simulation{now: 1_000_000, agents: map[string]*agent{}, executions: map[Key]int{}, ignoreTakeover: ignoreTakeover}
	names := []string{"a", "b", "c", "d"}
	s.join("a")
	s.join("b")
	s.now += testLease + MaxClockSkew
	var keys []Key
	drawAgent := func() *agent {
		a, ok := s.agents[rapid.SampledFrom(names).Draw(t, "agent")]
		if !ok {
			return s.agents["a"]
		}
		return a
	}
	for range rapid.IntRange(20, 80).Draw(t, "steps") {
		s.now += cherviltide.Millis(rapid.IntRange(0, 2_500).Draw(t, "ms"))
		switch rapid.IntRange(0, 9).Draw(t, "event") {
		case 0:
			s.join(rapid.SampledFrom(names).Draw(t, "joins"))
		case 1:
			name := rapid.SampledFrom(names[1:]).Draw(t, "leaves")
			s.members = slices.DeleteFunc(s.members, func(m cherviltide.Member) bool { return m.Name == name })
		case 2, 3, 4:
			s.sync(drawAgent())
		case 5:
			skew := cherviltide.Millis(rapid.IntRange(-int(MaxClockSkew), int(MaxClockSkew)).Draw(t, "skew"))
			keys = append(keys, keyAt(s.now+skew, byte(len(keys))))
		default:
			if len(keys) > 0 {
				key := rapid.SampledFrom(keys).Draw(t, "key")
				ending := rapid.SampledFrom([]Ending{EndingNotRun, EndingStored, EndingUnknown, ""}).Draw(t, "end")
				s.lastID++
				s.claim(drawAgent(), Claim{Key: key, Run: fmt.Sprint(s.lastID), Until: 1_000}, ending)
			}
		}
	}
	return s
}

// TestKeyRunsAtMostOnce guards against a key that is executed twice while its home moves between agents whose views of
// the membership lag.
func TestKeyRunsAtMostOnce(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) *simulation { return simulate(t, false) })
	executed := 0
	for seed := range seedCount {
		for key, n := range draw.Example(seed).executions {
			require.LessOrEqual(t, n, 1, "seed %d, key %s", seed, key.ID)
			executed++
		}
	}
	t.Logf("%d keys were executed once", executed)
	require.Positive(t, executed)
}

// TestKeyRunsTwiceWithoutTakeoverCheck shows that TestKeyRunsAtMostOnce detects a home agent that grants keys issued
// before its takeover.
func TestKeyRunsTwiceWithoutTakeoverCheck(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) *simulation { return simulate(t, true) })
	duplicates := 0
	for seed := range seedCount {
		for _, n := range draw.Example(seed).executions {
			if n > 1 {
				duplicates++
			}
		}
	}
	t.Logf("%d keys were executed more than once", duplicates)
	require.Positive(t, duplicates)
}
