package soaker

import (
	"slices"
	"sync"
	"time"

	"cherviltide.example/cherviltide"
)

// Violation is a promise that was not kept.
type Violation struct {
	// After is the time since the start of the run.
	After   cherviltide.Millis
	Promise string
	Detail  string
}

// Counts tell what callers and operators saw.
type Counts struct {
	Flows, Unopened, Answers int
	// Reset and Silent count open flows that ended while no promise held, UnknownEnds those that may not have been open.
	Reset, Silent, UnknownEnds int
	Edits, EditsAcknowledged   int
	Reads, ReadsRefused        int
	// ConfigsChecked counts new flows whose service was compared with the configurations in force.
	ConfigsChecked          int
	Drains, Restarts        int
	AskedAtEnd, ServedAtEnd int
	// Skipped counts faults that met another one on the same process.
	Skipped int
}

// disturbance is a time in which something was disturbed from outside. It ends at the zero time while it is under way.
type disturbance struct {
	subject  string
	planned  bool
	from, to time.Time
}

// record remembers disturbances, violations and counts. It is safe for concurrent use.
type record struct {
	mu           sync.Mutex
	start        time.Time
	disturbances []*disturbance
	list         []Violation
	tally        Counts
}

func newRecord() *record { return &record{start: time.Now()} }

// begin notes a disturbance and returns what notes its end.
func (r *record) begin(subject string, planned bool) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := &disturbance{subject: subject, planned: planned, from: time.Now()}
	r.disturbances = append(r.disturbances, d)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		d.to = time.Now()
	}
}

// calm reports whether nothing that matters was disturbed between two times and in the contact time before them.
func (r *record) calm(from, to time.Time, matters func(disturbance) bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	from = from.Add(-contact)
	return !slices.ContainsFunc(r.disturbances, func(d *disturbance) bool {
		return d.from.Before(to) && (d.to.IsZero() || d.to.After(from)) && matters(*d)
	})
}

// Kinds of disturbances that matter for a promise.
func anything(disturbance) bool    { return true }
func unplanned(d disturbance) bool { return !d.planned }

// violate notes a promise that was not kept.
func (r *record) violate(promise, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, Violation{After: cherviltide.MillisOf(time.Since(r.start)), Promise: promise, Detail: detail})
}

func (r *record) violations() []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.list)
}

// count changes the counts.
func (r *record) count(f func(*Counts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.tally)
}

func (r *record) counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tally
}
