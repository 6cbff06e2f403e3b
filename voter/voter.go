// Package voter is a Raft-shaped replicated log as a state machine without sockets, disks, goroutines or clock.
// Its owner passes in messages, proposals, disk completions and the time, and carries out what TakeOutput returns.
package voter

import (
	"math/rand/v2"
	"slices"

	"cherviltide.example/cherviltide"
)

// Sizes in bytes.
const (
	// MaxEntry is the largest entry that can be proposed. It bounds a message together with batchSize.
	MaxEntry = 4 << 20
	// batchSize bounds the entries of a message that has more than one, and the part of a snapshot in a message.
	batchSize     = 256 << 10
	entryOverhead = 32
)

// Times.
const (
	// Heartbeat is the time between two messages of a leader to a voter.
	Heartbeat cherviltide.Millis = 100
	// ElectionTimeout is the shortest silence after which a voter seeks election, and the longest time for which
	// a leader may be without a majority. The longest silence is twice as long.
	ElectionTimeout cherviltide.Millis = 600
	// leaderlessTimeout takes the place of ElectionTimeout for a voter that has heard from no leader for long. Two rounds
	// of messages and a disk sync fit into it.
	leaderlessTimeout cherviltide.Millis = 150
)

// tail is how many entries before the snapshot stay in memory, so that a voter that is a little behind needs no snapshot.
const tail = 4096

// Config describes a voter.
type Config struct {
	Self ID
	// Names are the instances that may be voters, this one included. The first of them founds a new system.
	Names []string
	// DynamicVoters admits voters that are not in Names, which are then those that found the system. A silent voter is removed
	// when that costs no tolerance of failures.
	DynamicVoters bool
	// Bootstrap allows this voter to found a system. It does so only after all others of Names showed that they are blank.
	Bootstrap bool
	Seed      uint64
	// Batch bounds the bytes of a message that has more than one entry; 0 means 256 KiB.
	Batch int
	// off disables mechanisms, so that tests can show that each is needed.
	off switches
}

func (c Config) batch() int {
	if c.Batch > 0 {
		return c.Batch
	}
	return batchSize
}

// switches are mechanisms that are off.
type switches struct {
	preVote, sync, readRound, ownTerm, checkQuorum, changeInTurn bool
}

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// Voter is one voter of a group. One goroutine uses it.
type Voter struct {
	config Config
	hard   HardState
	log    memory
	// snapshot is the newest one; it is zero when there is none.
	snapshot Snapshot
	role     role
	// leader is zero when it is not known.
	leader ID
	random *rand.Rand
	// now is the sum of the forward steps of the time, so it never goes back.
	now, clock cherviltide.Millis
	electionAt cherviltide.Millis
	// heard is when the voter last heard from a leader of its term.
	heard cherviltide.Millis
	// commit >= applied
	commit, applied uint64
	disk            disk
	failed          error
	removed         bool
	// votes has the answers of this election.
	votes map[ID]bool
	// blank has the voters that showed an empty log to this identity.
	blank  map[string]ID
	joinAt cherviltide.Millis
	// told has the names of instances that others named, learntAt is when the last of them was new. diskless has those
	// that cannot be voters.
	told     []ID
	learntAt cherviltide.Millis
	diskless map[string]bool
	incoming *incoming

	// The following belong to the leader.
	peers map[ID]*peer
	// start is the index of the first entry of the leader's term.
	start uint64
	round uint64
	reads []read
	beat  cherviltide.Millis
	// mark is what was committed at the last heartbeat; a new voter must have it.
	mark uint64

	out Output
}

// New returns a voter that continues from what its disk holds.
func New(config Config, stored StoredState, now cherviltide.Millis) *Voter {
	v := &Voter{
		config:   config,
		hard:     stored.Hard,
		log:      newMemory(stored.Snapshot, stored.Entries),
		snapshot: stored.Snapshot,
		random:   rand.New(rand.NewPCG(config.Seed, config.Self.Number)),
		clock:    now,
		heard:    -2 * ElectionTimeout,
		commit:   stored.Snapshot.Index,
		blank:    map[string]ID{},
		diskless: map[string]bool{},
	}
	v.disk.durable = v.log.last()
	if v.snapshot.Index > 0 {
		restore := v.snapshot
		v.out.Restore = &restore
		v.applied = v.snapshot.Index
	}
	v.resetElection()
	return v
}

// Tick tells the time. It may step in either direction; a step back counts as no time.
func (v *Voter) Tick(now cherviltide.Millis) {
	v.now += max(now-v.clock, 0)
	v.clock = now
	if v.failed != nil {
		return
	}
	v.seekAdmission()
	if v.role == leader {
		v.tickLeader()
		return
	}
	if v.now >= v.electionAt && v.mayCampaign() {
		v.preCampaign()
	}
}

// TakeOutput returns what is to be done since the last call.
func (v *Voter) TakeOutput() Output {
	if v.failed != nil {
		v.out.Messages, v.disk.held = nil, nil
	} else {
		v.advance()
		v.startWrite()
	}
	out := v.out
	v.out = Output{}
	return out
}

// Leader returns the leader, and false when it is not known.
func (v *Voter) Leader() (ID, bool) {
	return v.leader, v.leader != ID{}
}

// IsLeader reports whether this voter is the leader, and its term.
func (v *Voter) IsLeader() (uint64, bool) {
	return v.hard.Term, v.role == leader && v.failed == nil
}

// IsCurrent reports whether this voter leads, or has heard from a leader within the longest election timeout, and can store
// what it hears.
func (v *Voter) IsCurrent() bool {
	return v.failed == nil && !v.disk.stalled(v.now) && (v.role == leader || v.now-v.heard < 2*ElectionTimeout)
}

// AppliedIndex returns the index of the last entry that TakeOutput has returned.
func (v *Voter) AppliedIndex() uint64 {
	return v.applied
}

// Voters returns the newest set of voters.
func (v *Voter) Voters() []ID {
	return slices.Clone(v.log.voters().ids)
}

// IsRemoved reports whether this identity was a voter and was replaced or removed; it takes no part any more.
func (v *Voter) IsRemoved() bool {
	return v.removed
}

// IsAdmitted reports whether this identity was among committed voters.
func (v *Voter) IsAdmitted() bool {
	return v.hard.Admitted
}

// Err returns the error that stopped the voter, or nil.
func (v *Voter) Err() error {
	return v.failed
}

// Unsnapshotted returns the number of applied entries that no snapshot covers.
func (v *Voter) Unsnapshotted() uint64 {
	return v.applied - v.snapshot.Index
}

func (v *Voter) isVoter(id ID) bool {
	return slices.Contains(v.log.voters().ids, id)
}

func (v *Voter) quorum(has func(ID) bool) bool {
	ids := v.log.voters().ids
	n := 0
	for _, id := range ids {
		if has(id) {
			n++
		}
	}
	return n > len(ids)/2
}

// advance moves committed and durable entries to the output.
func (v *Voter) advance() {
	if set := v.log.votersAt(v.commit); v.commit > 0 && len(set.ids) > 0 {
		v.noteCommittedVoters(set)
	}
	if v.disk.installing {
		return
	}
	end := min(v.commit, v.disk.durable)
	if end > v.applied {
		from := v.applied - v.log.base
		v.out.Committed = append(v.out.Committed, v.log.entries[from:end-v.log.base]...)
		v.applied = end
	}
	v.finishReads()
}

// noteCommittedVoters records the admission of this identity, and acts on its removal.
func (v *Voter) noteCommittedVoters(set voters) {
	member := slices.Contains(set.ids, v.config.Self)
	if member && !v.hard.Admitted && v.disk.durable >= set.index {
		v.hard.Admitted = true
		v.disk.hard = true
	}
	// After a restart the commit index is behind, so an older set says nothing about this identity.
	if !member && v.hard.Admitted && set.index == v.log.voters().index {
		v.removed = true
		if v.role == leader {
			v.follow(v.hard.Term, ID{})
		}
	}
}

func (v *Voter) fail(err error) {
	if v.failed == nil {
		v.failed = err
		v.follow(v.hard.Term, ID{})
	}
}
