package distributor

import "cherviltide.example/cherviltide/messenger"

// maxHistoryChanges is how many revisions are kept as deltas. At 13,000 changes a day they cover an hour.
const maxHistoryChanges = 600

// change is the difference between the texts of two revisions that this instance has published one after the other. It has not
// published a revision that was overtaken while it was parsed.
type change struct {
	// from and to are the revisions, and base is the digest of the text at from.
	from, to, base uint64
	deltas         []messenger.LineDelta
	// size is the size of the deltas in bytes.
	size int
}

// history has the changes up to the newest rules text; each begins where the one before it ends. It is immutable.
type history struct {
	changes []change
	bytes   int
}

// withText returns the history after a newer text. before is the text that was published last.
func (h *history) withText(before string, revision uint64, after string) *history {
	var newest uint64
	if n := len(h.changes); n > 0 {
		newest = h.changes[n-1].to
	}
	if revision == newest {
		return h
	}
	c := change{from: newest, to: revision, base: messenger.TextDigest(before)}
	c.deltas = messenger.NewLineDeltas(before, after)
	for _, d := range c.deltas {
		c.size += d.Size()
	}
	next := &history{changes: append(h.changes[:len(h.changes):len(h.changes)], c), bytes: h.bytes + c.size}
	// Deltas that are larger than the text together are never sent.
	for len(next.changes) > 1 && (len(next.changes) > maxHistoryChanges || next.bytes > len(after)) {
		next.bytes -= next.changes[0].size
		next.changes = next.changes[1:]
	}
	return next
}

// rulesUpdate returns the newest text as deltas from the follower's text. It returns the whole text when the follower's text
// is not in the history, or if the deltas are not much smaller: the lines of a delta take longer to encode than a text.
func (h *history) rulesUpdate(state State, held *messenger.FollowRequest) *messenger.RulesUpdate {
	u := &messenger.RulesUpdate{Revision: state.Revision, Digest: messenger.TextDigest(state.Text), Former: state.Former}
	for i, c := range h.changes {
		if c.from == held.Revision && c.base == held.RulesDigest {
			size := 0
			for _, x := range h.changes[i:] {
				u.Deltas = append(u.Deltas, x.deltas...)
				size += x.size
			}
			if len(u.Deltas) > 0 && size <= len(state.Text)/2 {
				return u
			}
		}
	}
	u.Deltas, u.Text = nil, state.Text
	return u
}
