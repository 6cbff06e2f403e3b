package voter

import (
	"cmp"
	"slices"
	"strings"

	"cherviltide.example/cherviltide"
)

// foundingTerms is the number of terms from which a founder chooses its first one.
const foundingTerms = 1 << 20

func compare(a, b ID) int {
	if c := strings.Compare(a.Name, b.Name); c != 0 {
		return c
	}
	return cmp.Compare(a.Number, b.Number)
}

// seekAdmission asks the named instances for admission while this identity has never been a voter. Its votes count
// nowhere until then, because candidates count identities and not names. An identity that was a voter asks only to
// learn of its removal.
func (v *Voter) seekAdmission() {
	if v.removed || v.now < v.joinAt {
		return
	}
	if v.isVoter(v.config.Self) {
		v.greet()
		return
	}
	v.joinAt = v.now + Heartbeat
	if v.mayFound() {
		v.found()
		return
	}
	for _, name := range v.askNames() {
		v.promise(Message{Type: MessageJoin, To: ID{Name: name}, Reject: v.hard.Admitted})
	}
}

// AddSeeds adds instances to ask for admission, beside those of the configuration.
func (v *Voter) AddSeeds(names []string) {
	for _, name := range names {
		v.learn([]ID{{Name: name}})
	}
}

// maxTold bounds the instances that are remembered.
const maxTold = 64

func (v *Voter) learn(ids []ID) {
	for _, id := range ids {
		id = ID{Name: id.Name}
		if id.Name != v.config.Self.Name && !slices.Contains(v.told, id) && len(v.told) < maxTold {
			v.told = append(v.told, id)
			v.learntAt = v.now
		}
	}
}

// greetInterval is the time between two greetings.
const greetInterval cherviltide.Millis = 300

// greet shows a voter of an open group to the known instances that are no voters. One without a disk learns by it where
// the voters are. A voter without a leader shows itself to all: it may have been removed while the voters that it knows were
// replaced, and learns of that from the leader only.
func (v *Voter) greet() {
	v.joinAt = v.now + greetInterval
	if !v.config.DynamicVoters {
		return
	}
	alone := v.role != leader && v.now-v.heard >= 2*ElectionTimeout
	for _, name := range v.askNames() {
		if alone || !slices.ContainsFunc(v.log.voters().ids, func(id ID) bool { return id.Name == name }) {
			v.promise(Message{Type: MessageJoin, To: ID{Name: name}, Reject: true})
		}
	}
}

// askNames returns the other instances that may know the leader.
func (v *Voter) askNames() []string {
	names := slices.Clone(v.config.Names)
	for _, id := range append(v.Voters(), v.told...) {
		names = append(names, id.Name)
	}
	slices.Sort(names)
	return slices.DeleteFunc(slices.Compact(names), func(name string) bool { return name == v.config.Self.Name })
}

func (v *Voter) mayJoin(name string) bool {
	return v.config.DynamicVoters || slices.Contains(v.config.Names, name)
}

func (v *Voter) isBlank() bool {
	return v.log.last() == 0
}

// mayFound reports whether this voter may start a new system: every other named instance must have shown to this
// identity that its log is empty. A wiped founder thus never starts a second system beside the first. In an open group the
// founder is the first of all known instances with a disk, and waits until no further one has shown up for a while.
func (v *Voter) mayFound() bool {
	if !v.config.Bootstrap || !v.isBlank() {
		return false
	}
	if !v.config.DynamicVoters {
		return v.config.Names[0] == v.config.Self.Name && len(v.blank) == len(v.config.Names)-1
	}
	for _, name := range v.askNames() {
		_, blank := v.blank[name]
		if !v.diskless[name] && (!blank || name < v.config.Self.Name) {
			return false
		}
	}
	return v.now-v.learntAt >= foundingPause
}

// foundingPause is how long the founder of an open group waits for further instances. All instances of a new system start
// at about the same time.
const foundingPause cherviltide.Millis = 500

func (v *Voter) found() {
	ids := []ID{v.config.Self}
	for _, id := range v.blank {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compare)
	// The term differs between two attempts of a founder that lost its disk, so their first entries never pass as equal.
	v.follow(v.hard.Term+1+v.random.Uint64N(foundingTerms), ID{})
	v.append(Entry{Index: 1, Term: v.hard.Term, Type: EntryVoters, Data: encodeVoters(ids)})
	v.electionAt = v.now
}

func (v *Voter) onJoin(m Message) {
	if v.config.DynamicVoters {
		v.learn([]ID{{Name: m.From.Name}})
	}
	if v.isBlank() {
		v.promise(Message{Type: MessageEmptyLog, To: m.From})
		return
	}
	if v.role != leader && v.config.DynamicVoters && !v.isVoter(m.From) {
		v.promise(Message{Type: MessageKnown, To: m.From, Voters: v.Voters()})
	}
	if v.role != leader || !v.mayJoin(m.From.Name) || v.isVoter(m.From) {
		return
	}
	if p := v.peers[m.From]; p != nil {
		p.heard = v.now
		p.joining = p.joining || !m.Reject
		return
	}
	p := &peer{next: 1, heard: v.now, joining: !m.Reject}
	v.peers[m.From] = p
	v.feed(m.From, p)
}

func (v *Voter) onBlank(m Message) {
	v.learn(m.Voters)
	switch {
	case m.Reject:
		v.diskless[m.From.Name] = true
	case v.isBlank() && v.mayJoin(m.From.Name):
		v.blank[m.From.Name] = m.From
	}
}

// admit makes a voter of a peer that has caught up. An older identity of its name is removed first, in a change of its
// own: the majorities of two sets that differ by one voter always share a voter.
func (v *Voter) admit() {
	if v.commit < v.start || (v.log.voters().index > v.commit && !v.config.off.changeInTurn) {
		return
	}
	for _, id := range v.peerIDs() {
		p := v.peers[id]
		if v.isVoter(id) {
			continue
		}
		if v.now-p.heard > 2*ElectionTimeout {
			delete(v.peers, id)
			continue
		}
		if !p.joining || p.match < v.mark {
			continue
		}
		v.replace(id)
		return
	}
	v.retire()
}

// silenceLimit is how long a voter of an open group must be silent before it may be removed.
const silenceLimit cherviltide.Millis = 2_000

// minVoters is the size below which an open group does not remove silent voters.
const minVoters = 3

// retire removes a silent voter from a set of even size. The smaller set bears the loss of as many voters, and a majority
// of it needs one voter fewer.
func (v *Voter) retire() {
	ids := v.Voters()
	if !v.config.DynamicVoters || len(ids)%2 != 0 || len(ids) <= minVoters {
		return
	}
	for i, id := range ids {
		p := v.peers[id]
		if id != v.config.Self && p != nil && v.now-p.heard > silenceLimit {
			v.changeVoters(slices.Delete(ids, i, i+1))
			return
		}
	}
}

func (v *Voter) replace(id ID) {
	ids := v.Voters()
	old := slices.IndexFunc(ids, func(x ID) bool { return x.Name == id.Name })
	if old < 0 {
		v.changeVoters(append(ids, id))
		return
	}
	p := v.peers[ids[old]]
	if ids[old] == v.config.Self || (p != nil && v.now-p.heard < 2*ElectionTimeout) {
		return
	}
	v.changeVoters(slices.Delete(ids, old, old+1))
}

func (v *Voter) changeVoters(ids []ID) {
	slices.SortFunc(ids, compare)
	v.propose(EntryVoters, encodeVoters(ids))
}

// RemoveVoter starts the removal of a voter. Only the leader can do it, and only one change at a time.
func (v *Voter) RemoveVoter(name string) error {
	if v.role != leader || v.failed != nil {
		return fault("voter.RemoveVoter", cherviltide.KindUnavailable, cherviltide.ErrNotLeader)
	}
	if v.commit < v.start || v.log.voters().index > v.commit {
		return fault("voter.RemoveVoter", cherviltide.KindUnavailable, ErrPending)
	}
	ids := v.Voters()
	at := slices.IndexFunc(ids, func(x ID) bool { return x.Name == name })
	if at < 0 || len(ids) == 1 {
		return fault("voter.RemoveVoter", cherviltide.KindInvalid, errNotVoter)
	}
	v.changeVoters(slices.Delete(ids, at, at+1))
	return nil
}
