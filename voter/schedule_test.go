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
	// seeds, if set, are the instances that this one knows at its start. joins is true if it never bootstraps a group.
	seeds []string
	joins bool
	// frozen is true while the process is paused: its messages are lost, and Tick is not called.
	frozen bool
	// diskDelay slows down writes: with a higher one, a write is less likely to complete in a step.
	diskDelay    int
	clockOffset  cherviltide.Millis
	appliedIndex uint64
	stateHash    uint64
	// minReadIndex has, by token, the last committed index when the read started.
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
	minVoters     int
	disabled      disabledProtections
	// keepIdentity lets an instance keep its identity when its disk is wiped, which the protocol forbids.
	keepIdentity bool
	random       *rand.Rand
	now          cherviltide.Millis
	instances    []*instance
	network      []inFlightMessage
	cutLinks     map[[2]string]bool
	// diskless has the instances without a disk, and whom each of them has heard of. They only tell others about these.
	diskless map[string][]ID
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

func startCluster(c *cluster, seed uint64, size int) *cluster {
	*c = cluster{dynamicVoters: c.dynamicVoters, minVoters: c.minVoters, disabled: c.disabled, keepIdentity: c.keepIdentity, random: rand.New(rand.NewPCG(seed, uint64(size))),
		cutLinks: map[[2]string]bool{}, leaders: map[uint64]ID{}, nextNumber: 1}
	for i := range size {
		c.names = append(c.names, fmt.Sprintf("c%d", i+1))
	}
	for i, name := range c.names {
		c.instances = append(c.instances, &instance{id: ID{Name: name}})
		c.wipe(c.instances[i])
		c.start(c.instances[i])
	}
	return c
}

func (c *cluster) recordViolation(format string, args ...any) {
	if c.violation == nil {
		c.violation = fmt.Errorf(format, args...)
	}
}

func (c *cluster) start(node *instance) {
	node.appliedIndex, node.stateHash, node.minReadIndex, node.pendingWrite = 0, 0, map[uint64]uint64{}, nil
	node.running, node.frozen = true, false
	names := c.names
	if c.dynamicVoters {
		names = names[:min(len(names), configuredCount)]
	}
	if node.seeds != nil {
		names = node.seeds
	}
	node.voter = New(Config{Self: node.id, Names: names, DynamicVoters: c.dynamicVoters, MinVoters: c.minVoters, Bootstrap: !node.joins, Seed: c.random.Uint64(), BatchSize: 200, disabled: c.disabled}, node.stored, c.now+node.clockOffset)
}

// crash stops an instance. Its running write is lost or reaches the disk, completely or in part.
func (c *cluster) crash(node *instance) {
	if w := node.pendingWrite; w != nil && c.random.IntN(2) == 0 {
		part := *w
		if part.Snapshot == nil {
			part.Entries = part.Entries[:c.random.IntN(len(part.Entries)+1)]
		}
		node.completeWrite(&part)
	}
	node.running, node.pendingWrite = false, nil
}

// wipe empties the disk of an instance that is not running.
func (c *cluster) wipe(node *instance) {
	node.stored = StoredState{}
	if !c.keepIdentity || node.id.Number == 0 {
		node.id.Number = c.nextNumber
		c.nextNumber++
	}
}

// addInstance adds an instance with an empty disk that joins the group, and starts it.
func (c *cluster) addInstance(seeds []string) *instance {
	node := &instance{id: ID{Name: fmt.Sprintf("c%d", len(c.instances)+1)}, seeds: seeds, joins: true}
	c.names, c.instances = append(c.names, node.id.Name), append(c.instances, node)
	c.wipe(node)
	c.start(node)
	return node
}

func (node *instance) completeWrite(w *Write) {
	node.stored.Hard = w.Hard
	if w.Snapshot != nil {
		node.stored.Snapshot, node.stored.Entries = *w.Snapshot, nil
	}
	if len(w.Entries) > 0 {
		keep := w.Entries[0].Index - node.stored.Snapshot.Index - 1
		node.stored.Entries = append(slices.Clone(node.stored.Entries[:keep]), w.Entries...)
	}
}

// processOutput carries out the output of a voter and checks what it applies.
func (c *cluster) processOutput(node *instance) {
	if !node.running || node.frozen {
		return
	}
	out := node.voter.TakeOutput()
	if out.Write != nil {
		node.pendingWrite = out.Write
	}
	for _, m := range out.Messages {
		c.send(m)
	}
	if s := out.Restore; s != nil {
		if s.Index < node.appliedIndex {
			c.recordViolation("%v restored a snapshot that goes back from %d to %d", node.id, node.appliedIndex, s.Index)
		}
		node.appliedIndex, node.stateHash = s.Index, binary.BigEndian.Uint64(s.Data)
		if int(s.Index) > len(c.stateHashes) || c.stateHashes[s.Index-1] != node.stateHash {
			c.recordViolation("%v restored a snapshot with a different state at %d", node.id, s.Index)
		}
	}
	for _, e := range out.Committed {
		c.apply(node, e)
	}
	for _, r := range out.Reads {
		if r.Confirmed && node.appliedIndex < node.minReadIndex[r.Token] {
			c.recordViolation("%v confirmed a read at %d, but %d was committed before", node.id, node.appliedIndex, node.minReadIndex[r.Token])
		}
	}
	c.checkNewLeader(node)
}

func (c *cluster) apply(node *instance, e Entry) {
	if e.Index != node.appliedIndex+1 {
		c.recordViolation("%v applied %d after %d", node.id, e.Index, node.appliedIndex)
		return
	}
	b := binary.BigEndian.AppendUint64(nil, node.stateHash)
	b = append(binary.BigEndian.AppendUint64(b, e.Term), e.Data...)
	node.appliedIndex, node.stateHash = e.Index, xxhash.Sum64(b)
	if int(e.Index) > len(c.committed) {
		c.committed, c.stateHashes = append(c.committed, e), append(c.stateHashes, node.stateHash)
		if e.Type == EntryVoters {
			c.voters = decodeVoters(e.Data)
		}
	}
	if c.stateHashes[e.Index-1] != node.stateHash {
		c.recordViolation("%v applied a different entry at %d", node.id, e.Index)
	}
}

// checkNewLeader checks that a term has only one leader, and that it has all entries committed in earlier terms.
func (c *cluster) checkNewLeader(node *instance) {
	term, leads := node.voter.IsLeader()
	if !leads {
		return
	}
	if other, ok := c.leaders[term]; ok {
		if other != node.id {
			c.recordViolation("term %d has leaders %v and %v", term, other, node.id)
		}
		return
	}
	c.leaders[term] = node.id
	for _, e := range c.committed {
		if e.Term < term && !node.voter.log.matches(e.Index, e.Term) {
			c.recordViolation("%v leads in term %d without entry %d of term %d", node.id, term, e.Index, e.Term)
		}
	}
}

func (c *cluster) send(m Message) {
	for range 1 + c.random.IntN(20)/19 {
		delay := cherviltide.Millis(1 + c.random.IntN(10))
		if c.random.IntN(20) == 0 {
			delay *= 100
		}
		c.network = append(c.network, inFlightMessage{at: c.now + delay, m: m})
	}
}

// step advances the time, delivers due messages and completes disk writes.
func (c *cluster) step() {
	c.now += cherviltide.Millis(1 + c.random.IntN(20))
	var later, due []inFlightMessage
	for _, f := range c.network {
		if f.at > c.now {
			later = append(later, f)
		} else {
			due = append(due, f)
		}
	}
	c.network = later
	c.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, f := range due {
		c.deliver(f.m)
	}
	for _, node := range c.instances {
		if !node.running || node.frozen {
			continue
		}
		if w := node.pendingWrite; w != nil && c.random.IntN(node.diskDelay+2) < 2 {
			node.pendingWrite = nil
			if w.IsCompaction && !c.disabled.syncBeforeSend && c.random.IntN(3) == 0 {
				// The disk has no room for a second file.
				node.completeWrite(&Write{Hard: w.Hard, Entries: w.NewEntries()})
				node.voter.CompactionPostponed(w.Sequence)
			} else {
				node.completeWrite(w)
				node.voter.WriteCompleted(w.Sequence, nil)
			}
		}
		node.voter.Tick(c.now + node.clockOffset)
		c.processOutput(node)
	}
}

func (c *cluster) deliver(m Message) {
	if contacts, ok := c.diskless[m.To.Name]; ok && m.Type == MessageJoin {
		if from := (ID{Name: m.From.Name}); !slices.Contains(contacts, from) {
			c.diskless[m.To.Name] = append(contacts, from)
		}
		c.send(Message{Type: MessageEmptyLog, From: ID{Name: m.To.Name}, To: m.From, Reject: true, Voters: slices.Clone(c.diskless[m.To.Name])})
	}
	for _, node := range c.instances {
		if node.id.Name == m.To.Name && node.running && !node.frozen && !c.cutLinks[[2]string{m.From.Name, m.To.Name}] {
			node.voter.Receive(m)
			c.processOutput(node)
		}
	}
}

// allAreVoters reports whether every instance is a voter and no change of the voters is in progress.
func (c *cluster) allAreVoters() bool {
	for _, node := range c.instances {
		if !slices.Contains(c.voters, node.id) || !slices.Equal(node.voter.log.currentVoters().ids, c.voters) {
			return false
		}
	}
	return len(c.voters) == len(c.instances)
}

// injectFault injects one random fault, or repairs all faults.
func (c *cluster) injectFault() {
	node := c.instances[c.random.IntN(len(c.instances))]
	other := c.instances[c.random.IntN(len(c.instances))]
	switch c.random.IntN(18) {
	case 0, 1:
		if node.running {
			c.crash(node)
		}
	case 2, 3:
		if !node.running || node.voter.IsRemoved() {
			c.restart(node)
		}
	case 4:
		c.cutLinks[[2]string{node.id.Name, other.id.Name}] = true
	case 5:
		c.cutLinks[[2]string{node.id.Name, other.id.Name}], c.cutLinks[[2]string{other.id.Name, node.id.Name}] = true, true
	case 6:
		clear(c.cutLinks)
	case 7:
		node.frozen = node.running && !node.frozen
	case 8:
		node.clockOffset += cherviltide.Millis(c.random.IntN(20_000) - 10_000)
	case 9:
		if c.allAreVoters() {
			c.crash(node)
			c.wipe(node)
			c.start(node)
			if other.running && c.random.IntN(2) == 0 {
				c.crash(other)
			}
		}
	case 10:
		if c.allAreVoters() && node.running {
			_ = node.voter.RemoveVoter(other.id.Name)
		}
	case 11:
		if node.pendingWrite != nil && node.running {
			node.voter.WriteCompleted(node.pendingWrite.Sequence, errors.New("no space"))
			c.crash(node)
		}
	case 12:
		for _, x := range c.instances {
			if x.running {
				c.crash(x)
			}
		}
	case 13:
		node.diskDelay = c.random.IntN(40)
	default:
		clear(c.cutLinks)
		for _, x := range c.instances {
			if x.frozen = false; !x.running {
				c.restart(x)
			}
		}
	}
}

// performOperation does a random operation that is not a fault.
func (c *cluster) performOperation() {
	node := c.instances[c.random.IntN(len(c.instances))]
	switch c.random.IntN(8) {
	case 0:
		if node.running && !node.frozen {
			node.voter.Compact(append(binary.BigEndian.AppendUint64(nil, node.stateHash), make([]byte, 450)...))
		}
	case 1, 2:
		if node.running {
			// A read may be the first event after a freeze, before Tick is called.
			node.frozen = false
			c.readToken++
			node.minReadIndex[c.readToken] = uint64(len(c.committed))
			node.voter.ConfirmLeadership(c.readToken)
			c.processOutput(node)
		}
	default:
		c.propose()
	}
}

// restart starts an instance; if its identity was removed, its disk is wiped first, as its operator would do.
func (c *cluster) restart(node *instance) {
	if node.voter.IsRemoved() {
		c.crash(node)
		c.wipe(node)
	}
	c.start(node)
}

func (c *cluster) propose() {
	for _, node := range c.instances {
		if node.running && !node.frozen {
			_, _, _ = node.voter.Propose(binary.BigEndian.AppendUint64(nil, c.random.Uint64()))
		}
	}
}

// runFaults runs a schedule of random operations and faults.
func (c *cluster) runFaults(steps int) error {
	for range steps {
		c.step()
		if c.random.IntN(4) == 0 {
			c.performOperation()
		}
		if c.random.IntN(40) == 0 {
			c.injectFault()
		}
		if c.violation != nil {
			return c.violation
		}
	}
	return nil
}

// repair ends all faults and waits until all instances are voters and apply new entries.
func (c *cluster) repair() error {
	clear(c.cutLinks)
	committedBefore := len(c.committed)
	for range 4000 {
		for _, node := range c.instances {
			node.frozen, node.diskDelay = false, 0
			if !node.running || node.voter.IsRemoved() {
				c.restart(node)
			}
		}
		c.step()
		if c.random.IntN(10) == 0 {
			c.propose()
		}
		if c.violation != nil || (c.allAreVoters() && c.allHaveApplied(committedBefore+3)) {
			return c.violation
		}
	}
	return fmt.Errorf("no progress after repair: %d committed, voters %v", len(c.committed), c.voters)
}

func (c *cluster) allHaveApplied(index int) bool {
	for _, node := range c.instances {
		if int(node.appliedIndex) < index {
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
		c := newCluster(seed, size, disabledProtections{}, false)
		require.NoError(t, c.runFaults(1500), "seed %d", seed)
		require.NoError(t, c.repair(), "seed %d", seed)
	}
}

// TestDynamicVoterSchedules guards against the same failures with dynamic voters, where instances join while unresponsive
// voters are removed. The sizes of the groups differ.
func TestDynamicVoterSchedules(t *testing.T) {
	for i := range scheduleCount(100) {
		seed := *firstSeed + uint64(i)
		c := startCluster(&cluster{dynamicVoters: true}, seed, 3+int(seed%4))
		require.NoError(t, c.runFaults(1500), "seed %d", seed)
		require.NoError(t, c.repair(), "seed %d", seed)
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

// TestReturnAfterPartitionKeepsTerm guards against a voter that forces an election on a working group when it returns from
// a network partition. Without pre-votes it must do so.
func TestReturnAfterPartitionKeepsTerm(t *testing.T) {
	for name, disabled := range map[string]disabledProtections{"pre-vote": {}, "no pre-vote": {preVote: true}} {
		t.Run(name, func(t *testing.T) {
			const seed = 5
			c := newCluster(seed, 3, disabled, false)
			run := func(steps int) (leader *instance, term uint64) {
				for range steps {
					c.step()
				}
				for _, node := range c.instances {
					if leaderTerm, leads := node.voter.IsLeader(); leads && leaderTerm >= term {
						leader, term = node, leaderTerm
					}
				}
				return leader, term
			}
			firstLeader, term := run(500)
			require.NotNil(t, firstLeader)
			isolated := c.instances[0]
			if isolated == firstLeader {
				isolated = c.instances[1]
			}
			for _, node := range c.instances {
				c.cutLinks[[2]string{node.id.Name, isolated.id.Name}], c.cutLinks[[2]string{isolated.id.Name, node.id.Name}] = true, true
			}
			run(500)
			clear(c.cutLinks)
			_, laterTerm := run(500)
			require.Equal(t, disabled.preVote, laterTerm > term, "seed %d: term %d, then %d", seed, term, laterTerm)
			require.NoError(t, c.violation)
		})
	}
}
