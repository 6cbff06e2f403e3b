// Command rig runs the programs of the system as separate processes on loopback addresses, with stand-ins of the platform's
// router, clients, targets and operator, and checks one rule while it causes one disruption.
package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// cases has the scenario of each case. It returns whether the rule held; an error means that the case could not run.
var cases = map[string]func(e *environment) (bool, error){
	"release":  runRelease,
	"bridge":   runBridge,
	"growth":   func(e *environment) (bool, error) { return runChanges(e, false) },
	"timeouts": func(e *environment) (bool, error) { return runChanges(e, true) },
	"agents":   runAgents,
	"replaced": runReplaced,
	"moved":    runMoved,
	"handover": runHandover,
}

// grownCases are the cases with the bounds and the memory of the grown sheets.
var grownCases = map[string]bool{"bridge": true, "growth": true, "timeouts": true}

// environment is what a scenario runs in.
type environment struct {
	site    *site
	trouble bool
	mu      sync.Mutex
	record  *bufio.Writer
	started time.Time
}

// note writes a line with the time since the start to the record and, if important, to standard output.
func (e *environment) note(important bool, format string, args ...any) {
	e.noteAt(time.Now(), important, format, args...)
}

func (e *environment) noteAt(at time.Time, important bool, format string, args ...any) {
	line := fmt.Sprintf("%9.3f ", at.Sub(e.started).Seconds()) + fmt.Sprintf(format, args...)
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintln(e.record, line)
	if important {
		fmt.Println(line)
	}
}

// usage: rig CASE BINARY RECORD
func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE BINARY RECORD")
		return 2
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs in", dir)
	}
	binary, err := filepath.Abs(os.Args[2])
	if err != nil {
		return 2
	}
	if _, err := os.Stat(binary); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	s, err := newSite(dir, binary)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.killAll()
	e := &environment{site: s, trouble: os.Getenv("TROUBLE") != "0", record: bufio.NewWriter(file), started: time.Now()}
	defer func() { _ = e.record.Flush() }()
	s.grown = grownCases[os.Args[1]]
	held, err := cases[os.Args[1]](e)
	if err != nil {
		e.note(true, "the case could not run: %v", err)
		return 2
	}
	if !held {
		return 1
	}
	return 0
}
