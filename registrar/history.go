package registrar

import (
	"slices"
	"strings"

	"cherviltide.example/cherviltide/parser"
)

// historyBytes bounds the texts that History rebuilds.
const historyBytes = 32 << 20

// History returns the newest revisions, oldest first. It goes back as far as the deltas are kept and the texts do not
// exceed 32 MiB together; the newest revision is always there.
func (r *Registrar) History() []Revision {
	var list []Revision
	lines, size := strings.Split(r.state.Text, "\n"), 0
	for i := len(r.state.Kept) - 1; i >= 0; i-- {
		e := r.state.Kept[i]
		text := strings.Join(lines, "\n")
		if size += len(text); size > historyBytes && len(list) > 0 {
			break
		}
		list = append(list, Revision{
			Number: r.state.First + uint64(i) + 1,
			Edit:   Edit{ID: e.ID, Operator: e.Operator, Base: e.Base, Time: e.Time, Text: text},
		})
		var ok bool
		if lines, ok = patch(lines, e.Lines); !ok {
			break
		}
	}
	slices.Reverse(list)
	return list
}

// Origin tells which revision brought a rule that is still in the newest file.
type Origin struct {
	// Line is the rule's line in the newest file, from 1.
	Line int
	// Text is the rule without its comment, in the canonical format.
	Text      string
	Requester string
	// Revision is the oldest revision since which every file has had the rule with the same requester.
	Revision Revision
}

// Origins returns the origin of each rule of the newest revision. Rules are the same when their canonical format is the
// same, so moving or formatting a rule doesn't change its origin. The time grows with the number of revisions since the
// oldest origin.
func Origins(history []Revision) []Origin {
	if len(history) == 0 {
		return nil
	}
	canonical := map[string]string{}
	newest := history[len(history)-1]
	var origins []Origin
	for i, line := range ruleLines(newest.Edit.Text, canonical) {
		if line == "" {
			continue
		}
		text, requester, _ := strings.Cut(line, "#")
		origins = append(origins, Origin{
			Line: i + 1, Text: strings.TrimSpace(text), Requester: strings.TrimSpace(requester), Revision: newest,
		})
	}
	trace(origins, history[:len(history)-1], canonical)
	return origins
}

// trace moves each origin back through the older revisions for as long as they have its rule.
func trace(origins []Origin, older []Revision, canonical map[string]string) {
	open := make(map[int]string, len(origins))
	for i, o := range origins {
		open[i] = o.Text + " # " + o.Requester
	}
	for n := len(older) - 1; n >= 0 && len(open) > 0; n-- {
		present := map[string]bool{}
		for _, line := range ruleLines(older[n].Edit.Text, canonical) {
			present[line] = true
		}
		for i, line := range open {
			if present[line] {
				origins[i].Revision = older[n]
			} else {
				delete(open, i)
			}
		}
	}
}

// ruleLines returns the canonical format of each line, and "" for lines without a rule.
func ruleLines(text string, canonical map[string]string) []string {
	lines := strings.Split(text, "\n")
	for i, line := range lines {
		c, known := canonical[line]
		if !known {
			formatted, err := parser.Format(line)
			if err == nil && !strings.HasPrefix(formatted, "#") {
				c = strings.TrimSpace(formatted)
			}
			canonical[line] = c
		}
		lines[i] = c
	}
	return lines
}
