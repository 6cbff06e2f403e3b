// Command rig3 plays the cases of the review that are scripts: it starts the project's own programs on loopback addresses, disturbs
// them, and judges what operators see. It exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// verdicts of a case, as exit codes.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	usageText = "usage: rig3 CASE RECORD"
)

// cases maps the names of the cases to their functions. trouble is false for a run without the disruption.
var cases = map[string]func(s *site, trouble bool) (int, error){
	"first-start-cut": firstStartCut,
	"lost-disk":       diskLostWhileSeedsFrozen,
	"killed-start":    killedDuringFirstStart,
	"lost-seed":       seedGoneDuringFirstStart,
	"retired-service": retiredService,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, usageText)
		os.Exit(couldNot)
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	s, err := newSite(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	s.logf("case %s, trouble %v", os.Args[1], trouble)
	verdict, err := cases[os.Args[1]](s, trouble)
	if err != nil {
		verdict = couldNot
		s.logf("could not run: %v", err)
	}
	s.close()
	s.logf("verdict %d", verdict)
	os.Exit(verdict)
}
