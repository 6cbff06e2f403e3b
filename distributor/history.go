package distributor

import "cherviltide.example/cherviltide/messenger"

// maxHistoryChanges is how many revisions are kept as deltas. At 13,000 changes a day they cover an hour.
const maxHistoryChanges = 600

// change is the difference between the texts of two consecutive revisions.
type change struct {
	// base and digest are the digests of the texts before and after the change.
	base, digest uint64
	revision     uint64
	delta        messenger.LineDelta
}

// history has the changes of consecutive revisions up to the newest rules text. It is immutable.
type history struct {
	changes []change
	bytes   int
}

// withText returns the history after a newer text. A text whose revision does not directly follow the newest one starts a
// new history, with a base that matches no follower's text.
func (h *history) withText(before string, revision uint64, after string) *history {
	var newest uint64
	if n := len(h.changes); n > 0 {
		newest = h.changes[n-1].revision
	}
	if revision == newest {
		return h
	}
	c := change{base: messenger.TextDigest(before), digest: messenger.TextDigest(after), revision: revision}
	c.delta = messenger.NewLineDelta(before, after)
	if revision != newest+1 {
		c.base = c.digest + 1
		return &history{changes: []change{c}}
	}
	next := &history{changes: append(h.changes[:len(h.changes):len(h.changes)], c), bytes: h.bytes + c.delta.Size()}
	// Deltas that are larger than the text together are never sent.
	for len(next.changes) > 1 && (len(next.changes) > maxHistoryChanges || next.bytes > len(after)) {
		next.bytes -= next.changes[0].delta.Size()
		next.changes = next.changes[1:]
	}
	return next
}

// rulesUpdate returns the newest text as deltas from the follower's text. It returns the whole text when the follower's text
// is not in the history, or if the deltas are not much smaller: the lines of a delta take longer to encode than a text.
func (h *history) rulesUpdate(state State, held *messenger.FollowRequest) *messenger.RulesUpdate {
	u := &messenger.RulesUpdate{Revision: state.Revision, Digest: messenger.TextDigest(state.Text), Former: state.Former}
	for i, c := range h.changes {
		if c.revision == held.Revision+1 && c.base == held.RulesDigest {
			size := 0
			for _, x := range h.changes[i:] {
				u.Deltas = append(u.Deltas, x.delta)
				size += x.delta.Size()
			}
			if size <= len(state.Text)/2 {
				return u
			}
		}
	}
	u.Deltas, u.Text = nil, state.Text
	return u
}
