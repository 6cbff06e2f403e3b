// Package voter implements a log that is replicated with the Raft protocol, as a deterministic state machine. It uses
// no sockets, disks, goroutines or clock: its owner passes in messages, proposals, completed disk writes and the time,
// and carries out what TakeOutput returns.
package voter

import (
	"math/rand/v2"
	"slices"

	"cherviltide.example/cherviltide"
)

// Sizes in bytes.
const (
	// MaxEntrySize is the largest entry that can be proposed. Together with defaultBatchSize it bounds the size of a
	// message.
	MaxEntrySize = 4 << 20
	// defaultBatchSize bounds a message that has more than one entry, and the part of a snapshot in one message.
	defaultBatchSize = 256 << 10
	// entryOverhead is the approximate encoded size of an entry without its data.
	entryOverhead = 32
)

// Intervals and timeouts.
const (
	// HeartbeatInterval is the time between two heartbeats of a leader to a voter.
	HeartbeatInterval cherviltide.Millis = 100
	// ElectionTimeout is the shortest time without contact with a leader after which a voter starts an election; the
	// time is random and less than twice as long. It is also the longest time for which a leader may be without contact
	// with a majority.
	ElectionTimeout cherviltide.Millis = 600
	// leaderlessTimeout replaces ElectionTimeout for a voter that has had no contact with a leader for 2*ElectionTimeout.
	// Two rounds of messages and a disk sync fit into it.
	leaderlessTimeout cherviltide.Millis = 150
	// maxElectionShift is how often leaderlessTimeout is doubled when nobody wins an election. Two syncs of a second fit into the
	// result.
	maxElectionShift = 4
)

// retainedEntries and retainedBytes bound the entries before the snapshot that stay in memory, so that a voter that is a
// little behind needs no snapshot.
const (
	retainedEntries = 4096
	retainedBytes   = 1 << 20
)

// maxUncommittedBytes bounds the entries that no majority has stored yet. Without it, operators who send an edit again
// while the voters' disks stall would fill the leader's memory.
const maxUncommittedBytes = MaxEntrySize

// Config configures a voter.
type Config struct {
	Self ID
	// Names are the instances that may be voters, including this one. Without DynamicVoters the first of them bootstraps
	// a new group.
	Names []string
	// DynamicVoters admits voters that are not in Names; Names then only bootstrap the group. A voter that leaves or is
	// unresponsive is removed if the smaller voter set tolerates as many failures.
	DynamicVoters bool
	// MinVoters is the number of voters that tolerates the failures that the deployment must survive. A set of odd size is
	// reduced, by two voters that are gone, only if it keeps that many; 0 means that it is never reduced.
	MinVoters int
	// Bootstrap allows this voter to bootstrap a new group. It does so only after every other instance of Names has
	// reported an empty log, or with DynamicVoters, every other known instance that has a disk. With DynamicVoters it is stored, and
	// still holds when a later start does not set it.
	Bootstrap bool
	Seed      uint64
	// BatchSize bounds the bytes of a message that has more than one entry, and of the part of a snapshot in one message;
	// 0 means 256 KiB.
	BatchSize int
	// disabled turns off parts of the protocol, so that tests can show that each of them is needed.
	disabled disabledProtections
}

func (c Config) batchLimit() int {
	if c.BatchSize > 0 {
		return c.BatchSize
	}
	return defaultBatchSize
}

// disabledProtections has the parts of the protocol that are turned off in a test.
type disabledProtections struct {
	preVote, syncBeforeSend, readConfirmation, ownTermCommit, checkQuorum, oneChangeAtATime, jointQuorum, lostBeforeTerm, foundingPromise bool
}

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// Voter is one member of a Raft group. It is not safe for concurrent use.
type Voter struct {
	config    Config
	hardState HardState
	log       memoryLog
	// snapshot is the newest snapshot; it is zero if there is none.
	snapshot Snapshot
	role     role
	// leader is the zero ID if it is not known. formerLeader is the last leader that sent a message.
	leader, formerLeader ID
	random               *rand.Rand
	// now adds up the forward steps of the time that Tick was given, so it never goes back; lastTick is the time of the
	// last call.
	now, lastTick    cherviltide.Millis
	electionDeadline cherviltide.Millis
	// elections is the number of elections that this voter has started since there was a leader.
	elections int
	// leaderContact is the time of the last message from a leader of the current term.
	leaderContact cherviltide.Millis
	// commitIndex >= appliedIndex
	commitIndex, appliedIndex uint64
	// progress tells how far the applied entries are behind those that the leader has committed.
	progress progress
	// unsnapshottedBytes is the size of the applied entries that are not covered by a snapshot.
	unsnapshottedBytes int
	disk               diskState
	failure            error
	removed            bool
	// leaving is true after a call of Leave. mayStop is true once the leader has replied that this identity stays a voter.
	leaving, mayStop bool
	// nextLeave is when the next Leave message is due.
	nextLeave cherviltide.Millis
	// lost has the voters whose disks are known to have been emptied, and lostBeforeTerm those that were known when this voter
	// last started an election. Neither map is changed for a voter set that does not decide any more.
	lost, lostBeforeTerm map[ID]bool
	// votes are the votes granted in the current election.
	votes map[ID]bool
	// attempt is the attempt of this voter to found a group.
	attempt attempt
	// founderLost is true when this voter has promised to another founder before, whose disk is lost. groupExists is true when
	// another instance was seen to have a log.
	founderLost, groupExists bool
	// emptyVoters are the voters, by instance name, that reported an empty log to this identity.
	emptyVoters map[string]ID
	// nextJoin is when the next Join messages are due.
	nextJoin cherviltide.Millis
	// seeds are further instances to ask for admission: senders of messages, and those named by other instances or by AddSeeds, the one
	// that was silent for longest first. lastNewSeed is when one was last added. foundsNothing are the instances that take no part in
	// a founding, because they have no disk or may have lost it.
	seeds         []ID
	lastNewSeed   cherviltide.Millis
	foundsNothing map[string]bool
	incoming      *incomingSnapshot

	// The following fields are used only by the leader.
	peers map[ID]*peer
	// termStart is the index of the first entry of the leader's term.
	termStart uint64
	// round is the number of the newest broadcast.
	round         uint64
	pendingReads  []pendingRead
	nextHeartbeat cherviltide.Millis
	// admissionIndex is the commit index at the last heartbeat; a joining voter must have caught up to it.
	admissionIndex uint64

	output Output
}

// New returns a voter that continues from the state on its disk.
func New(config Config, stored StoredState, now cherviltide.Millis) *Voter {
	v := &Voter{
		config:        config,
		hardState:     stored.Hard,
		log:           newMemoryLog(stored.Snapshot, stored.Entries),
		snapshot:      stored.Snapshot,
		random:        rand.New(rand.NewPCG(config.Seed, config.Self.Number)),
		lastTick:      now,
		leaderContact: -2 * ElectionTimeout,
		commitIndex:   stored.Snapshot.Index,
		emptyVoters:   map[string]ID{},
		foundsNothing: map[string]bool{},
		lost:          map[ID]bool{},
	}
	v.disk.durableIndex, v.disk.durableTerm = v.log.lastIndex(), stored.Hard.Term
	if v.snapshot.Index > 0 {
		restore := v.snapshot
		v.output.Restore = &restore
		v.appliedIndex = v.snapshot.Index
	}
	for _, set := range v.log.voterSets {
		v.learnVoters(set)
	}
	v.restorePromise()
	v.storePart()
	v.resetElectionTimer()
	return v
}

// Tick advances the time. The given time may jump in either direction; a jump back counts as no time.
func (v *Voter) Tick(now cherviltide.Millis) {
	v.now += max(now-v.lastTick, 0)
	v.lastTick = now
	if v.failure != nil {
		return
	}
	v.retryCompaction()
	v.requestAdmission()
	v.announceLeave()
	if v.role == leader {
		v.tickLeader()
		return
	}
	if v.now >= v.electionDeadline && v.mayCampaign() {
		v.startPreVote()
	}
}

// TakeOutput returns and clears the work that has accumulated since the last call.
func (v *Voter) TakeOutput() Output {
	if v.failure != nil {
		v.output.Messages, v.disk.heldMessages = nil, nil
	} else {
		v.emitCommitted()
		v.startWrite()
	}
	out := v.output
	v.output = Output{}
	return out
}

// Leader returns the current leader, and false if it is not known.
func (v *Voter) Leader() (ID, bool) {
	return v.leader, v.leader != ID{}
}

// IsLeader returns the current term and reports whether this voter is the leader.
func (v *Voter) IsLeader() (uint64, bool) {
	return v.hardState.Term, v.role == leader && v.failure == nil
}

// IsCurrent reports whether this voter is up to date: it leads, or a leader has contacted it within the longest
// election timeout, it has applied what the leader had committed that long ago, and its disk completes writes.
func (v *Voter) IsCurrent() bool {
	return v.IsCurrentWithin(2 * ElectionTimeout)
}

// IsCurrentWithin reports the same with another limit of the time since the last contact with a leader.
func (v *Voter) IsCurrentWithin(limit cherviltide.Millis) bool {
	return v.failure == nil && !v.disk.isStalled(v.now) && (v.role == leader || v.now-v.leaderContact < limit) && v.progress.isWithin(limit, v.now)
}

// AppliedIndex returns the index of the last entry that TakeOutput has returned.
func (v *Voter) AppliedIndex() uint64 {
	return v.appliedIndex
}

// Voters returns the newest voter set, committed or not.
func (v *Voter) Voters() []ID {
	return slices.Clone(v.log.currentVoters().ids)
}

// IsRemoved reports whether this identity was a voter and has been replaced or removed. It never becomes a voter again.
func (v *Voter) IsRemoved() bool {
	return v.removed
}

// IsAdmitted reports whether this identity has been in a committed voter set.
func (v *Voter) IsAdmitted() bool {
	return v.hardState.Admitted
}

// Err returns the error that stopped the voter, or nil.
func (v *Voter) Err() error {
	return v.failure
}

// UnsnapshottedBytes returns the size of the applied entries that are not covered by a snapshot.
func (v *Voter) UnsnapshottedBytes() int {
	return v.unsnapshottedBytes
}

// Unsnapshotted returns the number of applied entries that are not covered by a snapshot.
func (v *Voter) Unsnapshotted() uint64 {
	return v.appliedIndex - v.snapshot.Index
}

// KnownInstances returns the names of all other instances that this voter asks, or sends messages to.
func (v *Voter) KnownInstances() []string {
	return v.otherInstances()
}

// PresentVoters returns the voters that a leader has heard from lately and whose disks are not known to be lost, itself included.
// It returns false if this voter does not lead.
func (v *Voter) PresentVoters() ([]ID, bool) {
	if v.role != leader {
		return nil, false
	}
	return slices.DeleteFunc(v.Voters(), func(id ID) bool {
		p := v.peers[id]
		return id != v.config.Self && (p == nil || v.lost[id] || v.now-p.lastContact > 2*ElectionTimeout)
	}), true
}

func (v *Voter) isVoter(id ID) bool {
	return slices.Contains(v.log.currentVoters().ids, id)
}

// emitCommitted moves entries that are committed and durable on this voter to the output.
func (v *Voter) emitCommitted() {
	if set := v.log.votersAt(v.commitIndex); v.commitIndex > 0 && len(set.ids) > 0 {
		v.applyCommittedVoters(set)
	}
	if v.disk.installing {
		return
	}
	end := min(v.commitIndex, v.disk.durableIndex)
	if end > v.appliedIndex {
		from := v.appliedIndex - v.log.baseIndex
		applied := v.log.entries[from : end-v.log.baseIndex]
		v.unsnapshottedBytes += entriesSize(applied)
		v.output.Committed = append(v.output.Committed, applied...)
		v.appliedIndex = end
	}
	v.progress.advance(v.appliedIndex, v.now)
	v.completeReads()
}

// applyCommittedVoters records the admission of this identity, and stops the voter's participation when it was removed.
func (v *Voter) applyCommittedVoters(set voterSet) {
	member := slices.Contains(set.ids, v.config.Self)
	if member && !v.hardState.Admitted && v.disk.durableIndex >= set.index {
		v.hardState.Admitted = true
		v.disk.hardStateDirty = true
	}
	// After a restart the commit index lags, so an older voter set does not tell whether this identity was removed. A leader that was
	// removed goes on until the others know for sure that its removal is committed.
	if !member && v.hardState.Admitted && set.index == v.log.currentVoters().index && !(v.role == leader && v.needsConfirmation()) {
		v.removed = true
		if v.role == leader {
			v.becomeFollower(v.hardState.Term, ID{})
		}
	}
}

func (v *Voter) fail(err error) {
	if v.failure == nil {
		v.failure = err
		v.becomeFollower(v.hardState.Term, ID{})
	}
}
