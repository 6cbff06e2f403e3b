package registrar

import (
	"strings"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/differ"
	"cherviltide.example/cherviltide/parser"
)

// History has the revisions that were kept at one point in time. It is immutable, so it may be read while the registrar
// changes.
type History struct {
	// firstBase is the number of the revision before the oldest kept one, and newestText the text of the newest revision.
	firstBase  uint64
	newestText string
	revisions  []keptRevision
}

// History returns the accepted revisions that the registrar keeps.
func (r *Registrar) History() History {
	return History{firstBase: r.state.first, newestText: r.state.text, revisions: r.state.kept[:len(r.state.kept):len(r.state.kept)]}
}

// NewestRevision returns the number of the newest revision; it is 0 if there is none.
func (h History) NewestRevision() uint64 {
	return h.firstBase + uint64(len(h.revisions))
}

// Backward calls f with each kept revision and the text before it, newest first, until f returns false. It holds the
// text of only one revision in memory at a time.
func (h History) Backward(f func(r Revision, before string) bool) {
	text, lines := h.newestText, strings.Split(h.newestText, "\n")
	for i := len(h.revisions) - 1; i >= 0; i-- {
		e := h.revisions[i]
		r := Revision{
			Number: h.firstBase + uint64(i) + 1,
			Edit:   Edit{ID: e.ID, Operator: e.Operator, Base: e.Base, Number: e.Number, Time: e.Time, Text: text},
		}
		hunks, err := e.hunks()
		if err != nil {
			return
		}
		var ok bool
		if lines, ok = differ.Apply(lines, hunks); !ok {
			return
		}
		text = strings.Join(lines, "\n")
		if !f(r, text) {
			return
		}
	}
}

// Origin tells which edit introduced a rule of the newest revision.
type Origin struct {
	// Line is the line of the rule in the newest text, from 1.
	Line int
	// Text is the rule without its comment, in the canonical format.
	Text      string
	Requester string
	// Revision is the oldest revision since which every text has had the rule with the same requester.
	Revision uint64
	EditID   string
	Operator string
	Time     cherviltide.Millis
}

// OriginFinder finds the origins of rules. It keeps the result of the last call, so that a call only examines newer
// revisions. Rules are equal if their canonical formats are equal, so moving or reformatting a rule does not change its
// origin. An OriginFinder is not safe for concurrent use. The zero value is ready to use.
type OriginFinder struct {
	revision uint64
	// origins has the rules of the revision in the order of their lines, byRule their index by canonical format.
	origins []Origin
	byRule  map[string]int
	// canonical caches the canonical format of lines; it is empty for lines without a rule. The cache is cleared when it
	// has more than maxCanonicalBytes, of which canonicalBytes counts the lines and their formats.
	canonical      map[string]string
	canonicalBytes int
}

// maxCanonicalBytes bounds the cache of canonical formats; it is several times the size of a large file.
const maxCanonicalBytes = 4 << 20

// Origins returns the newest revision of a history and the origin of each of its rules, which the caller must not
// change. A rule that is older than the history has the oldest revision of the history as its origin.
func (f *OriginFinder) Origins(h History) (revision uint64, origins []Origin) {
	if h.NewestRevision() == f.revision {
		return f.revision, f.origins
	}
	next := OriginFinder{revision: h.NewestRevision(), byRule: map[string]int{}, canonical: f.canonical, canonicalBytes: f.canonicalBytes}
	unresolved := map[string]bool{}
	h.Backward(func(r Revision, _ string) bool {
		switch {
		case r.Number == h.NewestRevision():
			next.addNewest(r, unresolved)
		case r.Number == f.revision:
			next.reuseOrigins(f, unresolved)
			return false
		default:
			next.moveBack(r, unresolved)
		}
		return len(unresolved) > 0
	})
	*f = next
	return f.revision, f.origins
}

// addNewest adds the rules of the newest revision, all of them with unresolved origins.
func (f *OriginFinder) addNewest(r Revision, unresolved map[string]bool) {
	for i, line := range strings.Split(r.Edit.Text, "\n") {
		rule := f.canonicalRule(line)
		if rule == "" {
			continue
		}
		text, requester, _ := strings.Cut(rule, "#")
		f.byRule[rule] = len(f.origins)
		f.origins = append(f.origins, Origin{
			Line: i + 1, Text: strings.TrimSpace(text), Requester: strings.TrimSpace(requester),
			Revision: r.Number, EditID: r.Edit.ID, Operator: r.Edit.Operator, Time: r.Edit.Time,
		})
		unresolved[rule] = true
	}
}

// moveBack moves the origins of unresolved rules back to an older revision that has these rules; the others are
// resolved.
func (f *OriginFinder) moveBack(r Revision, unresolved map[string]bool) {
	present := map[string]bool{}
	for _, line := range strings.Split(r.Edit.Text, "\n") {
		present[f.canonicalRule(line)] = true
	}
	for rule := range unresolved {
		if !present[rule] {
			delete(unresolved, rule)
			continue
		}
		o := &f.origins[f.byRule[rule]]
		o.Revision, o.EditID, o.Operator, o.Time = r.Number, r.Edit.ID, r.Edit.Operator, r.Edit.Time
	}
}

// reuseOrigins takes the origins of unresolved rules from the result of an earlier call.
func (f *OriginFinder) reuseOrigins(previous *OriginFinder, unresolved map[string]bool) {
	for rule := range unresolved {
		i, ok := previous.byRule[rule]
		if !ok {
			continue
		}
		o := &f.origins[f.byRule[rule]]
		line := o.Line
		*o = previous.origins[i]
		o.Line = line
	}
}

// canonicalRule returns the canonical format of a line, or "" if it has no rule.
func (f *OriginFinder) canonicalRule(line string) string {
	rule, cached := f.canonical[line]
	if cached {
		return rule
	}
	formatted, err := parser.Format(line)
	if err == nil && !strings.HasPrefix(formatted, "#") {
		rule = strings.TrimSpace(formatted)
	}
	if f.canonical == nil || f.canonicalBytes > maxCanonicalBytes {
		f.canonical, f.canonicalBytes = map[string]string{}, 0
	}
	// The line is part of a text, which a reference to it would keep in memory.
	f.canonical[strings.Clone(line)] = rule
	f.canonicalBytes += len(line) + len(rule)
	return rule
}
