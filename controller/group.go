package controller

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"time"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/journaler"
	"cherviltide.example/cherviltide/prober"
	"cherviltide.example/cherviltide/voter"
)

// The replicated groups.
const (
	groupConfiguration = "Configuration"
	groupMembership    = "Membership"
)

// snapshotIntervals has the number of entries after which a group's log is replaced by a snapshot, unless the size of the
// entries demands it earlier. A restarted instance
// applies all entries after its snapshot in one go and neither votes nor responds meanwhile. A membership event is the more
// expensive entry: it assigns all buckets of a service again, which takes milliseconds, while a configuration entry only
// patches the text.
var snapshotIntervals = map[string]uint64{groupConfiguration: 1_000, groupMembership: 64}

// Voter is the address of a control instance that stores the replicated logs.
type Voter struct {
	Name string
	// URL is the base URL of the instance.
	URL string
}

// writeResult is the result of a disk write.
type writeResult struct {
	group    *group
	sequence uint64
	err      error
}

// proposal is a proposed entry that has not been applied yet.
type proposal struct {
	term uint64
	done func(error)
}

// group runs the voter of one replicated group with its journal. All methods but runWrites run in the loop.
type group struct {
	name              string
	log               *zap.Logger
	voter             *voter.Voter
	self              voter.ID
	journal           *journaler.Journal
	synchronousWrites bool
	stateMachine      cherviltide.StateMachine
	// writes has a buffer for one write; a voter has at most one in progress.
	writes chan voter.Write
	// mailboxes has the outgoing messages of each peer; startSender starts a goroutine that sends those of one mailbox.
	mailboxes map[string]*mailboxes
	// messages counts the messages that were put into mailboxes.
	messages    uint64
	startSender func(mailbox <-chan voter.Message, to string)
	// proposals is keyed by log index, pendingReads by token.
	proposals    map[uint64][]proposal
	pendingReads map[uint64]func(confirmed bool)
	token        uint64
	// lastLedTerm is the newest term in which this instance was leader.
	lastLedTerm uint64
	admitted    bool
	// minVoters is the number of voters that the deployment needs; 0 if it is not known.
	minVoters int
	watched   groupWatch
	// lostVoters are the voters known to have lost their disks, as they were last logged.
	lostVoters []voter.ID
	// leaving is true after a call of Leave.
	leaving bool
	// applyTimes records how long the application of entries takes; nil records nothing.
	applyTimes phaseTimes
	// onApplied is called after entries or a snapshot were applied.
	onApplied func()
}

func openGroup(config Config, name string, stateMachine cherviltide.StateMachine) (*group, error) {
	newID := voter.ID{Name: config.Name, Number: rand.Uint64()>>1 + 1}
	journal, self, stored, err := journaler.Open(config.Files, filepath.Join(config.Data, name), newID)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, v := range config.Voters {
		names = append(names, v.Name)
	}
	g := &group{
		name: name, log: config.Log, self: self, journal: journal, synchronousWrites: config.synchronousWrites, stateMachine: stateMachine,
		writes:       make(chan voter.Write, 1),
		mailboxes:    map[string]*mailboxes{},
		proposals:    map[uint64][]proposal{},
		pendingReads: map[uint64]func(bool){},
		minVoters:    config.MinVoters, watched: groupWatch{answers: map[string]voter.MessageType{}},
	}
	g.voter = voter.New(voter.Config{Self: self, Names: names, DynamicVoters: config.DynamicVoters, MinVoters: config.MinVoters, Bootstrap: config.Bootstrap, Seed: rand.Uint64()}, stored, 0)
	config.Log.Info("GroupOpened", zap.String("Group", name), zap.Uint64("Identity", self.Number),
		zap.Uint64("Snapshot", stored.Snapshot.Index), zap.Int("Entries", len(stored.Entries)), zap.Int("TornBytes", journal.DroppedBytes()))
	return g, nil
}

// isLeader returns the term, and whether this instance leads the group.
func (g *group) isLeader() (uint64, bool) {
	return g.voter.IsLeader()
}

// propose appends an entry and calls done from the loop: with nil after the entry was applied, or with an error of kind
// Unavailable when it was not appended or was lost. The calls of done follow the order of the log.
func (g *group) propose(entry []byte, done func(error)) {
	index, term, err := g.voter.Propose(entry)
	if err != nil {
		done(err)
		return
	}
	g.proposals[index] = append(g.proposals[index], proposal{term: term, done: done})
}

// confirmLeadership calls done from the loop: with true once a majority has confirmed that this instance leads and all
// entries committed before are applied, or with false when this instance does not lead.
func (g *group) confirmLeadership(done func(confirmed bool)) {
	g.token++
	g.pendingReads[g.token] = done
	g.voter.ConfirmLeadership(g.token)
}

// processOutput carries out the output of the voter until there is no more.
func (g *group) processOutput() error {
	for {
		out := g.voter.TakeOutput()
		if err := g.voter.Err(); err != nil {
			return err
		}
		if g.voter.IsRemoved() && !g.leaving {
			return &ReplacedError{Group: g.name, Fault: cherviltide.Fault{
				Op: "controller.processOutput", Kind: cherviltide.KindForbidden,
				Err: fmt.Errorf("%w: group %s; empty its directory to join again", errRemoved, g.name),
			}}
		}
		if out.Write != nil && g.synchronousWrites {
			g.completeWrite(out.Write.Sequence, g.journal.Write(*out.Write))
		} else if out.Write != nil {
			g.writes <- *out.Write
		}
		for _, m := range out.Messages {
			g.enqueue(m)
		}
		if out.Restore != nil {
			if err := g.restore(out.Restore); err != nil {
				return err
			}
		}
		g.apply(out.Committed)
		for _, r := range out.Reads {
			done := g.pendingReads[r.Token]
			delete(g.pendingReads, r.Token)
			done(r.Confirmed)
		}
		g.logAdmission()
		g.logLostVoters()
		g.logLeadership()
		if len(out.Committed)+len(out.Reads) == 0 && out.Restore == nil && !(g.synchronousWrites && out.Write != nil) {
			return nil
		}
	}
}

// completeWrite reports the result of a write to the voter.
func (g *group) completeWrite(sequence uint64, err error) {
	if errors.Is(err, journaler.ErrNotCompacted) {
		g.log.Warn("CompactionPostponed", zap.String("Group", g.name), zap.Int("LogBytes", g.voter.UnsnapshottedBytes()), zap.Error(err))
		g.voter.CompactionPostponed(sequence)
		return
	}
	g.voter.WriteCompleted(sequence, err)
}

func (g *group) logAdmission() {
	if admitted := g.voter.IsAdmitted(); admitted != g.admitted {
		g.admitted = admitted
		g.log.Info("Admitted", zap.String("Group", g.name), zap.Uint64("Identity", g.self.Number))
	}
}

// logLostVoters logs voters whose disks are known to be lost.
func (g *group) logLostVoters() {
	lost := g.voter.LostVoters()
	for _, id := range lost {
		if !slices.Contains(g.lostVoters, id) {
			g.log.Warn("VoterLost", zap.String("Group", g.name), zap.String("Peer", id.Name), zap.Uint64("Identity", id.Number))
		}
	}
	g.lostVoters = lost
}

func (g *group) logLeadership() {
	term, leads := g.voter.IsLeader()
	if leads && term != g.lastLedTerm {
		g.lastLedTerm = term
		g.log.Info("Leads", zap.String("Group", g.name), zap.Uint64("Term", term))
	}
}

// mailboxes has the outgoing messages of a peer. Large ones have a mailbox and a connection of their own: behind an entry of
// several hundred KB, heartbeats would arrive too late on a slow machine, and an edit would cause an election. A large message
// that finds another one waiting is dropped; it is most likely a repetition.
type mailboxes struct {
	small, large chan voter.Message
	// usedAt is the number of the last message that was put into one of them.
	usedAt uint64
}

// enqueue puts a message into a mailbox of its peer. It drops the message when the mailbox is full; voters tolerate lost
// messages.
func (g *group) enqueue(m voter.Message) {
	boxes, ok := g.mailboxes[m.To.Name]
	if !ok {
		if g.startSender == nil {
			return
		}
		if len(g.mailboxes) == maxPeers {
			g.closeOldestMailboxes()
		}
		boxes = &mailboxes{small: make(chan voter.Message, mailboxCapacity), large: make(chan voter.Message, 1)}
		g.mailboxes[m.To.Name] = boxes
		g.startSender(boxes.small, m.To.Name)
		g.startSender(boxes.large, m.To.Name)
	}
	g.messages++
	boxes.usedAt = g.messages
	mailbox := boxes.small
	if m.Size() > largeMessageBytes {
		mailbox = boxes.large
	}
	select {
	case mailbox <- m:
	default:
	}
}

// closeOldestMailboxes ends the senders of the peer that got no message for longest. Without it, no message would reach a new
// instance once maxPeers others have come and gone.
func (g *group) closeOldestMailboxes() {
	oldest := ""
	for name, boxes := range g.mailboxes {
		if oldest == "" || boxes.usedAt < g.mailboxes[oldest].usedAt {
			oldest = name
		}
	}
	close(g.mailboxes[oldest].small)
	close(g.mailboxes[oldest].large)
	delete(g.mailboxes, oldest)
}

func (g *group) restore(s *voter.Snapshot) error {
	if err := g.stateMachine.Restore(s.Index, s.Data); err != nil {
		return err
	}
	for index, list := range g.proposals {
		if index <= s.Index {
			g.completeProposals(index, list, 0)
		}
	}
	g.onApplied()
	return nil
}

func (g *group) apply(entries []voter.Entry) {
	if len(entries) == 0 {
		return
	}
	started := time.Now()
	for _, e := range entries {
		if e.Type == voter.EntryNormal && len(e.Data) > 0 {
			g.stateMachine.Apply(e.Index, e.Data)
		}
	}
	g.onApplied()
	if g.applyTimes != nil {
		g.applyTimes.since(started, phaseApply)
	}
	for _, e := range entries {
		if list, ok := g.proposals[e.Index]; ok {
			g.completeProposals(e.Index, list, e.Term)
		}
	}
	g.compact()
}

// completeProposals completes the proposals of an applied index. Those of another term were overwritten by a new leader.
func (g *group) completeProposals(index uint64, list []proposal, term uint64) {
	delete(g.proposals, index)
	for _, p := range list {
		if p.term == term {
			p.done(nil)
		} else {
			p.done(fault("controller.propose", cherviltide.KindUnavailable, errEntryLost))
		}
	}
}

func (g *group) compact() {
	if !g.voter.NeedsCompaction(snapshotIntervals[g.name]) {
		return
	}
	data, err := g.stateMachine.Snapshot()
	if err != nil {
		g.log.Error("SnapshotFailed", zap.String("Group", g.name), zap.Error(err))
		return
	}
	g.voter.Compact(data)
}

// runWrites executes the disk writes of the group in a goroutine of its own, so that the loop never waits for a disk.
func (g *group) runWrites(ctx context.Context, done chan<- writeResult, syncTimes *prober.Histogram) error {
	defer func() { _ = g.journal.Close() }()
	for {
		select {
		case <-ctx.Done():
			return nil
		case w := <-g.writes:
			started := time.Now()
			err := g.journal.Write(w)
			syncTimes.Record(cherviltide.MillisOf(time.Since(started)))
			select {
			case done <- writeResult{group: g, sequence: w.Sequence, err: err}:
			case <-ctx.Done():
				return nil
			}
			if err == nil {
				g.markSynced()
			}
		}
	}
}

// markSynced marks the end of a write whose result was reported. Without the mark nothing is lost.
func (g *group) markSynced() {
	if err := g.journal.MarkSynced(); err != nil {
		g.log.Warn("WriteNotMarked", zap.String("Group", g.name), zap.Error(err))
	}
}
