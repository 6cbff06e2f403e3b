package registrar

import (
	"strings"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/parser"
)

// History is the kept revisions up to one time. It is immutable, so it may be read while the registrar goes on.
type History struct {
	// first is the number of the revision before the oldest kept one, and text the newest text.
	first uint64
	text  string
	kept  []entry
}

// History returns the accepted revisions that the registrar keeps.
func (r *Registrar) History() History {
	return History{first: r.state.First, text: r.state.Text, kept: r.state.Kept[:len(r.state.Kept):len(r.state.Kept)]}
}

// NewestRevision returns the number of the newest revision; it is 0 when there is none.
func (h History) NewestRevision() uint64 {
	return h.first + uint64(len(h.kept))
}

// Backward calls f with each kept revision and the text before it, newest first, until f returns false. It keeps the text of
// one revision at a time.
func (h History) Backward(f func(r Revision, before string) bool) {
	text, lines := h.text, strings.Split(h.text, "\n")
	for i := len(h.kept) - 1; i >= 0; i-- {
		e := h.kept[i]
		r := Revision{
			Number: h.first + uint64(i) + 1,
			Edit:   Edit{ID: e.ID, Operator: e.Operator, Base: e.Base, Number: e.Number, Time: e.Time, Text: text},
		}
		var ok bool
		if lines, ok = patch(lines, e.Lines); !ok {
			return
		}
		text = strings.Join(lines, "\n")
		if !f(r, text) {
			return
		}
	}
}

// Origin tells which edit brought a rule that is in the newest file.
type Origin struct {
	// Line is the rule's line in the newest file, from 1.
	Line int
	// Text is the rule without its comment, in the canonical format.
	Text      string
	Requester string
	// Revision is the oldest revision since which every file has had the rule with the same requester.
	Revision uint64
	EditID   string
	Operator string
	Time     cherviltide.Millis
}

// OriginFinder finds the origins of rules. It remembers those of the revision of the last call, so that a call looks only at the
// revisions since. Rules are the same when their canonical format is the same, so moving or formatting a rule does not
// change its origin. One goroutine uses it. The zero value remembers nothing.
type OriginFinder struct {
	number uint64
	// origins has the rules of revision number in the order of their lines, byLine their index by canonical format.
	origins []Origin
	byLine  map[string]int
	// canonical has the canonical format of lines; it is empty for lines without a rule. It starts anew when it has
	// more than canonicalLimit lines.
	canonical map[string]string
}

// canonicalLimit bounds the lines whose canonical format is remembered; it is a multiple of the lines of a large file.
const canonicalLimit = 100_000

// Origins returns the newest revision of a history and the origin of each of its rules. The caller must not change them.
// A rule that is older than the history has the history's oldest revision as its origin.
func (t *OriginFinder) Origins(h History) (revision uint64, origins []Origin) {
	if h.NewestRevision() == t.number {
		return t.number, t.origins
	}
	next := OriginFinder{number: h.NewestRevision(), byLine: map[string]int{}, canonical: t.canonical}
	if next.canonical == nil || len(next.canonical) > canonicalLimit {
		next.canonical = map[string]string{}
	}
	open := map[string]bool{}
	h.Backward(func(r Revision, _ string) bool {
		switch {
		case r.Number == h.NewestRevision():
			next.start(r, open)
		case r.Number == t.number:
			next.inherit(t, open)
			return false
		default:
			next.trace(r, open)
		}
		return len(open) > 0
	})
	*t = next
	return t.number, t.origins
}

// start takes the rules of the newest revision; all of them are open.
func (t *OriginFinder) start(r Revision, open map[string]bool) {
	for i, line := range strings.Split(r.Edit.Text, "\n") {
		rule := t.rule(line)
		if rule == "" {
			continue
		}
		text, requester, _ := strings.Cut(rule, "#")
		t.byLine[rule] = len(t.origins)
		t.origins = append(t.origins, Origin{
			Line: i + 1, Text: strings.TrimSpace(text), Requester: strings.TrimSpace(requester),
			Revision: r.Number, EditID: r.Edit.ID, Operator: r.Edit.Operator, Time: r.Edit.Time,
		})
		open[rule] = true
	}
}

// trace moves the origins of open rules back to an older revision that has them; the others are no longer open.
func (t *OriginFinder) trace(r Revision, open map[string]bool) {
	present := map[string]bool{}
	for _, line := range strings.Split(r.Edit.Text, "\n") {
		present[t.rule(line)] = true
	}
	for rule := range open {
		if !present[rule] {
			delete(open, rule)
			continue
		}
		o := &t.origins[t.byLine[rule]]
		o.Revision, o.EditID, o.Operator, o.Time = r.Number, r.Edit.ID, r.Edit.Operator, r.Edit.Time
	}
}

// inherit takes the origins of open rules from what an earlier call found.
func (t *OriginFinder) inherit(earlier *OriginFinder, open map[string]bool) {
	for rule := range open {
		i, ok := earlier.byLine[rule]
		if !ok {
			continue
		}
		o := &t.origins[t.byLine[rule]]
		line := o.Line
		*o = earlier.origins[i]
		o.Line = line
	}
}

// rule returns the canonical format of a line, or "" when it holds no rule.
func (t *OriginFinder) rule(line string) string {
	c, known := t.canonical[line]
	if known {
		return c
	}
	formatted, err := parser.Format(line)
	if err == nil && !strings.HasPrefix(formatted, "#") {
		c = strings.TrimSpace(formatted)
	}
	t.canonical[line] = c
	return c
}
