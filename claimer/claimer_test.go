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
	seeds     = 2000
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
	require.Equal(t, issued, k.Issued())
	for name, value := range map[string]string{
		"empty": "", "version 4": uuid.NewString(), "braces": "{" + k.ID.String() + "}", "urn": "urn:uuid:" + k.ID.String(),
	} {
		_, err := ParseKey("c", "s", value)
		require.Error(t, err, name)
	}
}

// Guards against a key that runs twice, an answer that leaks to another request, and unbounded claims.
func TestLedger(t *testing.T) {
	const now = cherviltide.Millis(1_000_000)
	tenure := HomeAuthority{Since: 100_000, LeaseLeft: 3_000}
	key := keyAt(now, 1)
	claim := Claim{Key: key, Digest: Digest{1}, Run: "a", Until: 1_000}
	other := Claim{Key: key, Digest: Digest{1}, Run: "b", Until: 1_000}
	granted := Verdict{State: StateGranted, Attempt: 1, Left: 3_000}
	settle := func(run string, attempt uint32, e Ending) Settlement {
		return Settlement{Key: key, Run: run, Attempt: attempt, Ending: e, Answer: &Answer{Status: 200, Body: []byte("x")}}
	}
	cases := map[string]struct {
		at     cherviltide.Millis
		tenure HomeAuthority
		settle []Settlement
		claim  Claim
		want   Verdict
	}{
		"in progress":         {now, tenure, nil, other, Verdict{State: StateInProgress}},
		"sent again":          {now, tenure, nil, claim, granted},
		"no lease":            {now, HomeAuthority{Since: 100_000}, nil, other, refused(ReasonLease)},
		"stored":              {now, tenure, []Settlement{settle("a", 1, EndingStored)}, other, Verdict{State: StateStored, Answer: &Answer{Status: 200, Body: []byte("x")}}},
		"other request":       {now, tenure, []Settlement{settle("a", 1, EndingStored)}, Claim{Key: key, Digest: Digest{2}, Run: "b"}, refused(ReasonReused)},
		"unknown":             {now, tenure, []Settlement{settle("a", 1, EndingUnknown)}, other, Verdict{State: StateUnknown}},
		"not run":             {now, tenure, []Settlement{settle("a", 1, EndingNotRun)}, other, Verdict{State: StateGranted, Attempt: 2, Left: 3_000}},
		"not run, sent again": {now, tenure, []Settlement{settle("a", 0, EndingNotRun)}, claim, refused(ReasonHomeSilent)},
		"late settlement":     {now, tenure, []Settlement{settle("z", 1, EndingNotRun), settle("a", 2, EndingNotRun)}, other, Verdict{State: StateInProgress}},
		"not run after all":   {now, tenure, []Settlement{settle("a", 1, EndingStored), settle("a", 1, EndingNotRun)}, other, Verdict{State: StateStored, Answer: &Answer{Status: 200, Body: []byte("x")}}},
		"executor is gone":    {now + 4_001, tenure, nil, other, Verdict{State: StateUnknown}},
		"key ahead":           {now, tenure, nil, Claim{Key: keyAt(now+MaxClockSkew+1, 2)}, refused(ReasonAhead)},
		"key old":             {now + KeyLife + 1, tenure, nil, other, refused(ReasonOld)},
		"key before takeover": {now, HomeAuthority{Since: now - MaxClockSkew + 1, LeaseLeft: 1}, nil, other, refused(ReasonTakeover)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := NewStore()
			require.Equal(t, granted, l.Claim(now, tenure, claim))
			for _, s := range c.settle {
				l.Settle(s)
			}
			require.Equal(t, c.want, l.Claim(c.at, c.tenure, c.claim))
		})
	}
	l := NewStore()
	l.Claim(now, tenure, claim)
	l.Claim(now+KeyLife+MaxClockSkew+1, tenure, Claim{Key: keyAt(now+KeyLife, 3)})
	require.Equal(t, 1, l.Len(), "claims that no key can reach are dropped")
}

// world has agents with views of the membership that are up to a lease old, and counts the runs of each key.
type world struct {
	now    cherviltide.Millis
	set    []cherviltide.Member
	agents map[string]*member
	runs   map[Key]int
	// free disables the refusal of keys from before a takeover.
	free bool
	next int
}

type member struct {
	self   cherviltide.Member
	homes  *HomeHistory
	ledger *Store
	synced cherviltide.Millis
}

func (w *world) join(name string) {
	w.next++
	m := &member{self: cherviltide.Member{Name: name, Incarnation: uint64(w.next)}, homes: NewHomeHistory(testLease), ledger: NewStore()}
	w.set = slices.DeleteFunc(w.set, func(x cherviltide.Member) bool { return x.Name == name })
	w.set = append(w.set, m.self)
	w.agents[name] = m
	w.sync(m)
}

func (w *world) sync(m *member) {
	m.synced = w.now
	m.homes.Update(w.now, w.set)
}

// claim lets the home that the executor sees decide, and runs the request when it is granted.
func (w *world) claim(executor *member, c Claim, end Ending) {
	home, ok := executor.homes.Home(c.Key)
	at := w.agents[home.Name]
	if !ok || at.self != home {
		return
	}
	since, is := at.homes.SoleHomeSince(c.Key, at.self)
	if !is {
		return
	}
	if w.free {
		since = 0
	}
	v := at.ledger.Claim(w.now, HomeAuthority{Since: since, LeaseLeft: at.synced + testLease - w.now}, c)
	if v.State != StateGranted {
		return
	}
	if end != EndingNotRun {
		w.runs[c.Key]++
	}
	if end != "" {
		at.ledger.Settle(Settlement{Key: c.Key, Run: c.Run, Attempt: v.Attempt, Ending: end})
	}
}

// drive claims a few keys again and again while agents join, restart, leave and lag.
func drive(t *rapid.T, free bool) *world {
	w := &world{now: 1_000_000, agents: map[string]*member{}, runs: map[Key]int{}, free: free}
	names := []string{"a", "b", "c", "d"}
	w.join("a")
	w.join("b")
	w.now += testLease + MaxClockSkew
	var keys []Key
	pick := func() *member {
		m, ok := w.agents[rapid.SampledFrom(names).Draw(t, "agent")]
		if !ok {
			return w.agents["a"]
		}
		return m
	}
	for range rapid.IntRange(20, 80).Draw(t, "steps") {
		w.now += cherviltide.Millis(rapid.IntRange(0, 2_500).Draw(t, "ms"))
		switch rapid.IntRange(0, 9).Draw(t, "event") {
		case 0:
			w.join(rapid.SampledFrom(names).Draw(t, "joins"))
		case 1:
			name := rapid.SampledFrom(names[1:]).Draw(t, "leaves")
			w.set = slices.DeleteFunc(w.set, func(x cherviltide.Member) bool { return x.Name == name })
		case 2, 3, 4:
			w.sync(pick())
		case 5:
			skew := cherviltide.Millis(rapid.IntRange(-int(MaxClockSkew), int(MaxClockSkew)).Draw(t, "skew"))
			keys = append(keys, keyAt(w.now+skew, byte(len(keys))))
		default:
			if len(keys) > 0 {
				key := rapid.SampledFrom(keys).Draw(t, "key")
				end := rapid.SampledFrom([]Ending{EndingNotRun, EndingStored, EndingUnknown, ""}).Draw(t, "end")
				w.next++
				w.claim(pick(), Claim{Key: key, Run: fmt.Sprint(w.next), Until: 1_000}, end)
			}
		}
	}
	return w
}

// TestKeyRunsAtMostOnce guards against a key that runs twice while its home moves between agents that see the membership late.
func TestKeyRunsAtMostOnce(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) *world { return drive(t, false) })
	ran := 0
	for seed := range seeds {
		for key, n := range draw.Example(seed).runs {
			require.LessOrEqual(t, n, 1, "seed %d, key %s", seed, key.ID)
			ran++
		}
	}
	t.Logf("%d keys ran once", ran)
	require.Positive(t, ran)
}

// TestKeyRunsTwiceWithoutTakeoverCheck shows that the test above fails when a new home answers keys from before its takeover.
func TestKeyRunsTwiceWithoutTakeoverCheck(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) *world { return drive(t, true) })
	twice := 0
	for seed := range seeds {
		for _, n := range draw.Example(seed).runs {
			if n > 1 {
				twice++
			}
		}
	}
	t.Logf("%d keys ran twice", twice)
	require.Positive(t, twice)
}
