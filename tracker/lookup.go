package tracker

// Lookup returns the member with a name.
func (t *Tracker) Lookup(name string) (MemberRecord, bool) {
	e, ok := t.entries[name]
	return e, ok
}
