package tracker

// Entry returns the member with a name.
func (t *Tracker) Entry(name string) (Entry, bool) {
	e, ok := t.entries[name]
	return e, ok
}
