package voter

import (
	"cmp"
	"slices"
	"strings"

	"cherviltide.example/cherviltide"
)

func compareIDs(a, b ID) int {
	if c := strings.Compare(a.Name, b.Name); c != 0 {
		return c
	}
	return cmp.Compare(a.Number, b.Number)
}

// requestAdmission asks the other instances for admission, or founds a new group, as long as this identity has never
// been a voter. Until it is admitted its votes do not count, because candidates count identities, not names. An identity
// that was a voter only asks in order to learn that it was removed, and a voter contacts other instances instead.
func (v *Voter) requestAdmission() {
	if v.removed || v.now < v.nextJoin {
		return
	}
	if v.isVoter(v.config.Self) {
		v.contactInstances()
		return
	}
	if v.leaving {
		return
	}
	v.nextJoin = v.now + HeartbeatInterval
	if v.tryFounding() {
		return
	}
	v.renewPromise()
	for _, name := range v.otherInstances() {
		v.sendWhenDurable(Message{Type: MessageJoin, To: ID{Name: name}, Reject: v.hardState.Admitted})
	}
}

// AddSeeds adds instances to ask for admission, besides those of the configuration.
func (v *Voter) AddSeeds(names []string) {
	for _, name := range names {
		v.addSeedIDs([]ID{{Name: name}})
	}
}

// maxSeeds bounds the number of seeds.
const maxSeeds = 64

// addSeedIDs adds instances that are not seeds yet. Beyond maxSeeds the seed that was silent for longest makes room, since those that
// are gone for good accumulate.
func (v *Voter) addSeedIDs(ids []ID) {
	for _, id := range ids {
		id = ID{Name: id.Name}
		if id.Name == "" || id.Name == v.config.Self.Name || slices.Contains(v.seeds, id) {
			continue
		}
		if len(v.seeds) == maxSeeds {
			v.seeds = slices.Delete(v.seeds, 0, 1)
		}
		v.seeds = append(v.seeds, id)
		v.lastNewSeed = v.now
	}
}

// learnSender makes the sender of a message a seed. An instance whose disk was emptied may know only seeds that do not answer, while the
// voters go on sending messages to its former identity.
func (v *Voter) learnSender(from ID) {
	if !v.config.DynamicVoters {
		return
	}
	v.addSeedIDs([]ID{from})
	if i := slices.Index(v.seeds, ID{Name: from.Name}); i >= 0 {
		v.seeds = append(slices.Delete(v.seeds, i, i+1), ID{Name: from.Name})
	}
}

// contactInterval is the time between two Join messages of a voter to an instance that it contacts.
const contactInterval cherviltide.Millis = 300

// contactInstances sends Join messages from a voter of a group with dynamic voters to the known instances that are not
// voters, so that instances without a disk learn who the voters are. A voter without a leader contacts all instances:
// it may have been removed while all voters that it knows were replaced, and only the leader can tell it.
func (v *Voter) contactInstances() {
	v.nextJoin = v.now + contactInterval
	if !v.config.DynamicVoters {
		return
	}
	leaderless := v.role != leader && v.now-v.leaderContact >= 2*ElectionTimeout
	for _, name := range v.otherInstances() {
		if leaderless || !slices.ContainsFunc(v.log.currentVoters().ids, func(id ID) bool { return id.Name == name }) {
			v.sendWhenDurable(Message{Type: MessageJoin, To: ID{Name: name}, Reject: true})
		}
	}
}

// learnVoters makes the voters of a set seeds, so that they are still contacted once they are former ones: a voter that was removed while
// it was down may start again with an empty disk, and know nobody.
func (v *Voter) learnVoters(set voterSet) {
	if v.config.DynamicVoters {
		v.addSeedIDs(set.ids)
	}
}

// otherInstances returns the names of all known instances except this one; each of them may know the leader.
func (v *Voter) otherInstances() []string {
	names := slices.Clone(v.config.Names)
	for _, id := range append(v.Voters(), v.seeds...) {
		names = append(names, id.Name)
	}
	slices.Sort(names)
	return slices.DeleteFunc(slices.Compact(names), func(name string) bool { return name == v.config.Self.Name })
}

func (v *Voter) mayJoin(name string) bool {
	return v.config.DynamicVoters || slices.Contains(v.config.Names, name)
}

func (v *Voter) hasEmptyLog() bool {
	return v.log.lastIndex() == 0
}

// handleJoin answers a Join with an empty log or the known voters. The leader adds the sender as a peer, so that it
// receives the log and can be admitted.
func (v *Voter) handleJoin(m Message) {
	if v.hasEmptyLog() {
		v.replyEmptyLog(m.From)
		return
	}
	if v.role != leader && v.config.DynamicVoters && !v.isVoter(m.From) {
		v.sendWhenDurable(Message{Type: MessageVoters, To: m.From, Voters: v.Voters()})
	}
	if v.role != leader || !v.mayJoin(m.From.Name) || v.isVoter(m.From) {
		return
	}
	if p := v.peers[m.From]; p != nil {
		p.lastContact = v.now
		if p.removedAt == 0 || v.now-p.removedAt > 2*ElectionTimeout {
			p.joining = p.joining || !m.Reject
		}
		return
	}
	p := &peer{nextIndex: 1, lastContact: v.now, joining: !m.Reject}
	v.peers[m.From] = p
	v.replicateTo(m.From, p)
}

// admitPeers makes a voter of a peer that has caught up. An older identity with the same name is removed first, in a
// separate change: the majorities of two voter sets that differ by one voter always overlap. If there is no such peer, it
// removes a voter that is gone. It drops peers that are not voters and are unresponsive.
func (v *Voter) admitPeers() {
	if v.commitIndex < v.termStart || (v.log.currentVoters().index > v.commitIndex && !v.config.disabled.oneChangeAtATime) {
		return
	}
	for _, id := range v.sortedPeerIDs() {
		p := v.peers[id]
		if v.isVoter(id) {
			continue
		}
		if v.now-p.lastContact > 2*ElectionTimeout {
			delete(v.peers, id)
			continue
		}
		if !p.joining || p.matchIndex < v.admissionIndex {
			continue
		}
		v.addOrReplaceVoter(id)
		return
	}
	if !v.removeGoneVoter() {
		v.confirmSet()
	}
}

// addOrReplaceVoter proposes to add a voter. If an older identity of its name is a voter, it proposes to remove that one
// first, unless the leader had contact with it recently and its disk is not known to be lost.
func (v *Voter) addOrReplaceVoter(id ID) {
	ids := v.Voters()
	position := slices.IndexFunc(ids, func(x ID) bool { return x.Name == id.Name })
	if position < 0 {
		v.proposeVoters(append(ids, id))
		return
	}
	p := v.peers[ids[position]]
	if ids[position] == v.config.Self || (p != nil && !v.lost[ids[position]] && v.now-p.lastContact < 2*ElectionTimeout) {
		return
	}
	v.proposeVoters(slices.Delete(ids, position, position+1))
}

func (v *Voter) proposeVoters(ids []ID) {
	slices.SortFunc(ids, compareIDs)
	for _, id := range v.log.currentVoters().ids {
		if p := v.peers[id]; p != nil && !slices.Contains(ids, id) {
			p.joining, p.removedAt = false, v.now
		}
	}
	v.propose(EntryVoters, encodeVoters(ids))
}

// RemoveVoter starts the removal of a voter. Only the leader can do this, and only one change of the voters at a time.
func (v *Voter) RemoveVoter(name string) error {
	if v.role != leader || v.failure != nil {
		return fault("voter.RemoveVoter", cherviltide.KindUnavailable, cherviltide.ErrNotLeader)
	}
	if !v.isVoterChangeSettled() {
		return fault("voter.RemoveVoter", cherviltide.KindUnavailable, ErrChangePending)
	}
	ids := v.Voters()
	position := slices.IndexFunc(ids, func(x ID) bool { return x.Name == name })
	if position < 0 || len(ids) == 1 {
		return fault("voter.RemoveVoter", cherviltide.KindInvalid, errNotRemovable)
	}
	v.proposeVoters(slices.Delete(ids, position, position+1))
	return nil
}
