package voter

import (
	"cmp"
	"slices"

	"cherviltide.example/cherviltide"
)

// unresponsiveTimeout is how long the leader must be without contact with a dynamic voter before it may remove it.
const unresponsiveTimeout cherviltide.Millis = 2_000

// silenceTimeout is how long the leader must be without contact with a voter, which replies to each heartbeat, to suspect that
// it is gone.
const silenceTimeout = 3 * HeartbeatInterval

// minDynamicVoters is the number of voters up to which no voter is removed because it is gone.
const minDynamicVoters = 3

// Leave announces that this voter is about to stop. HasLeft then tells when it may.
func (v *Voter) Leave() {
	v.leaving = true
}

// HasLeft reports whether this voter may stop after a call of Leave: it was removed, or it is no voter, or its removal
// would reduce the number of failures that the group tolerates. A voter that stops without this stays in the majorities
// until the leader finds it unresponsive, so that the loss of another disk meanwhile can leave the group without a majority
// for good.
func (v *Voter) HasLeft() bool {
	neverVoter := !v.hardState.Admitted && !v.isVoter(v.config.Self)
	return v.removed || v.failure != nil || !v.config.DynamicVoters || neverVoter || v.mayStop
}

// announceLeave tells the leader that this voter leaves. A leader whose removal would reduce the tolerance of the group may
// stop at once.
func (v *Voter) announceLeave() {
	if !v.leaving || v.mayStop || v.removed || v.now < v.nextLeave {
		return
	}
	v.nextLeave = v.now + HeartbeatInterval
	if v.role == leader {
		v.mayStop = v.keepsVoter(v.config.Self)
		return
	}
	if leader, ok := v.Leader(); ok {
		v.send(Message{Type: MessageLeave, To: leader})
	}
}

// handleLeave records that a voter leaves, and replies if the group keeps it as a voter.
func (v *Voter) handleLeave(m Message) {
	p := v.peers[m.From]
	if v.role != leader || p == nil || !v.isVoter(m.From) {
		return
	}
	p.leaveAt, p.lastContact = v.now, v.now
	if v.keepsVoter(m.From) {
		v.send(Message{Type: MessageMayStop, To: m.From})
	}
}

// keepsVoter reports whether a voter that leaves stays in the voter set. While a set of odd size has a silent voter that may
// turn out to be gone too, this is not decided yet. Until the voters know for sure that the set is committed, they may need those
// of the set before it.
func (v *Voter) keepsVoter(id ID) bool {
	if !v.isVoterChangeSettled() || v.needsConfirmation() || len(v.removableVoters()) > 0 {
		return false
	}
	return !v.mayRemovePair() || !slices.ContainsFunc(v.log.currentVoters().ids, func(other ID) bool {
		p := v.peers[other]
		return other != id && p != nil && v.now-p.lastContact > silenceTimeout
	})
}

// mayRemovePair reports whether two voters that are gone can be removed from a set of odd size.
func (v *Voter) mayRemovePair() bool {
	return v.config.MinVoters > 0 && len(v.log.currentVoters().ids)-2 >= max(v.config.MinVoters, minDynamicVoters)
}

// isVoterChangeSettled reports whether the leader may propose a change of the voters.
func (v *Voter) isVoterChangeSettled() bool {
	return v.commitIndex >= v.termStart && v.log.currentVoters().index <= v.commitIndex
}

// goneVoters returns the other voters that leave, are lost or are unresponsive, the one that was silent for longest first, and this
// voter last if it leaves. One that leaves goes on until it is removed, so those that have stopped already come before it.
func (v *Voter) goneVoters() []ID {
	var gone []ID
	for _, id := range v.log.currentVoters().ids {
		if p := v.peers[id]; p != nil && (p.isLeaving() || v.lost[id] || v.now-p.lastContact > unresponsiveTimeout) {
			gone = append(gone, id)
		}
	}
	slices.SortStableFunc(gone, func(a, b ID) int { return cmp.Compare(v.peers[a].lastContact, v.peers[b].lastContact) })
	if v.leaving && v.isVoter(v.config.Self) {
		gone = append(gone, v.config.Self)
	}
	return gone
}

// removableVoters returns the voters that are gone and whose removal does not reduce the number of failures that the group
// tolerates. From a set of even size one voter can be removed: the majority of the smaller set is one voter smaller. From a
// set of odd size two can be removed, one after the other, if both are gone and enough voters are left.
func (v *Voter) removableVoters() []ID {
	gone, size := v.goneVoters(), len(v.log.currentVoters().ids)
	switch {
	case !v.config.DynamicVoters || size <= minDynamicVoters:
		return nil
	case size%2 == 0:
		return gone
	case len(gone) >= 2 && v.mayRemovePair():
		return gone
	}
	return nil
}

// removeGoneVoter proposes to remove one of the removable voters. It reports whether there is one.
func (v *Voter) removeGoneVoter() bool {
	gone := v.removableVoters()
	if len(gone) == 0 {
		return false
	}
	v.proposeVoters(slices.DeleteFunc(v.Voters(), func(id ID) bool { return id == gone[0] }))
	return true
}
