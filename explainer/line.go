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
	// Fields has everything else, as it was decoded.
	Fields map[string]any
	// Deciding is true for the line that explains the flow's end.
	Deciding bool `json:",omitempty"`
	// ClockOff is true when the line belongs before or after its time, because the clocks of two machines differ or one
	// has been stepped.
	ClockOff bool `json:",omitempty"`

	// file and number tell where the line stands.
	file, number int
}

// text returns a field that is a text.
func (l Line) text(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

// amount returns a field that is a number.
func (l Line) amount(name string) float64 {
	n, _ := l.Fields[name].(json.Number)
	f, err := n.Float64()
	if err != nil {
		return 0 // The field is missing or holds something else, as in the log of another program.
	}
	return f
}

// maxLine bounds a line, in bytes; longer ones are cut by collectors of logs.
const maxLine = 1 << 20

// read reads the lines of one log that are to be kept, so that a long log does not fill the memory. A collector may have put
// the name of the process before each line. Lines that are not JSON objects of this program are counted.
func read(file int, path string, r io.Reader, keep func(Line) bool) (lines []Line, unread int, err error) {
	name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for number := 0; scanner.Scan(); number++ {
		prefix, object, found := bytes.Cut(scanner.Bytes(), []byte("{"))
		l, ok := decode(append([]byte("{"), object...))
		if !found || !ok {
			if len(bytes.TrimSpace(scanner.Bytes())) > 0 {
				unread++
			}
			continue
		}
		l.file, l.number = file, number
		if words := strings.Fields(string(prefix)); len(words) > 0 {
			l.Process = strings.Trim(words[len(words)-1], ":|[]")
		} else {
			if strings.HasSuffix(l.Event, "Started") && l.text("Name") != "" {
				name = l.text("Name")
			}
			l.Process = name
		}
		if keep(l) {
			lines = append(lines, l)
		}
	}
	return lines, unread, scanner.Err()
}

func decode(object []byte) (Line, bool) {
	var l Line
	// Generations do not fit a floating-point number.
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
