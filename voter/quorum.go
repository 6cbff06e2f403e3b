package voter

import (
	"maps"
	"slices"
)

// A decision needs a majority of the voters. A set of even size may also decide with half of its voters while one of its identities is
// known to be lost: its disk was emptied, so it never votes or stores anything again. Half of an even set and any majority of it have a
// voter in common, and two halves that both leave out the lost identity do too. Without this a set of even size, as after the
// successor of a voter has joined, bears one loss less than the set without the voter that was replaced.
//
// Both rules hold for one voter set. The majorities of two sets that differ by one voter overlap, but half of an even set need not
// overlap with a majority of the set before or after it. So under a set that is not known to be committed, a decision also needs the
// voters of the set before it, unless it has a majority of an even set.

// hasQuorum reports whether the voters for which has is true may decide.
func (v *Voter) hasQuorum(has func(ID) bool) bool {
	newest := v.log.currentVoters().ids
	if v.isSetCommitted() || v.config.disabled.jointQuorum {
		return v.hasQuorumOf(newest, true, has)
	}
	if len(newest)%2 == 0 && v.hasQuorumOf(newest, false, has) {
		return true
	}
	before, _ := v.log.votersBefore()
	return v.hasQuorumOf(newest, true, has) && v.hasQuorumOf(before.ids, true, has)
}

// hasQuorumOf reports the same for one voter set. With mayHalve half of the set is enough if one of its identities is lost.
func (v *Voter) hasQuorumOf(ids []ID, mayHalve bool, has func(ID) bool) bool {
	lost := v.lostIdentities()
	count, intact, anyLost := 0, 0, false
	for _, id := range ids {
		anyLost = anyLost || lost[id]
		if !has(id) {
			continue
		}
		if count++; !lost[id] {
			intact++
		}
	}
	if count > len(ids)/2 {
		return true
	}
	return mayHalve && anyLost && len(ids)%2 == 0 && intact >= len(ids)/2
}

// lostIdentities returns the identities that the present decision treats as lost. In an election and in the term of a leader these are
// the ones that were known before the term began: a vote or a reply of an identity that is lost later must not count
// together with a half that leaves out another one.
func (v *Voter) lostIdentities() map[ID]bool {
	if v.role == preCandidate || v.config.disabled.lostBeforeTerm {
		return v.lost
	}
	return v.lostBeforeTerm
}

// isSetCommitted reports whether the newest voter set is known to be committed, or is the one that the group was founded with. A set that
// repeats the one before it proves that it was, also after a restart, since a leader proposes a set only when the one before it
// is committed.
func (v *Voter) isSetCommitted() bool {
	return v.log.currentVoters().index <= v.commitIndex || !v.needsConfirmation()
}

// decidingVoters returns the voters of the newest set, and of the one before it while both decide.
func (v *Voter) decidingVoters() []ID {
	ids := v.Voters()
	if before, ok := v.log.votersBefore(); ok && !v.isSetCommitted() {
		for _, id := range before.ids {
			if !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// needsConfirmation reports whether the newest voter set does not repeat the one before it.
func (v *Voter) needsConfirmation() bool {
	before, ok := v.log.votersBefore()
	return ok && !slices.Equal(before.ids, v.log.currentVoters().ids)
}

// confirmSet repeats the newest voter set once it is committed, so that voters know it after a restart.
func (v *Voter) confirmSet() {
	if v.needsConfirmation() {
		v.propose(EntryVoters, encodeVoters(v.Voters()))
	}
}

// replyGone tells the sender of a message to a former identity of this instance that its disk was emptied. That stays true for good,
// however late the reply arrives.
func (v *Voter) replyGone(m Message) {
	switch m.Type {
	case MessagePreVote, MessageVote, MessageAppend, MessageSnapshotChunk, MessageFound, MessageFoundReply:
		v.send(Message{Type: MessageGone, To: m.From, Voters: []ID{m.To}})
	}
}

// handleGone records identities that are lost, of the voters that decide and the founder that this voter has promised to.
func (v *Voter) handleGone(m Message) {
	deciding := append(v.decidingVoters(), v.hardState.Promise.Founder)
	maps.DeleteFunc(v.lost, func(id ID, _ bool) bool { return !slices.Contains(deciding, id) })
	for _, id := range m.Voters {
		if id.Name == m.From.Name && id != m.From && slices.Contains(deciding, id) {
			v.lost[id] = true
		}
	}
	if v.role == preCandidate {
		v.countVotes()
	}
}

// LostVoters returns the voters whose disks are known to have been emptied.
func (v *Voter) LostVoters() []ID {
	return slices.SortedFunc(maps.Keys(v.lost), compareIDs)
}
