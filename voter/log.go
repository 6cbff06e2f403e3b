package voter

import (
	"github.com/fxamacker/cbor/v2"
)

// voterSet is a set of voters and the index of the entry that introduced it.
type voterSet struct {
	index uint64
	ids   []ID
}

// memoryLog is the part of the log that is kept in memory.
type memoryLog struct {
	// baseIndex is the index before the first entry in memory. Entries up to baseIndex are committed.
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
	// voterSets has all voter sets from baseIndex on, oldest first; it is never empty.
	voterSets []voterSet
}

func newMemoryLog(s Snapshot, entries []Entry) memoryLog {
	m := memoryLog{baseIndex: s.Index, baseTerm: s.Term, voterSets: []voterSet{{index: s.Index, ids: s.Voters}}}
	for _, e := range entries {
		m.append(e)
	}
	return m
}

func (m *memoryLog) lastIndex() uint64 {
	return m.baseIndex + uint64(len(m.entries))
}

// term returns the term of an entry, and false if the entry is not in memory.
func (m *memoryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == m.baseIndex:
		return m.baseTerm, true
	case index < m.baseIndex || index > m.lastIndex():
		return 0, false
	}
	return m.entries[index-m.baseIndex-1].Term, true
}

func (m *memoryLog) lastTerm() uint64 {
	term, _ := m.term(m.lastIndex())
	return term
}

// matches reports whether the log has an entry with this index and term. Entries before baseIndex are committed and so
// the same on all voters.
func (m *memoryLog) matches(index, term uint64) bool {
	if index < m.baseIndex {
		return true
	}
	localTerm, ok := m.term(index)
	return ok && localTerm == term
}

func (m *memoryLog) append(e Entry) {
	m.entries = append(m.entries, e)
	if e.Type == EntryVoters {
		m.voterSets = append(m.voterSets, voterSet{index: e.Index, ids: decodeVoters(e.Data)})
	}
}

// truncateFrom removes the entries from index on.
func (m *memoryLog) truncateFrom(index uint64) {
	keep := index - m.baseIndex - 1
	m.entries = m.entries[:keep:keep]
	for len(m.voterSets) > 1 && m.voterSets[len(m.voterSets)-1].index >= index {
		m.voterSets = m.voterSets[:len(m.voterSets)-1]
	}
}

// entriesFrom returns the entries from index on, up to about limit bytes but at least one.
func (m *memoryLog) entriesFrom(index uint64, limit int) []Entry {
	if index > m.lastIndex() {
		return nil
	}
	rest := m.entries[index-m.baseIndex-1:]
	size := 0
	for i, e := range rest {
		size += len(e.Data) + entryOverhead
		if i > 0 && size > limit {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// currentVoters returns the newest voter set.
func (m *memoryLog) currentVoters() voterSet {
	return m.voterSets[len(m.voterSets)-1]
}

// votersBefore returns the voter set before the newest one, and false if it is not in memory or there is none.
func (m *memoryLog) votersBefore() (voterSet, bool) {
	if len(m.voterSets) < 2 {
		return voterSet{}, false
	}
	before := m.voterSets[len(m.voterSets)-2]
	return before, len(before.ids) > 0
}

// votersAt returns the voter set that applies at an index, which must not be below baseIndex.
func (m *memoryLog) votersAt(index uint64) voterSet {
	set := m.voterSets[0]
	for _, s := range m.voterSets {
		if s.index <= index {
			set = s
		}
	}
	return set
}

// dropThrough removes the entries up to and including index.
func (m *memoryLog) dropThrough(index uint64) {
	if index <= m.baseIndex {
		return
	}
	term, _ := m.term(index)
	set := m.votersAt(index)
	sets := []voterSet{set}
	for _, s := range m.voterSets {
		if s.index > index {
			sets = append(sets, s)
		}
	}
	m.entries = append([]Entry(nil), m.entries[index-m.baseIndex:]...)
	m.baseIndex, m.baseTerm, m.voterSets = index, term, sets
}

// retainedFrom returns the index of the oldest entry to keep in memory once the entries up to applied are in a snapshot.
func (m *memoryLog) retainedFrom(applied uint64) uint64 {
	index, size := applied+1, 0
	for index-1 > m.baseIndex && applied+1-index < retainedEntries {
		size += len(m.entries[index-m.baseIndex-2].Data) + entryOverhead
		if size > retainedBytes {
			break
		}
		index--
	}
	return index
}

// sizeAfter returns the size in bytes of the entries after an index, which must not be below baseIndex.
func (m *memoryLog) sizeAfter(index uint64) int {
	return entriesSize(m.entries[index-m.baseIndex:])
}

// entriesSize returns the approximate encoded size of entries in bytes.
func entriesSize(entries []Entry) int {
	size := 0
	for _, e := range entries {
		size += len(e.Data) + entryOverhead
	}
	return size
}

func encodeVoters(ids []ID) []byte {
	data, err := cbor.Marshal(ids)
	if err != nil {
		panic(err) // Encoding strings and numbers cannot fail.
	}
	return data
}

func decodeVoters(data []byte) []ID {
	var ids []ID
	if err := cbor.Unmarshal(data, &ids); err != nil {
		return nil
	}
	return ids
}
