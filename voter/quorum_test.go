package voter

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// view is what a voter knows when it decides: the newest voter set, whether that is committed, and the set before it.
type view struct {
	before, newest []ID
	isCommitted    bool
}

// quorums returns the smallest groups of voters, as bits of their numbers, that may decide under a view while some voters are lost.
func (w view) quorums(lost, present uint, disabled disabledProtections) []uint {
	v := New(Config{Self: ID{Name: "c0"}, disabled: disabled}, StoredState{}, 0)
	v.role, v.lostBeforeTerm = leader, map[ID]bool{}
	v.log.voterSets = []voterSet{{index: 1, ids: w.before}, {index: 2, ids: w.newest}}
	if v.commitIndex = 1; w.isCommitted {
		v.commitIndex = 2
	}
	for i := range quorumUniverse {
		if lost&(1<<i) != 0 {
			v.lostBeforeTerm[numberedID(i)] = true
		}
	}
	var list []uint
next:
	for group := range uint(1 << quorumUniverse) {
		if group&^present != 0 || !v.hasQuorum(func(id ID) bool { return group&(1<<(id.Number-1)) != 0 }) {
			continue
		}
		for _, smaller := range list {
			if smaller&group == smaller {
				continue next
			}
		}
		list = append(list, group)
	}
	return list
}

// quorumUniverse is the number of voters of the largest set.
const quorumUniverse = 6

func numberedID(i int) ID {
	return ID{Name: fmt.Sprint("c", i), Number: uint64(i) + 1}
}

func firstIDs(n int) []ID {
	var ids []ID
	for i := range n {
		ids = append(ids, numberedID(i))
	}
	return ids
}

// findDisjoint returns two decisions without a common voter. The second one begins when the voters that the first one takes for lost
// are gone, and so are those that it takes for lost itself, which may have been part of the first one.
func findDisjoint(first, second view, disabled disabledProtections) string {
	const all = 1<<quorumUniverse - 1
	for lostFirst := range uint(1 << quorumUniverse) {
		list := first.quorums(lostFirst, all&^lostFirst, disabled)
		for i := range quorumUniverse + 1 {
			lostSecond := uint(0)
			if i < quorumUniverse {
				lostSecond = 1 << i
			}
			for _, b := range second.quorums(lostSecond, all&^lostFirst&^lostSecond, disabled) {
				for _, a := range list {
					if a&b == 0 {
						return fmt.Sprintf("%b (lost %b) of %v and %b (lost %b) of %v", a, lostFirst, first, b, lostSecond, second)
					}
				}
			}
		}
	}
	return ""
}

// findDisjointChange returns the same for a voter set and the next one, when it is not committed yet and when it is.
func findDisjointChange(disabled disabledProtections) string {
	for size := 1; size < quorumUniverse; size++ {
		for _, sets := range [][2]int{{size, size + 1}, {size + 1, size}} {
			before, after := firstIDs(sets[0]), firstIDs(sets[1])
			settled := view{before: before, newest: before, isCommitted: true}
			changing := view{before: before, newest: after}
			changed := view{before: before, newest: after, isCommitted: true}
			for _, pair := range [][2]view{{settled, settled}, {settled, changing}, {changing, settled}, {changing, changing}, {changing, changed}, {changed, changing}} {
				if found := findDisjoint(pair[0], pair[1], disabled); found != "" {
					return found
				}
			}
		}
	}
	return ""
}

// TestQuorumsOverlap guards against two decisions of a group that have no voter in common, for all sets of up to six voters, all
// changes of one voter and all lost voters. Without the set before a change there are such decisions.
func TestQuorumsOverlap(t *testing.T) {
	require.Empty(t, findDisjointChange(disabledProtections{}))
	require.NotEmpty(t, findDisjointChange(disabledProtections{jointQuorum: true}))
}

// TestLostDuringElection guards against a leader that counts half of the voters because of an identity that was lost after its
// election began: a vote of that identity may have made another leader of the same term.
func TestLostDuringElection(t *testing.T) {
	for name, disabled := range map[string]disabledProtections{"": {}, "known losses count at once": {lostBeforeTerm: true}} {
		t.Run(name, func(t *testing.T) {
			stored := StoredState{Hard: HardState{Term: 1, Admitted: true}, Snapshot: Snapshot{Index: 5, Term: 1, Voters: firstIDs(4)}}
			v := New(Config{Self: numberedID(2), DynamicVoters: true, disabled: disabled}, stored, 0)
			vote := func() {
				v.Receive(Message{Type: MessageVoteReply, From: numberedID(3), To: numberedID(2), Term: v.hardState.Term})
			}
			v.startElection()
			v.Receive(Message{Type: MessageGone, From: ID{Name: "c1", Number: 9}, To: numberedID(2), Voters: []ID{numberedID(1)}})
			vote()
			require.Equal(t, disabled.lostBeforeTerm, v.role == leader)
			if v.role != leader {
				require.Equal(t, []ID{numberedID(1)}, v.LostVoters())
				v.startElection()
				vote()
				require.Equal(t, leader, v.role)
			}
		})
	}
}

// TestForeignLoss guards against an identity that counts as lost although only another instance, or the identity itself, says so.
func TestForeignLoss(t *testing.T) {
	stored := StoredState{Hard: HardState{Term: 1, Admitted: true}, Snapshot: Snapshot{Index: 5, Term: 1, Voters: firstIDs(4)}}
	for name, m := range map[string]Message{
		"another instance": {From: ID{Name: "c3", Number: 9}, Voters: []ID{numberedID(1)}},
		"itself":           {From: numberedID(1), Voters: []ID{numberedID(1)}},
		"no voter":         {From: ID{Name: "c1", Number: 9}, Voters: []ID{{Name: "c1", Number: 8}}},
	} {
		t.Run(name, func(t *testing.T) {
			v := New(Config{Self: numberedID(2), DynamicVoters: true}, stored, 0)
			m.Type, m.To = MessageGone, numberedID(2)
			v.Receive(m)
			require.Empty(t, v.LostVoters())
		})
	}
}
