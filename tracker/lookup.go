package tracker

// Lookup returns the member with the given name, unless it is dead.
func (t *Tracker) Lookup(name string) (MemberRecord, bool) {
	record, ok := t.live[name]
	return record, ok
}
