package distributor

import "cherviltide.example/cherviltide/messenger"

// Bounds of the history of rules texts.
const (
	// historyLength is how many revisions are kept as deltas; with 13,000 changes a day it covers an hour.
	historyLength = 600
	// historyBytes bounds the lines of the kept deltas.
	historyBytes = 4 << 20
)

// change is the step from one revision to the next.
type change struct {
	// base and digest are the digests of the texts before and after.
	base, digest uint64
	revision     uint64
	delta        messenger.LineDelta
}

// history has the steps that lead to the newest rules text, without gaps. It is immutable.
type history struct {
	changes []change
	bytes   int
}

// with returns the history after a newer text. A text that does not directly follow starts a new history.
func (h *history) with(before string, revision uint64, after string) *history {
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
	for len(next.changes) > 1 && (len(next.changes) > historyLength || next.bytes > historyBytes) {
		next.bytes -= next.changes[0].delta.Size()
		next.changes = next.changes[1:]
	}
	return next
}

// rules returns the newest text as deltas from the follower's text, or whole when that is unknown here or not longer.
func (h *history) rules(state State, held *messenger.FollowRequest) *messenger.RulesUpdate {
	u := &messenger.RulesUpdate{Revision: state.Revision, Digest: messenger.TextDigest(state.Text), Former: state.Former}
	for i, c := range h.changes {
		if c.revision == held.Revision+1 && c.base == held.RulesDigest {
			size := 0
			for _, x := range h.changes[i:] {
				u.Deltas = append(u.Deltas, x.delta)
				size += x.delta.Size()
			}
			if size < len(state.Text) {
				return u
			}
		}
	}
	u.Deltas, u.Text = nil, state.Text
	return u
}
