package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"path/filepath"
	"strings"
	"time"
)

// Line is a log line of one process.
type Line struct {
	Process string
	Time    time.Time
	Event   string
	// Fields has the other fields, with numbers as json.Number.
	Fields map[string]any
	// Deciding is true for the line that explains how the flow ended.
	Deciding bool `json:",omitempty"`
	// ClockOff is true if the time of the line contradicts its place in the causal order, because the clocks of two machines
	// differ or a clock was stepped.
	ClockOff bool `json:",omitempty"`

	// file is the index of the log file, lineNumber the number of the line in it, from 0.
	file, lineNumber int
}

// text returns a string field, or "" if the line has none of this name.
func (l Line) text(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

// number returns a numeric field, or 0 if the line has none of this name.
func (l Line) number(name string) float64 {
	n, _ := l.Fields[name].(json.Number)
	f, err := n.Float64()
	if err != nil {
		return 0 // The field is missing or not a number, as in the log of another program.
	}
	return f
}

// maxLineSize is the size of the longest line, in bytes. Log collectors truncate longer ones.
const maxLineSize = 1 << 20

// readLines returns the lines of a log for which keep returns true; the others are dropped at once, so that a long log does
// not fill the memory. A log collector may have put the name of the process before each line. Lines that are not JSON
// objects of this program are counted as unread.
func readLines(file int, path string, r io.Reader, keep func(Line) bool) (lines []Line, unread int, err error) {
	process := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineSize)
	for lineNumber := 0; scanner.Scan(); lineNumber++ {
		prefix, object, found := bytes.Cut(scanner.Bytes(), []byte("{"))
		l, ok := parseLine(append([]byte("{"), object...))
		if !found || !ok {
			if len(bytes.TrimSpace(scanner.Bytes())) > 0 {
				unread++
			}
			continue
		}
		l.file, l.lineNumber = file, lineNumber
		if words := strings.Fields(string(prefix)); len(words) > 0 {
			l.Process = strings.Trim(words[len(words)-1], ":|[]")
		} else {
			if strings.HasSuffix(l.Event, "Started") && l.text("Name") != "" {
				process = l.text("Name")
			}
			l.Process = process
		}
		if keep(l) {
			lines = append(lines, l)
		}
	}
	return lines, unread, scanner.Err()
}

func parseLine(object []byte) (Line, bool) {
	var l Line
	// Generations do not fit in a float64 without rounding.
	decoder := json.NewDecoder(bytes.NewReader(object))
	decoder.UseNumber()
	if err := decoder.Decode(&l.Fields); err != nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, l.text("Time"))
	l.Time, l.Event = at, l.text("Event")
	if err != nil || l.Event == "" {
		return Line{}, false
	}
	for _, name := range []string{"Time", "Event", "Level"} {
		delete(l.Fields, name)
	}
	return l, true
}
