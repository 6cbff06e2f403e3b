// Command review-2 runs the script cases of the second review. Its argument is the name of a case, the second one the folder for
// record.txt. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// errBroken is returned by a case whose rule was broken.
var errBroken = errors.New("the rule was broken")

func main() {
	cases := map[string]func(*record, bool) error{"start": runStart, "power": runPower, "wipe": runWipe, "highest": runHighest, "crash": runCrash}
	if len(os.Args) < 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(2)
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := parseTrouble()
	r.log("case %s, trouble %v", os.Args[1], trouble)
	err = cases[os.Args[1]](r, trouble)
	switch {
	case err == nil:
		r.log("the rule held")
	case errors.Is(err, errBroken):
		r.log("RULE BROKEN: %v", err)
	default:
		r.log("the case could not run: %v", err)
	}
	r.close()
	switch {
	case errors.Is(err, errBroken):
		os.Exit(1)
	case err != nil:
		os.Exit(2)
	}
}

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu      *sync.Mutex
	file    *os.File
	started time.Time
	// prefix is at the start of each line.
	prefix string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{mu: &sync.Mutex{}, file: file, started: time.Now()}, err
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%9.3f %s%s\n", time.Since(r.started).Seconds(), r.prefix, fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// named returns the record with a prefix for its lines.
func (r *record) named(prefix string) *record {
	named := *r
	named.prefix = prefix
	return &named
}

func (r *record) close() { _ = r.file.Close() }
