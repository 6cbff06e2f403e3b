package soaker

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"cherviltide.example/cherviltide/bench/relaypath"
	"cherviltide.example/cherviltide/runner"
)

const (
	// answerLimit is how long a caller waits for an answer on an open flow.
	answerLimit = 8 * time.Second
	// mostQuestions and longestPause bound what a caller does with one flow.
	mostQuestions = 40
	longestPause  = 600 * time.Millisecond
	// restAfter is the pause of a caller between two flows.
	restAfter = 50 * time.Millisecond
)

// call opens one flow after the other until ctx ends. Half of them carry one question.
func (w *world) call(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		v := virtuals[random.IntN(len(virtuals))]
		if f, target := w.open(ctx, v); f != nil {
			w.use(ctx, f, target, random.IntN(mostQuestions)*random.IntN(2), random)
		}
		_ = runner.Sleep(ctx, restAfter)
	}
}

// open opens a flow and returns it with the target that answers its first question, or nil.
func (w *world) open(ctx context.Context, v virtual) (*relaypath.Flow, string) {
	started := time.Now()
	opening, cancel := context.WithTimeout(ctx, openLimit)
	defer cancel()
	f, err := w.callers.Open(opening, v.address)
	if err != nil {
		w.damage(err)
		w.record.count(func(c *Counts) { c.Unopened++ })
		return nil, ""
	}
	first, cancelFirst := context.WithTimeout(ctx, answerLimit)
	defer cancelFirst()
	target, err := f.Ask(first, "first")
	if err != nil {
		// Whether the target had the flow is not known, so its end proves nothing.
		w.damage(err)
		w.record.count(func(c *Counts) { c.UnknownEnds++ })
		return nil, ""
	}
	w.record.count(func(c *Counts) { c.Flows++ })
	w.operator.check(v, started, target)
	return f, target
}

// damage reports an answer that does not belong to its question.
func (w *world) damage(err error) {
	if errors.Is(err, relaypath.ErrCorrupted) || errors.Is(err, relaypath.ErrWrongResponse) {
		w.record.violate("mixed", err.Error())
	}
}

// use asks over an open flow and checks that it stays whole at its target.
func (w *world) use(ctx context.Context, f *relaypath.Flow, target string, questions int, random *rand.Rand) {
	for i := range questions {
		if !runner.Sleep(ctx, time.Duration(random.Int64N(int64(longestPause)))) {
			return
		}
		asked := time.Now()
		answer, cancel := context.WithTimeout(ctx, answerLimit)
		name, err := f.Ask(answer, fmt.Sprint("question ", i))
		cancel()
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			w.broken(f, target, asked, err)
			return
		case name != target:
			w.record.violate("flow", fmt.Sprintf("flow %d of %s was answered by %s", f.Port(), target, name))
			return
		}
		w.record.count(func(c *Counts) { c.Answers++ })
	}
	ending, cancel := context.WithTimeout(ctx, openLimit)
	defer cancel()
	// A flow that does not close in time is forgotten by both sides.
	_ = f.Close(ending)
}

// broken judges the end of an open flow. Only planned work and calm times promise that there is none.
func (w *world) broken(f *relaypath.Flow, target string, asked time.Time, err error) {
	w.damage(err)
	if !w.backends.alive(target) || !w.record.calm(asked, time.Now(), unplanned) {
		w.record.count(func(c *Counts) {
			if errors.Is(err, relaypath.ErrReset) {
				c.Reset++
			} else {
				c.Silent++
			}
		})
		return
	}
	w.record.violate("flow", fmt.Sprintf("flow %d of %s ended %v after a question: %v", f.Port(), target, time.Since(asked).Round(time.Millisecond), err))
}

// probe reports whether a caller is served within three attempts after the last fault.
func (w *world) probe(ctx context.Context, i int) bool {
	for range 3 {
		ctx, cancel := context.WithTimeout(ctx, 2*openLimit)
		f, err := w.callers.Open(ctx, virtuals[i%len(virtuals)].address)
		if err == nil {
			_, err = f.Ask(ctx, "at the end")
		}
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}
