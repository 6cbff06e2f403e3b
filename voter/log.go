package voter

import (
	"github.com/fxamacker/cbor/v2"
)

// voters is a set of voters and the index of the entry that made it.
type voters struct {
	index uint64
	ids   []ID
}

// memory is the part of the log that is held in memory.
type memory struct {
	// base is the index before the first entry. Entries up to base are committed.
	base     uint64
	baseTerm uint64
	entries  []Entry
	// sets has all voter sets from base on, oldest first; it is never empty.
	sets []voters
}

func newMemory(s Snapshot, entries []Entry) memory {
	m := memory{base: s.Index, baseTerm: s.Term, sets: []voters{{index: s.Index, ids: s.Voters}}}
	for _, e := range entries {
		m.append(e)
	}
	return m
}

func (m *memory) last() uint64 {
	return m.base + uint64(len(m.entries))
}

// term returns the term of an entry and false when the entry is not in memory.
func (m *memory) term(index uint64) (uint64, bool) {
	switch {
	case index == m.base:
		return m.baseTerm, true
	case index < m.base || index > m.last():
		return 0, false
	}
	return m.entries[index-m.base-1].Term, true
}

func (m *memory) lastTerm() uint64 {
	term, _ := m.term(m.last())
	return term
}

// matches reports whether the log holds an entry. What is before base is committed and so the same everywhere.
func (m *memory) matches(index, term uint64) bool {
	if index < m.base {
		return true
	}
	own, ok := m.term(index)
	return ok && own == term
}

func (m *memory) append(e Entry) {
	m.entries = append(m.entries, e)
	if e.Type == EntryVoters {
		m.sets = append(m.sets, voters{index: e.Index, ids: decodeVoters(e.Data)})
	}
}

// truncate removes the entries from index on.
func (m *memory) truncate(index uint64) {
	keep := index - m.base - 1
	m.entries = m.entries[:keep:keep]
	for len(m.sets) > 1 && m.sets[len(m.sets)-1].index >= index {
		m.sets = m.sets[:len(m.sets)-1]
	}
}

// from returns the entries from index on, up to about limit bytes but at least one.
func (m *memory) from(index uint64, limit int) []Entry {
	if index > m.last() {
		return nil
	}
	rest := m.entries[index-m.base-1:]
	size := 0
	for i, e := range rest {
		size += len(e.Data) + entryOverhead
		if i > 0 && size > limit {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// voters returns the newest voter set.
func (m *memory) voters() voters {
	return m.sets[len(m.sets)-1]
}

// votersAt returns the voter set that was in force at an index from base on.
func (m *memory) votersAt(index uint64) voters {
	set := m.sets[0]
	for _, s := range m.sets {
		if s.index <= index {
			set = s
		}
	}
	return set
}

// drop removes the entries up to index.
func (m *memory) drop(index uint64) {
	if index <= m.base {
		return
	}
	term, _ := m.term(index)
	set := m.votersAt(index)
	sets := []voters{set}
	for _, s := range m.sets {
		if s.index > index {
			sets = append(sets, s)
		}
	}
	m.entries = append([]Entry(nil), m.entries[index-m.base:]...)
	m.base, m.baseTerm, m.sets = index, term, sets
}

func encodeVoters(ids []ID) []byte {
	data, err := cbor.Marshal(ids)
	if err != nil {
		panic(err) // IDs are plain strings and numbers.
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
