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

// scheduleCount returns how many seeds to run: the value of CHERVILTIDE_SCHEDULES, or the fallback.
func scheduleCount(fallback int) int {
	if n, err := strconv.Atoi(os.Getenv("CHERVILTIDE_SCHEDULES")); err == nil {
		return n
	}
	return fallback
}

// instance is a simulated instance with its voter and disk.
type instance struct {
	id           ID
	voter        *Voter
	stored       StoredState
	pendingWrite *Write
	running      bool
	frozen       bool
	diskDelay    int
	clockOffset  cherviltide.Millis
	appliedIndex uint64
	stateHash    uint64
	minReadIndex map[uint64]uint64
}

// inFlightMessage is a message that is delivered at a given time.
type inFlightMessage struct {
	at cherviltide.Millis
	m  Message
}

// cluster is a simulation of instances and a network. It records what was committed, and the first violation of the
// protocol.
type cluster struct {
	names []string
	// dynamicVoters is set if only the first configuredCount instances bootstrap the group and the others join.
	dynamicVoters bool
	disabled      disabledProtections
	keepIdentity  bool
	random        *rand.Rand
	now           cherviltide.Millis
	instances     []*instance
	network       []inFlightMessage
	cutLinks      map[[2]string]bool
	// committed has every entry that any instance has applied, and stateHashes the hash of the state after each of them.
	committed   []Entry
	stateHashes []uint64
	leaders     map[uint64]ID
	voters      []ID
	nextNumber  uint64
	readToken   uint64
	violation   error
}

// configuredCount is the number of instances in the configuration of a cluster with dynamic voters.
const configuredCount = 3

func newCluster(seed uint64, size int, disabled disabledProtections, keepIdentity bool) *cluster {
	return startCluster(&cluster{disabled: disabled, keepIdentity: keepIdentity}, seed, size)
}

func startCluster(g *cluster, seed uint64, size int) *cluster {
	*g = cluster{dynamicVoters: g.dynamicVoters, disabled: g.disabled, keepIdentity: g.keepIdentity, random: rand.New(rand.NewPCG(seed, uint64(size))),
		cutLinks: map[[2]string]bool{}, leaders: map[uint64]ID{}, nextNumber: 1}
	for i := range size {
		g.names = append(g.names, fmt.Sprintf("c%d", i+1))
	}
	for i, name := range g.names {
		g.instances = append(g.instances, &instance{id: ID{Name: name}})
		g.wipe(g.instances[i])
		g.start(g.instances[i])
	}
	return g
}

func (g *cluster) recordViolation(format string, args ...any) {
	if g.violation == nil {
		g.violation = fmt.Errorf(format, args...)
	}
}

func (g *cluster) start(h *instance) {
	h.appliedIndex, h.stateHash, h.minReadIndex, h.pendingWrite = 0, 0, map[uint64]uint64{}, nil
	h.running, h.frozen = true, false
	names := g.names
	if g.dynamicVoters {
		names = names[:min(len(names), configuredCount)]
	}
	h.voter = New(Config{Self: h.id, Names: names, DynamicVoters: g.dynamicVoters, Bootstrap: true, Seed: g.random.Uint64(), BatchSize: 200, disabled: g.disabled}, h.stored, g.now+h.clockOffset)
}

// crash stops an instance. Its running write is lost or reaches the disk, completely or in part.
func (g *cluster) crash(h *instance) {
	if w := h.pendingWrite; w != nil && g.random.IntN(2) == 0 {
		part := *w
		if part.Snapshot == nil {
			part.Entries = part.Entries[:g.random.IntN(len(part.Entries)+1)]
		}
		h.completeWrite(&part)
	}
	h.running, h.pendingWrite = false, nil
}

// wipe empties the disk of an instance that is not running.
func (g *cluster) wipe(h *instance) {
	h.stored = StoredState{}
	if !g.keepIdentity || h.id.Number == 0 {
		h.id.Number = g.nextNumber
		g.nextNumber++
	}
}

func (h *instance) completeWrite(w *Write) {
	h.stored.Hard = w.Hard
	if w.Snapshot != nil {
		h.stored.Snapshot, h.stored.Entries = *w.Snapshot, nil
	}
	if len(w.Entries) > 0 {
		keep := w.Entries[0].Index - h.stored.Snapshot.Index - 1
		h.stored.Entries = append(slices.Clone(h.stored.Entries[:keep]), w.Entries...)
	}
}

// processOutput carries out the output of a voter and checks what it applies.
func (g *cluster) processOutput(h *instance) {
	if !h.running || h.frozen {
		return
	}
	out := h.voter.TakeOutput()
	if out.Write != nil {
		h.pendingWrite = out.Write
	}
	for _, m := range out.Messages {
		g.send(m)
	}
	if s := out.Restore; s != nil {
		if s.Index < h.appliedIndex {
			g.recordViolation("%v restored a snapshot that goes back from %d to %d", h.id, h.appliedIndex, s.Index)
		}
		h.appliedIndex, h.stateHash = s.Index, binary.BigEndian.Uint64(s.Data)
		if int(s.Index) > len(g.stateHashes) || g.stateHashes[s.Index-1] != h.stateHash {
			g.recordViolation("%v restored a snapshot with a different state at %d", h.id, s.Index)
		}
	}
	for _, e := range out.Committed {
		g.apply(h, e)
	}
	for _, r := range out.Reads {
		if r.Confirmed && h.appliedIndex < h.minReadIndex[r.Token] {
			g.recordViolation("%v confirmed a read at %d, but %d was committed before", h.id, h.appliedIndex, h.minReadIndex[r.Token])
		}
	}
	g.checkNewLeader(h)
}

func (g *cluster) apply(h *instance, e Entry) {
	if e.Index != h.appliedIndex+1 {
		g.recordViolation("%v applied %d after %d", h.id, e.Index, h.appliedIndex)
		return
	}
	b := binary.BigEndian.AppendUint64(nil, h.stateHash)
	b = append(binary.BigEndian.AppendUint64(b, e.Term), e.Data...)
	h.appliedIndex, h.stateHash = e.Index, xxhash.Sum64(b)
	if int(e.Index) > len(g.committed) {
		g.committed, g.stateHashes = append(g.committed, e), append(g.stateHashes, h.stateHash)
		if e.Type == EntryVoters {
			g.voters = decodeVoters(e.Data)
		}
	}
	if g.stateHashes[e.Index-1] != h.stateHash {
		g.recordViolation("%v applied a different entry at %d", h.id, e.Index)
	}
}

// checkNewLeader checks that a term has only one leader, and that it has all entries committed in earlier terms.
func (g *cluster) checkNewLeader(h *instance) {
	term, leads := h.voter.IsLeader()
	if !leads {
		return
	}
	if other, ok := g.leaders[term]; ok {
		if other != h.id {
			g.recordViolation("term %d has leaders %v and %v", term, other, h.id)
		}
		return
	}
	g.leaders[term] = h.id
	for _, e := range g.committed {
		if e.Term < term && !h.voter.log.matches(e.Index, e.Term) {
			g.recordViolation("%v leads in term %d without entry %d of term %d", h.id, term, e.Index, e.Term)
		}
	}
}

func (g *cluster) send(m Message) {
	for range 1 + g.random.IntN(20)/19 {
		delay := cherviltide.Millis(1 + g.random.IntN(10))
		if g.random.IntN(20) == 0 {
			delay *= 100
		}
		g.network = append(g.network, inFlightMessage{at: g.now + delay, m: m})
	}
}

// step advances the time, delivers due messages and completes disk writes.
func (g *cluster) step() {
	g.now += cherviltide.Millis(1 + g.random.IntN(20))
	var later, due []inFlightMessage
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
	for _, h := range g.instances {
		if !h.running || h.frozen {
			continue
		}
		if w := h.pendingWrite; w != nil && g.random.IntN(h.diskDelay+2) < 2 {
			h.completeWrite(w)
			h.pendingWrite = nil
			h.voter.WriteCompleted(w.Sequence, nil)
		}
		h.voter.Tick(g.now + h.clockOffset)
		g.processOutput(h)
	}
}

func (g *cluster) deliver(m Message) {
	for _, h := range g.instances {
		if h.id.Name == m.To.Name && h.running && !h.frozen && !g.cutLinks[[2]string{m.From.Name, m.To.Name}] {
			h.voter.Receive(m)
			g.processOutput(h)
		}
	}
}

// allAreVoters reports whether every instance is a voter and no change of the voters is in progress.
func (g *cluster) allAreVoters() bool {
	for _, h := range g.instances {
		if !slices.Contains(g.voters, h.id) || !slices.Equal(h.voter.log.currentVoters().ids, g.voters) {
			return false
		}
	}
	return len(g.voters) == len(g.instances)
}

// injectFault injects one random fault, or repairs all faults.
func (g *cluster) injectFault() {
	h := g.instances[g.random.IntN(len(g.instances))]
	other := g.instances[g.random.IntN(len(g.instances))]
	switch g.random.IntN(18) {
	case 0, 1:
		if h.running {
			g.crash(h)
		}
	case 2, 3:
		if !h.running || h.voter.IsRemoved() {
			g.restart(h)
		}
	case 4:
		g.cutLinks[[2]string{h.id.Name, other.id.Name}] = true
	case 5:
		g.cutLinks[[2]string{h.id.Name, other.id.Name}], g.cutLinks[[2]string{other.id.Name, h.id.Name}] = true, true
	case 6:
		clear(g.cutLinks)
	case 7:
		h.frozen = h.running && !h.frozen
	case 8:
		h.clockOffset += cherviltide.Millis(g.random.IntN(20_000) - 10_000)
	case 9:
		if g.allAreVoters() {
			g.crash(h)
			g.wipe(h)
			g.start(h)
			if other.running && g.random.IntN(2) == 0 {
				g.crash(other)
			}
		}
	case 10:
		if g.allAreVoters() && h.running {
			_ = h.voter.RemoveVoter(other.id.Name)
		}
	case 11:
		if h.pendingWrite != nil && h.running {
			h.voter.WriteCompleted(h.pendingWrite.Sequence, errors.New("no space"))
			g.crash(h)
		}
	case 12:
		for _, x := range g.instances {
			if x.running {
				g.crash(x)
			}
		}
	case 13:
		h.diskDelay = g.random.IntN(40)
	default:
		clear(g.cutLinks)
		for _, x := range g.instances {
			if x.frozen = false; !x.running {
				g.restart(x)
			}
		}
	}
}

// performOperation does a random operation that is not a fault.
func (g *cluster) performOperation() {
	h := g.instances[g.random.IntN(len(g.instances))]
	switch g.random.IntN(8) {
	case 0:
		if h.running && !h.frozen {
			h.voter.Compact(append(binary.BigEndian.AppendUint64(nil, h.stateHash), make([]byte, 450)...))
		}
	case 1, 2:
		if h.running {
			// A read may be the first event after a freeze, before the voter is told the time.
			h.frozen = false
			g.readToken++
			h.minReadIndex[g.readToken] = uint64(len(g.committed))
			h.voter.ConfirmLeadership(g.readToken)
			g.processOutput(h)
		}
	default:
		g.propose()
	}
}

// restart starts an instance; if its identity was removed, its disk is wiped first, as its operator would do.
func (g *cluster) restart(h *instance) {
	if h.voter.IsRemoved() {
		g.crash(h)
		g.wipe(h)
	}
	g.start(h)
}

func (g *cluster) propose() {
	for _, h := range g.instances {
		if h.running && !h.frozen {
			_, _, _ = h.voter.Propose(binary.BigEndian.AppendUint64(nil, g.random.Uint64()))
		}
	}
}

// runFaults runs a schedule of random operations and faults.
func (g *cluster) runFaults(steps int) error {
	for range steps {
		g.step()
		if g.random.IntN(4) == 0 {
			g.performOperation()
		}
		if g.random.IntN(40) == 0 {
			g.injectFault()
		}
		if g.violation != nil {
			return g.violation
		}
	}
	return nil
}

// repair ends all faults and waits until all instances are voters and apply new entries.
func (g *cluster) repair() error {
	clear(g.cutLinks)
	committedBefore := len(g.committed)
	for range 4000 {
		for _, h := range g.instances {
			h.frozen, h.diskDelay = false, 0
			if !h.running || h.voter.IsRemoved() {
				g.restart(h)
			}
		}
		g.step()
		if g.random.IntN(10) == 0 {
			g.propose()
		}
		if g.violation != nil || (g.allAreVoters() && g.allHaveApplied(committedBefore+3)) {
			return g.violation
		}
	}
	return fmt.Errorf("no progress after repair: %d committed, voters %v", len(g.committed), g.voters)
}

func (g *cluster) allHaveApplied(index int) bool {
	for _, h := range g.instances {
		if int(h.appliedIndex) < index {
			return false
		}
	}
	return true
}

// TestSchedules guards against committed entries that are lost, changed or reordered, and against a group that makes no
// progress after the faults are repaired.
func TestSchedules(t *testing.T) {
	for i := range scheduleCount(100) {
		seed := *firstSeed + uint64(i)
		size := 3 + 2*int(seed%2)
		g := newCluster(seed, size, disabledProtections{}, false)
		require.NoError(t, g.runFaults(1500), "seed %d", seed)
		require.NoError(t, g.repair(), "seed %d", seed)
	}
}

// TestOpenSchedules guards against the same failures with dynamic voters, where instances join while unresponsive
// voters are removed. The sizes of the groups differ.
func TestOpenSchedules(t *testing.T) {
	for i := range scheduleCount(100) {
		seed := *firstSeed + uint64(i)
		g := startCluster(&cluster{dynamicVoters: true}, seed, 3+int(seed%4))
		require.NoError(t, g.runFaults(1500), "seed %d", seed)
		require.NoError(t, g.repair(), "seed %d", seed)
	}
}

// TestSchedulesFindDisabledMechanisms guards against checks that detect nothing: without each of these protections, a
// schedule must show a violation.
func TestSchedulesFindDisabledMechanisms(t *testing.T) {
	cases := map[string]struct {
		disabled     disabledProtections
		keepIdentity bool
	}{
		"acknowledge before the disk":       {disabled: disabledProtections{syncBeforeSend: true}},
		"confirm reads without a majority":  {disabled: disabledProtections{readConfirmation: true}},
		"keep the identity of a wiped disk": {keepIdentity: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= 1000; seed++ {
				if err := newCluster(seed, 3, c.disabled, c.keepIdentity).runFaults(1500); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("no schedule showed a violation")
		})
	}
}

// TestReturnAfterCutKeepsTheTerm guards against a voter that forces an election on a working group when it returns from
// a network partition. Without pre-votes it must do so.
func TestReturnAfterCutKeepsTheTerm(t *testing.T) {
	for name, disabled := range map[string]disabledProtections{"pre-vote": {}, "no pre-vote": {preVote: true}} {
		t.Run(name, func(t *testing.T) {
			const seed = 5
			g := newCluster(seed, 3, disabled, false)
			run := func(steps int) (leader *instance, term uint64) {
				for range steps {
					g.step()
				}
				for _, h := range g.instances {
					if leaderTerm, leads := h.voter.IsLeader(); leads && leaderTerm >= term {
						leader, term = h, leaderTerm
					}
				}
				return leader, term
			}
			firstLeader, term := run(500)
			require.NotNil(t, firstLeader)
			isolated := g.instances[0]
			if isolated == firstLeader {
				isolated = g.instances[1]
			}
			for _, h := range g.instances {
				g.cutLinks[[2]string{h.id.Name, isolated.id.Name}], g.cutLinks[[2]string{isolated.id.Name, h.id.Name}] = true, true
			}
			run(500)
			clear(g.cutLinks)
			_, laterTerm := run(500)
			require.Equal(t, disabled.preVote, laterTerm > term, "seed %d: term %d, then %d", seed, term, laterTerm)
			require.NoError(t, g.violation)
		})
	}
}
