package voter

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
)

// syncTime is how long an instance that has lost its disk, or that is new, must run before it stops counting as lost.
const syncTime cherviltide.Millis = 4_000

// lossSchedule is a schedule of a group that must bear the loss of some disks at once. Instances are replaced, one at a time: the
// successor runs first, then the old one leaves or is killed for good, and doesn't count as lost. Beside that processes stop, freeze
// and lose their connections without limit.
type lossSchedule struct {
	*cluster
	losses int
	// readySince is when an instance that had lost its disk, or that is new, became a voter that replicates; 0 until then.
	readySince map[*instance]cherviltide.Millis
	// startAt is when an instance that was wiped starts again.
	startAt map[*instance]cherviltide.Millis
	// silentSince is when an instance stopped, froze or lost a connection, while that lasts. longSilentAt is when such a silence
	// was last a long one.
	silentSince, longSilentAt map[*instance]cherviltide.Millis
	// gone are the instances that were killed for good. successor is the newest one until the one that it replaces is gone.
	gone      map[*instance]bool
	successor *instance
}

func newLossSchedule(t *testing.T, seed uint64, size, losses int) *lossSchedule {
	return &lossSchedule{
		cluster: newSettledCluster(t, seed, size, 2*losses+1), losses: losses,
		readySince: map[*instance]cherviltide.Millis{}, startAt: map[*instance]cherviltide.Millis{}, silentSince: map[*instance]cherviltide.Millis{}, longSilentAt: map[*instance]cherviltide.Millis{}, gone: map[*instance]bool{},
	}
}

// isVoter reports whether an instance is a voter by the newest committed set.
func (s *lossSchedule) isVoter(node *instance) bool {
	return slices.Contains(s.voters, node.id)
}

// isCut reports whether messages from or to an instance are lost.
func (s *lossSchedule) isCut(node *instance) bool {
	for link := range s.cutLinks {
		if slices.Contains(link[:], node.id.Name) {
			return true
		}
	}
	return false
}

// longSilence is how long an instance may be silent at most without being removed.
const longSilence = unresponsiveTimeout / 2

// lostDisks returns how many instances count as lost because of their disks. One that was silent for long counts too, also shortly
// after: the leader may have removed it, or its removal may be under way, and then it comes back with an empty disk.
func (s *lossSchedule) lostDisks() int {
	n := 0
	for _, node := range s.instances {
		since, counts := s.readySince[node]
		lost := counts && (since == 0 || s.now-since < syncTime)
		silent, wasSilent := s.longSilentAt[node]
		lost = lost || !s.isVoter(node) || (wasSilent && s.now-silent < unresponsiveTimeout)
		if node != s.successor && !s.gone[node] && lost {
			n++
		}
	}
	return n
}

// advance advances the time by a step, starts instances that are due, and notes which ones have caught up.
func (s *lossSchedule) advance() {
	for _, node := range s.instances {
		if at, waits := s.startAt[node]; waits && s.now >= at {
			delete(s.startAt, node)
			s.start(node)
		}
	}
	s.step()
	for _, node := range s.instances {
		since, isSilent := s.silentSince[node]
		if isSilent && s.now-since > longSilence {
			s.longSilentAt[node] = s.now
		}
		switch answers := node.running && !node.frozen && !s.isCut(node); {
		case answers:
			delete(s.silentSince, node)
		case !isSilent:
			s.silentSince[node] = s.now
		}
		if since, counts := s.readySince[node]; counts && since == 0 && node.running && s.isVoter(node) && int(node.appliedIndex) >= len(s.committed) {
			s.readySince[node] = s.now
		}
	}
	for _, node := range s.instances {
		if node.running && (node.voter.IsRemoved() || node.voter.leaving && node.voter.HasLeft()) {
			s.stopOrRejoin(node)
		}
	}
}

// stopOrRejoin stops an instance that has left, or lets one that was removed while it was silent join again.
func (s *lossSchedule) stopOrRejoin(node *instance) {
	s.crash(node)
	if node.voter.leaving {
		s.gone[node] = true
		return
	}
	s.wipe(node)
	node.seeds, node.joins = s.someNames(), true
	s.start(node)
	s.readySince[node] = 0
}

// someNames returns the names of some instances that are not gone.
func (s *lossSchedule) someNames() []string {
	var names []string
	for _, node := range s.instances {
		if !s.gone[node] {
			names = append(names, node.id.Name)
		}
	}
	s.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:1+s.random.IntN(len(names))]
}

// wipeDisk empties the disk of an instance, which starts again soon.
func (s *lossSchedule) wipeDisk(node *instance) {
	if node.running {
		s.crash(node)
	}
	s.wipe(node)
	node.seeds, node.joins = s.someNames(), true
	s.readySince[node] = 0
	s.startAt[node] = s.now + cherviltide.Millis(s.random.IntN(2_000))
}

// addSuccessor adds an instance that is to replace another one.
func (s *lossSchedule) addSuccessor() {
	s.successor = s.addInstance(s.someNames())
	s.readySince[s.successor] = 0
}

// replaceOne ends an instance that has a successor, and wipes as many disks as may be lost soon after, or at once.
func (s *lossSchedule) replaceOne() {
	ready := s.readySince[s.successor]
	if ready == 0 || s.now-ready < syncTime {
		return
	}
	if slices.ContainsFunc(s.instances, func(node *instance) bool { return s.gone[node] && s.isVoter(node) }) {
		return
	}
	old := s.instances[s.random.IntN(len(s.instances))]
	if s.gone[old] || old == s.successor || !old.running || old.frozen || !s.isVoter(old) || s.lostDisks() > 0 {
		return
	}
	s.successor = nil
	if s.random.IntN(3) == 0 {
		old.voter.Leave()
		return
	}
	s.crash(old)
	s.gone[old] = true
	delete(s.readySince, old)
	if s.random.IntN(2) == 0 {
		s.loseDisks()
	}
}

// loseDisks wipes disks of voters, up to the number that may be lost.
func (s *lossSchedule) loseDisks() {
	nodes := slices.Clone(s.instances)
	s.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	for _, node := range nodes {
		if s.lostDisks() < s.losses && node != s.successor && !s.gone[node] && s.isVoter(node) && s.startAt[node] == 0 && !node.voter.leaving {
			s.wipeDisk(node)
		}
	}
}

// disrupt does a random event.
func (s *lossSchedule) disrupt() {
	node := s.instances[s.random.IntN(len(s.instances))]
	other := s.instances[s.random.IntN(len(s.instances))]
	_, starts := s.startAt[node]
	runs := node.running && !s.gone[node]
	switch s.random.IntN(14) {
	case 0, 1:
		if s.successor == nil && len(s.instances) < 9 {
			s.addSuccessor()
		}
	case 2, 3, 4:
		if s.successor != nil {
			s.replaceOne()
		}
	case 5:
		if s.successor == nil {
			s.loseDisks()
		}
	case 6:
		node.frozen = runs && !node.frozen
	case 7:
		s.cutLinks[[2]string{node.id.Name, other.id.Name}] = true
	case 8:
		if runs {
			s.crash(node)
		}
	case 9:
		for _, x := range s.instances {
			if x.running {
				s.crash(x)
			}
		}
	default:
		clear(s.cutLinks)
		for _, x := range s.instances {
			if x.frozen = false; !x.running && !s.gone[x] && s.startAt[x] == 0 {
				s.start(x)
			}
		}
		if !node.running && !s.gone[node] && starts {
			s.startAt[node] = s.now
		}
	}
}

// run runs a schedule and ends all that can end; then the group must replicate again.
func (s *lossSchedule) run(steps int) error {
	for range steps {
		s.advance()
		if s.random.IntN(4) == 0 {
			s.performOperation()
		}
		if s.random.IntN(60) == 0 {
			s.disrupt()
		}
		if s.violation != nil {
			return s.violation
		}
	}
	clear(s.cutLinks)
	target := len(s.committed) + 3
	for range 6000 {
		done := true
		for _, node := range s.instances {
			if s.gone[node] {
				continue
			}
			if node.frozen, node.diskDelay = false, 0; !node.running && s.startAt[node] == 0 {
				s.start(node)
			}
			// The seeds of the settings follow the replacements.
			node.voter.AddSeeds(s.someNames())
			done = done && node.running && int(node.appliedIndex) >= target
		}
		if s.violation != nil || done {
			return s.violation
		}
		if s.advance(); s.random.IntN(10) == 0 {
			s.propose()
		}
	}
	return fmt.Errorf("no progress: voters %v", s.voters)
}

// TestLossSchedules guards against a committed entry that is gone, and against a group without a majority for good, after a voter
// with a successor was killed and as many disks were lost as the deployment must bear.
func TestLossSchedules(t *testing.T) {
	for i := range scheduleCount(100) {
		seed := *firstSeed + uint64(i)
		losses := 1 + int(seed%2)
		s := newLossSchedule(t, seed, 2*losses+1+int(seed/2%3), losses)
		require.NoError(t, s.run(3000), "seed %d, %d losses", seed, losses)
	}
}
