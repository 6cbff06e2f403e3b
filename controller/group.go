package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
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

// snapshotEvery is the number of entries after which a group's log is replaced by a snapshot. A restarted instance applies
// what follows its snapshot at once, and neither votes nor answers meanwhile: an event of the membership places all buckets
// of a service again, which takes milliseconds, and a change of the configuration patches its text.
var snapshotEvery = map[string]uint64{groupConfiguration: 1_000, groupMembership: 64}

// Voter is a control instance that keeps the logs.
type Voter struct {
	Name string
	// URL is its base URL.
	URL string
}

// written is the end of a disk write.
type written struct {
	group    *group
	sequence uint64
	err      error
}

// proposal waits for its entry to be applied.
type proposal struct {
	term uint64
	done func(error)
}

// group drives one voter with its journal. Its methods run in the loop, except write.
type group struct {
	name    string
	log     *zap.Logger
	voter   *voter.Voter
	self    voter.ID
	journal *journaler.Journal
	inline  bool
	machine cherviltide.StateMachine
	// writes has room for the only write that can be under way.
	writes chan voter.Write
	// mailboxes has one for each peer that was sent to; send starts what empties a new one.
	mailboxes map[string]chan voter.Message
	send      func(mailbox <-chan voter.Message, to string)
	// proposals is keyed by index, reads by token.
	proposals map[uint64][]proposal
	reads     map[uint64]func(confirmed bool)
	token     uint64
	// ledTerm is the newest term in which this instance led.
	ledTerm  uint64
	admitted bool
	// applied is called after entries were applied.
	applied func()
}

func openGroup(config Config, name string, machine cherviltide.StateMachine) (*group, error) {
	fresh := voter.ID{Name: config.Name, Number: rand.Uint64()>>1 + 1}
	journal, self, stored, err := journaler.Open(config.Files, filepath.Join(config.Data, name), fresh)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, v := range config.Voters {
		names = append(names, v.Name)
	}
	g := &group{
		name: name, log: config.Log, self: self, journal: journal, inline: config.inline, machine: machine,
		writes:    make(chan voter.Write, 1),
		mailboxes: map[string]chan voter.Message{},
		proposals: map[uint64][]proposal{},
		reads:     map[uint64]func(bool){},
	}
	g.voter = voter.New(voter.Config{Self: self, Names: names, DynamicVoters: config.DynamicVoters, Bootstrap: config.Bootstrap, Seed: rand.Uint64()}, stored, 0)
	config.Log.Info("GroupOpened", zap.String("Group", name), zap.Uint64("Identity", self.Number),
		zap.Uint64("Snapshot", stored.Snapshot.Index), zap.Int("Entries", len(stored.Entries)))
	return g, nil
}

// leads reports whether this instance leads the group, and the term.
func (g *group) leads() (uint64, bool) {
	return g.voter.IsLeader()
}

// propose appends an entry and calls done from the loop: with nil after the entry was applied, or with a fault of kind
// Unavailable when it was not appended or was lost. Calls of done follow the order of the log.
func (g *group) propose(entry []byte, done func(error)) {
	index, term, err := g.voter.Propose(entry)
	if err != nil {
		done(err)
		return
	}
	g.proposals[index] = append(g.proposals[index], proposal{term: term, done: done})
}

// confirm calls done from the loop with true once a majority has confirmed the leadership and everything accepted
// before is applied, or with false when this instance does not lead.
func (g *group) confirm(done func(confirmed bool)) {
	g.token++
	g.reads[g.token] = done
	g.voter.ConfirmLeadership(g.token)
}

// step carries out what the voter asks, until it asks for nothing more.
func (g *group) step() error {
	for {
		out := g.voter.TakeOutput()
		if err := g.voter.Err(); err != nil {
			return err
		}
		if g.voter.IsRemoved() {
			return &ReplacedError{Group: g.name, Fault: cherviltide.Fault{
				Op: "controller.step", Kind: cherviltide.KindForbidden,
				Err: fmt.Errorf("%w: group %s; empty its folder to join again", errRemoved, g.name),
			}}
		}
		if out.Write != nil && g.inline {
			g.voter.WriteCompleted(out.Write.Sequence, g.journal.Write(*out.Write))
		} else if out.Write != nil {
			g.writes <- *out.Write
		}
		for _, m := range out.Messages {
			g.post(m)
		}
		if out.Restore != nil {
			if err := g.restore(out.Restore); err != nil {
				return err
			}
		}
		g.apply(out.Committed)
		for _, r := range out.Reads {
			done := g.reads[r.Token]
			delete(g.reads, r.Token)
			done(r.Confirmed)
		}
		g.noteAdmission()
		g.noteLeadership()
		if len(out.Committed)+len(out.Reads) == 0 && out.Restore == nil && !(g.inline && out.Write != nil) {
			return nil
		}
	}
}

func (g *group) noteAdmission() {
	if admitted := g.voter.IsAdmitted(); admitted != g.admitted {
		g.admitted = admitted
		g.log.Info("Admitted", zap.String("Group", g.name), zap.Uint64("Identity", g.self.Number))
	}
}

func (g *group) noteLeadership() {
	term, leads := g.voter.IsLeader()
	if leads && term != g.ledTerm {
		g.ledTerm = term
		g.log.Info("Leads", zap.String("Group", g.name), zap.Uint64("Term", term))
	}
}

// post hands a message to the sender of its peer. A full mailbox drops it, which a voter takes for a lost message.
func (g *group) post(m voter.Message) {
	mailbox, ok := g.mailboxes[m.To.Name]
	if !ok {
		if g.send == nil || len(g.mailboxes) == maxPeers {
			return
		}
		mailbox = make(chan voter.Message, mailboxSize)
		g.mailboxes[m.To.Name] = mailbox
		g.send(mailbox, m.To.Name)
	}
	select {
	case mailbox <- m:
	default:
	}
}

func (g *group) restore(s *voter.Snapshot) error {
	if err := g.machine.Restore(s.Index, s.Data); err != nil {
		return err
	}
	for index, list := range g.proposals {
		if index <= s.Index {
			g.finish(index, list, 0)
		}
	}
	g.applied()
	return nil
}

func (g *group) apply(entries []voter.Entry) {
	if len(entries) == 0 {
		return
	}
	for _, e := range entries {
		if e.Type == voter.EntryNormal && len(e.Data) > 0 {
			g.machine.Apply(e.Index, e.Data)
		}
	}
	g.applied()
	for _, e := range entries {
		if list, ok := g.proposals[e.Index]; ok {
			g.finish(e.Index, list, e.Term)
		}
	}
	g.compact()
}

func (g *group) finish(index uint64, list []proposal, term uint64) {
	delete(g.proposals, index)
	for _, p := range list {
		if p.term == term {
			p.done(nil)
		} else {
			p.done(fault("controller.propose", cherviltide.KindUnavailable, errLost))
		}
	}
}

func (g *group) compact() {
	if g.voter.Unsnapshotted() < snapshotEvery[g.name] {
		return
	}
	data, err := g.machine.Snapshot()
	if err != nil {
		g.log.Error("SnapshotFailed", zap.String("Group", g.name), zap.Error(err))
		return
	}
	g.voter.Compact(data)
}

// write runs the disk writes of the group, so that the loop never waits for a disk.
func (g *group) write(ctx context.Context, done chan<- written, syncs *prober.Histogram) error {
	defer func() { _ = g.journal.Close() }()
	for {
		select {
		case <-ctx.Done():
			return nil
		case w := <-g.writes:
			started := time.Now()
			err := g.journal.Write(w)
			syncs.Record(cherviltide.MillisOf(time.Since(started)))
			select {
			case done <- written{group: g, sequence: w.Sequence, err: err}:
			case <-ctx.Done():
				return nil
			}
		}
	}
}
