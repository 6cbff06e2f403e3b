package soaker

import (
	"slices"
	"sync"
	"time"

	"cherviltide.example/cherviltide"
)

// Violation is a guarantee that the system did not keep.
type Violation struct {
	// After is the time since the start of the run.
	After cherviltide.Millis
	// Promise is the name of the guarantee.
	Promise string
	Detail  string
}

// Counts has what callers and operators observed.
type Counts struct {
	Flows, Unopened, Answers int
	// Reset and Silent count the open flows that were reset or got no more responses at a time at which that is allowed.
	// UnknownEnds counts those that got no response to the first request, so they may not have been open.
	Reset, Silent, UnknownEnds int
	Edits, EditsAcknowledged   int
	Reads, ReadsRefused        int
	// ConfigsChecked counts the new flows whose service was compared with the configurations that may have been in force.
	ConfigsChecked          int
	Drains, Restarts        int
	Evacuations             int
	AskedAtEnd, ServedAtEnd int
	// Skipped counts the faults that were left out because another one was active on the same process or link.
	Skipped int
}

// faultPeriod is the time in which a fault was active on a process or link. The end is zero while the fault is active.
type faultPeriod struct {
	subject  string
	planned  bool
	from, to time.Time
}

// record has the injected faults, the violations and the counts of a run. It is safe for concurrent use.
type record struct {
	mu            sync.Mutex
	start         time.Time
	faults        []*faultPeriod
	violationList []Violation
	totals        Counts
}

func newRecord() *record { return &record{start: time.Now()} }

// beginFault records the start of a fault and returns the function that records its end.
func (r *record) beginFault(subject string, planned bool) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &faultPeriod{subject: subject, planned: planned, from: time.Now()}
	r.faults = append(r.faults, p)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		p.to = time.Now()
	}
}

// isFaultFree reports whether no relevant fault was active between two times, or in the settling time before them.
func (r *record) isFaultFree(from, to time.Time, isRelevant func(faultPeriod) bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	from = from.Add(-settlingTime)
	return !slices.ContainsFunc(r.faults, func(p *faultPeriod) bool {
		return p.from.Before(to) && (p.to.IsZero() || p.to.After(from)) && isRelevant(*p)
	})
}

// Conditions that select the faults that are relevant for a guarantee.
func anyFault(faultPeriod) bool      { return true }
func isUnplanned(p faultPeriod) bool { return !p.planned }

// addViolation records a guarantee that was not kept.
func (r *record) addViolation(promise, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violationList = append(r.violationList, Violation{After: cherviltide.MillisOf(time.Since(r.start)), Promise: promise, Detail: detail})
}

func (r *record) violations() []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.violationList)
}

// updateCounts changes the counts.
func (r *record) updateCounts(f func(*Counts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.totals)
}

func (r *record) counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.totals
}
