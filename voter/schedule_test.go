package voter

import (
	"encoding/binary"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
)

var firstSeed = flag.Uint64("seed", 1, "seed of the first schedule")

// schedules returns how many seeds to run: CHERVILTIDE_SCHEDULES, or a short default.
func schedules(short int) int {
	if n, err := strconv.Atoi(os.Getenv("CHERVILTIDE_SCHEDULES")); err == nil {
		return n
	}
	return short
}

// host is an instance with its disk.
type host struct {
	id      ID
	voter   *Voter
	stored  StoredState
	write   *Write
	up      bool
	frozen  bool
	slow    int
	offset  cherviltide.Millis
	applied uint64
	state   uint64
	reads   map[uint64]uint64
}

// flight is a message under way.
type flight struct {
	at cherviltide.Millis
	m  Message
}

// group is a set of hosts, a network, and what was committed so far.
type group struct {
	names []string
	// open groups are founded by the first instances; the others join.
	open         bool
	off          switches
	keepIdentity bool
	random       *rand.Rand
	now          cherviltide.Millis
	hosts        []*host
	network      []flight
	cuts         map[[2]string]bool
	// truth has the term and the running hash of every entry that any host applied.
	truth   []Entry
	hashes  []uint64
	leaders map[uint64]ID
	voters  []ID
	next    uint64
	token   uint64
	bad     error
}

// seedCount is the number of instances that all others know at first in an open group.
const seedCount = 3

func newGroup(seed uint64, size int, off switches, keepIdentity bool) *group {
	return foundGroup(&group{off: off, keepIdentity: keepIdentity}, seed, size)
}

func foundGroup(g *group, seed uint64, size int) *group {
	*g = group{open: g.open, off: g.off, keepIdentity: g.keepIdentity, random: rand.New(rand.NewPCG(seed, uint64(size))),
		cuts: map[[2]string]bool{}, leaders: map[uint64]ID{}, next: 1}
	for i := range size {
		g.names = append(g.names, fmt.Sprintf("c%d", i+1))
	}
	for i, name := range g.names {
		g.hosts = append(g.hosts, &host{id: ID{Name: name}})
		g.wipe(g.hosts[i])
		g.start(g.hosts[i])
	}
	return g
}

func (g *group) fail(format string, args ...any) {
	if g.bad == nil {
		g.bad = fmt.Errorf(format, args...)
	}
}

func (g *group) start(h *host) {
	h.applied, h.state, h.reads, h.write = 0, 0, map[uint64]uint64{}, nil
	h.up, h.frozen = true, false
	names := g.names
	if g.open {
		names = names[:min(len(names), seedCount)]
	}
	h.voter = New(Config{Self: h.id, Names: names, DynamicVoters: g.open, Bootstrap: true, Seed: g.random.Uint64(), Batch: 200, off: g.off}, h.stored, g.now+h.offset)
}

// crash ends a host. What it was writing is lost, in part or not at all.
func (g *group) crash(h *host) {
	if w := h.write; w != nil && g.random.IntN(2) == 0 {
		part := *w
		if part.Snapshot == nil {
			part.Entries = part.Entries[:g.random.IntN(len(part.Entries)+1)]
		}
		h.store(&part)
	}
	h.up, h.write = false, nil
}

// wipe empties the disk of a host that is down.
func (g *group) wipe(h *host) {
	h.stored = StoredState{}
	if !g.keepIdentity || h.id.Number == 0 {
		h.id.Number = g.next
		g.next++
	}
}

func (h *host) store(w *Write) {
	h.stored.Hard = w.Hard
	if w.Snapshot != nil {
		h.stored.Snapshot, h.stored.Entries = *w.Snapshot, nil
	}
	if len(w.Entries) > 0 {
		keep := w.Entries[0].Index - h.stored.Snapshot.Index - 1
		h.stored.Entries = append(slices.Clone(h.stored.Entries[:keep]), w.Entries...)
	}
}

// take carries out what a voter asks and checks what it applies.
func (g *group) take(h *host) {
	if !h.up || h.frozen {
		return
	}
	out := h.voter.TakeOutput()
	if out.Write != nil {
		h.write = out.Write
	}
	for _, m := range out.Messages {
		g.post(m)
	}
	if s := out.Restore; s != nil {
		if s.Index < h.applied {
			g.fail("%v went back from %d to %d", h.id, h.applied, s.Index)
		}
		h.applied, h.state = s.Index, binary.BigEndian.Uint64(s.Data)
		if int(s.Index) > len(g.hashes) || g.hashes[s.Index-1] != h.state {
			g.fail("%v restored a foreign snapshot at %d", h.id, s.Index)
		}
	}
	for _, e := range out.Committed {
		g.apply(h, e)
	}
	for _, r := range out.Reads {
		if r.Confirmed && h.applied < h.reads[r.Token] {
			g.fail("%v confirmed a read at %d, but %d was accepted before", h.id, h.applied, h.reads[r.Token])
		}
	}
	g.checkLeader(h)
}

func (g *group) apply(h *host, e Entry) {
	if e.Index != h.applied+1 {
		g.fail("%v applied %d after %d", h.id, e.Index, h.applied)
		return
	}
	b := binary.BigEndian.AppendUint64(nil, h.state)
	b = append(binary.BigEndian.AppendUint64(b, e.Term), e.Data...)
	h.applied, h.state = e.Index, xxhash.Sum64(b)
	if int(e.Index) > len(g.truth) {
		g.truth, g.hashes = append(g.truth, e), append(g.hashes, h.state)
		if e.Type == EntryVoters {
			g.voters = decodeVoters(e.Data)
		}
	}
	if g.hashes[e.Index-1] != h.state {
		g.fail("%v applied another entry at %d", h.id, e.Index)
	}
}

// checkLeader checks that a term has one leader and that the leader has all that was accepted.
func (g *group) checkLeader(h *host) {
	term, leads := h.voter.IsLeader()
	if !leads {
		return
	}
	if other, ok := g.leaders[term]; ok {
		if other != h.id {
			g.fail("term %d has leaders %v and %v", term, other, h.id)
		}
		return
	}
	g.leaders[term] = h.id
	for _, e := range g.truth {
		if e.Term < term && !h.voter.log.matches(e.Index, e.Term) {
			g.fail("%v leads in term %d without entry %d of term %d", h.id, term, e.Index, e.Term)
		}
	}
}

func (g *group) post(m Message) {
	for range 1 + g.random.IntN(20)/19 {
		delay := cherviltide.Millis(1 + g.random.IntN(10))
		if g.random.IntN(20) == 0 {
			delay *= 100
		}
		g.network = append(g.network, flight{at: g.now + delay, m: m})
	}
}

// step lets time pass, delivers messages and completes writes.
func (g *group) step() {
	g.now += cherviltide.Millis(1 + g.random.IntN(20))
	var later, due []flight
	for _, f := range g.network {
		if f.at > g.now {
			later = append(later, f)
		} else {
			due = append(due, f)
		}
	}
	g.network = later
	g.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, f := range due {
		g.deliver(f.m)
	}
	for _, h := range g.hosts {
		if !h.up || h.frozen {
			continue
		}
		if w := h.write; w != nil && g.random.IntN(h.slow+2) < 2 {
			h.store(w)
			h.write = nil
			h.voter.WriteCompleted(w.Sequence, nil)
		}
		h.voter.Tick(g.now + h.offset)
		g.take(h)
	}
}

func (g *group) deliver(m Message) {
	for _, h := range g.hosts {
		if h.id.Name == m.To.Name && h.up && !h.frozen && !g.cuts[[2]string{m.From.Name, m.To.Name}] {
			h.voter.Receive(m)
			g.take(h)
		}
	}
}

// whole reports whether every host is one of the voters and no change of the voters is under way.
func (g *group) whole() bool {
	for _, h := range g.hosts {
		if !slices.Contains(g.voters, h.id) || !slices.Equal(h.voter.log.voters().ids, g.voters) {
			return false
		}
	}
	return len(g.voters) == len(g.hosts)
}

// disturb does one random harm, or ends the present ones.
func (g *group) disturb() {
	h := g.hosts[g.random.IntN(len(g.hosts))]
	other := g.hosts[g.random.IntN(len(g.hosts))]
	switch g.random.IntN(18) {
	case 0, 1:
		if h.up {
			g.crash(h)
		}
	case 2, 3:
		if !h.up || h.voter.IsRemoved() {
			g.restart(h)
		}
	case 4:
		g.cuts[[2]string{h.id.Name, other.id.Name}] = true
	case 5:
		g.cuts[[2]string{h.id.Name, other.id.Name}], g.cuts[[2]string{other.id.Name, h.id.Name}] = true, true
	case 6:
		clear(g.cuts)
	case 7:
		h.frozen = h.up && !h.frozen
	case 8:
		h.offset += cherviltide.Millis(g.random.IntN(20_000) - 10_000)
	case 9:
		if g.whole() {
			g.crash(h)
			g.wipe(h)
			g.start(h)
			if other.up && g.random.IntN(2) == 0 {
				g.crash(other)
			}
		}
	case 10:
		if g.whole() && h.up {
			_ = h.voter.RemoveVoter(other.id.Name)
		}
	case 11:
		if h.write != nil && h.up {
			h.voter.WriteCompleted(h.write.Sequence, errors.New("no space"))
			g.crash(h)
		}
	case 12:
		for _, x := range g.hosts {
			if x.up {
				g.crash(x)
			}
		}
	case 13:
		h.slow = g.random.IntN(40)
	default:
		clear(g.cuts)
		for _, x := range g.hosts {
			if x.frozen = false; !x.up {
				g.restart(x)
			}
		}
	}
}

// operate does what happens without any fault.
func (g *group) operate() {
	h := g.hosts[g.random.IntN(len(g.hosts))]
	switch g.random.IntN(8) {
	case 0:
		if h.up && !h.frozen {
			h.voter.Compact(append(binary.BigEndian.AppendUint64(nil, h.state), make([]byte, 450)...))
		}
	case 1, 2:
		if h.up {
			// A read may be the first event after a freeze, before the voter hears of the time.
			h.frozen = false
			g.token++
			h.reads[g.token] = uint64(len(g.truth))
			h.voter.ConfirmLeadership(g.token)
			g.take(h)
		}
	default:
		g.propose()
	}
}

// restart starts a host; one whose identity was removed is emptied first, as its operator would do.
func (g *group) restart(h *host) {
	if h.voter.IsRemoved() {
		g.crash(h)
		g.wipe(h)
	}
	g.start(h)
}

func (g *group) propose() {
	for _, h := range g.hosts {
		if h.up && !h.frozen {
			_, _, _ = h.voter.Propose(binary.BigEndian.AppendUint64(nil, g.random.Uint64()))
		}
	}
}

// harm runs a schedule of faults.
func (g *group) harm(steps int) error {
	for range steps {
		g.step()
		if g.random.IntN(4) == 0 {
			g.operate()
		}
		if g.random.IntN(40) == 0 {
			g.disturb()
		}
		if g.bad != nil {
			return g.bad
		}
	}
	return nil
}

// repair ends all faults, after which everything must work again.
func (g *group) repair() error {
	clear(g.cuts)
	accepted := len(g.truth)
	for range 4000 {
		for _, h := range g.hosts {
			h.frozen, h.slow = false, 0
			if !h.up || h.voter.IsRemoved() {
				g.restart(h)
			}
		}
		g.step()
		if g.random.IntN(10) == 0 {
			g.propose()
		}
		if g.bad != nil || (g.whole() && g.settled(accepted+3)) {
			return g.bad
		}
	}
	return fmt.Errorf("no progress after repair: %d accepted, voters %v", len(g.truth), g.voters)
}

func (g *group) settled(accepted int) bool {
	for _, h := range g.hosts {
		if int(h.applied) < accepted {
			return false
		}
	}
	return true
}

// Guards against every loss, change or disorder of accepted entries, and against a group that stays stuck after repair.
func TestSchedules(t *testing.T) {
	for i := range schedules(100) {
		seed := *firstSeed + uint64(i)
		size := 3 + 2*int(seed%2)
		g := newGroup(seed, size, switches{}, false)
		require.NoError(t, g.harm(1500), "seed %d", seed)
		require.NoError(t, g.repair(), "seed %d", seed)
	}
}

// Guards against the same in groups that are not told who their members are and remove silent voters. Their sizes differ,
// and instances join while others are lost.
func TestOpenSchedules(t *testing.T) {
	for i := range schedules(100) {
		seed := *firstSeed + uint64(i)
		g := foundGroup(&group{open: true}, seed, 3+int(seed%4))
		require.NoError(t, g.harm(1500), "seed %d", seed)
		require.NoError(t, g.repair(), "seed %d", seed)
	}
}

// Guards against a checker that sees nothing: each mechanism is needed, and its absence is found.
func TestSchedulesFindDisabledMechanisms(t *testing.T) {
	cases := map[string]struct {
		off          switches
		keepIdentity bool
	}{
		"acknowledge before the disk":       {off: switches{sync: true}},
		"confirm reads without a majority":  {off: switches{readRound: true}},
		"keep the identity of a wiped disk": {keepIdentity: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= 1000; seed++ {
				if err := newGroup(seed, 3, c.off, c.keepIdentity).harm(1500); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("no schedule showed the fault")
		})
	}
}

// Guards against a voter that forces an election on a healthy group when it returns from a cut.
func TestReturnAfterCutKeepsTheTerm(t *testing.T) {
	for name, off := range map[string]switches{"pre-vote": {}, "no pre-vote": {preVote: true}} {
		t.Run(name, func(t *testing.T) {
			const seed = 5
			g := newGroup(seed, 3, off, false)
			wait := func(steps int) (leader *host, term uint64) {
				for range steps {
					g.step()
				}
				for _, h := range g.hosts {
					if at, leads := h.voter.IsLeader(); leads && at >= term {
						leader, term = h, at
					}
				}
				return leader, term
			}
			before, term := wait(500)
			require.NotNil(t, before)
			away := g.hosts[0]
			if away == before {
				away = g.hosts[1]
			}
			for _, h := range g.hosts {
				g.cuts[[2]string{h.id.Name, away.id.Name}], g.cuts[[2]string{away.id.Name, h.id.Name}] = true, true
			}
			wait(500)
			clear(g.cuts)
			_, after := wait(500)
			require.Equal(t, off.preVote, after > term, "seed %d: term %d, then %d", seed, term, after)
			require.NoError(t, g.bad)
		})
	}
}
