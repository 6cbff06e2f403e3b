package proxier

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/admitter"
)

var errCrossed = errors.New("the answer names another request")

// attempt is what became of one attempt at the target.
type attempt struct {
	// notRun is true when no byte went to the target, or the target said that it did not run the request.
	notRun bool
	// repeat is true when the request may be repeated although it may have run.
	repeat bool
}

// admit waits for a slot and runs the request, a second time when that is safe and within the budget.
func (p *Proxier) admit(x *exchange) {
	for first := true; ; first = false {
		ctx, cancel := p.deadlineContext(x)
		release, err := p.config.Slots.Acquire(ctx, x.kind, x.deadline)
		if err != nil {
			cancel()
			x.refuseFor(err)
			p.settleNotRun(x)
			return
		}
		again := p.attempt(ctx, x, release, first)
		cancel()
		if !again {
			return
		}
	}
}

// attempt runs the request in its slot and reports whether it is to be run again.
func (p *Proxier) attempt(ctx context.Context, x *exchange, release func(admitter.Completion), first bool) bool {
	done := admitter.Completion{Failed: true}
	defer func() { release(done) }()
	if first && x.claim != nil && !p.grant(ctx, x) {
		return false
	}
	if x.claim != nil {
		x.r.Body = io.NopCloser(bytes.NewReader(x.body))
	}
	a, completion := p.run(ctx, x)
	done = completion
	again := first && x.outcome == "" && (a.notRun || a.repeat) && !bodyUsed(x) && ctx.Err() == nil && p.config.Slots.MayRetry()
	if again {
		return true
	}
	p.conclude(x, a)
	return false
}

// conclude gives a failed request its outcome, and settles a claim.
func (p *Proxier) conclude(x *exchange, a attempt) {
	if x.outcome != "" {
		return
	}
	if a.notRun && !x.ran {
		x.refuse(http.StatusServiceUnavailable, "TargetNotRun", "the target did not run the request", retryHint)
		p.settleNotRun(x)
		return
	}
	status := http.StatusBadGateway
	if p.config.Clock.Now() >= x.deadline {
		status = http.StatusGatewayTimeout
	}
	x.unknown(status, "Target", "the target did not answer; the effect of the request is unknown")
	p.settleUnknown(x)
}

// run sends the request to the target and passes its answer on. The outcome stays empty when there was no answer.
func (p *Proxier) run(ctx context.Context, x *exchange) (attempt, admitter.Completion) {
	// The deadline ends the wait for the answer's header; after that only a stall ends the transfer.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var s sending
	before := x.ran
	x.ran = true
	res, err := p.client.RoundTrip(p.request(s.watch(ctx), x))
	if err == nil {
		defer func() { _ = res.Body.Close() }()
		err = checkAnswer(x, res)
	}
	if err != nil {
		safe := (x.r.Method == http.MethodGet || x.r.Method == http.MethodHead) && !x.kind.AtMostOnce
		x.ran = before || s.sent()
		return attempt{notRun: !s.sent(), repeat: safe}, admitter.Completion{Failed: true}
	}
	if res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(HeaderShed) == shedNotRun {
		x.ran = before
		return attempt{notRun: true}, admitter.Completion{Shed: true}
	}
	p.pass(x, res, cancel)
	return attempt{}, admitter.Completion{
		Shed:   res.StatusCode == http.StatusServiceUnavailable,
		Failed: x.outcome == cherviltide.OutcomePartial,
	}
}

// request returns the request as it goes to the target.
func (p *Proxier) request(ctx context.Context, x *exchange) *http.Request {
	out := x.r.Clone(ctx)
	out.URL.Scheme = "http"
	out.URL.Host = p.config.Target.String()
	out.RequestURI = ""
	out.Trailer = nil
	out.Body = oneShot{body: x.r.Body, consumed: &x.consumed}
	out.GetBody = nil
	clean(out.Header)
	out.Header.Set(HeaderCustomer, x.customer.Name)
	out.Header.Set(HeaderRequestID, x.id)
	left := max(x.deadline-p.config.Clock.Now(), 1)
	out.Header.Set(HeaderDeadline, strconv.FormatInt(int64(left), 10))
	return out
}

// checkAnswer refuses answers whose end cannot be told, and answers to another request.
func checkAnswer(x *exchange, res *http.Response) error {
	bodiless := x.r.Method == http.MethodHead || res.StatusCode == http.StatusNoContent || res.StatusCode == http.StatusNotModified
	if !bodiless && !hasLength(res) {
		return io.ErrUnexpectedEOF
	}
	if echo := res.Header.Get(HeaderRequestID); echo != "" && echo != x.id {
		return errCrossed
	}
	return nil
}

// pass copies the target's answer to the caller.
func (p *Proxier) pass(x *exchange, res *http.Response, cancel context.CancelFunc) {
	clean(res.Header)
	maps.Copy(x.w.Header(), res.Header)
	x.flowing.Store(true)
	x.w.WriteHeader(res.StatusCode)
	kept := &keeper{}
	stall := time.AfterFunc(stallTimeout, cancel)
	defer stall.Stop()
	err := copyBody(x.w, res.Body, kept, x.kind.AtMostOnce, stall)
	if err != nil {
		x.end(cherviltide.OutcomePartial, "TargetCut")
		p.settleUnknown(x)
		return
	}
	for name, values := range res.Trailer {
		x.w.Header()[http.TrailerPrefix+name] = values
	}
	p.settleStored(x, res, kept)
	outcome := cherviltide.OutcomeTimely
	if p.config.Clock.Now() > x.deadline {
		outcome = cherviltide.OutcomeLate
	}
	x.end(outcome, "")
}

// copyBuffer is the size of the buffer of a transfer, in bytes.
const copyBuffer = 64 << 10

// copyBody passes a body on until its end. Each read and each write starts the stall timer again.
func copyBody(w http.ResponseWriter, body io.Reader, kept *keeper, keep bool, stall *time.Timer) error {
	control := http.NewResponseController(w)
	buffer := make([]byte, copyBuffer)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(stallTimeout))
			if _, werr := w.Write(buffer[:n]); werr != nil {
				return werr
			}
			stall.Reset(stallTimeout)
			if keep {
				kept.add(buffer[:n])
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// deadlineContext ends at the deadline unless the answer has started by then. A bulky request that has a slot goes on after
// its deadline and ends late; a target that has still not answered counts as stalled then. The caller's cancellation is passed on,
// except for at-most-once requests: a caller that loses its connection asks for the stored answer later.
func (p *Proxier) deadlineContext(x *exchange) (context.Context, context.CancelFunc) {
	base := x.r.Context()
	if x.claim != nil {
		base = context.WithoutCancel(base)
	}
	ctx, cancel := context.WithCancel(base)
	span := (x.deadline - p.config.Clock.Now()).Duration()
	if x.kind.Class == cherviltide.ClassBulky {
		span += stallTimeout
	}
	timer := time.AfterFunc(span, func() {
		if !x.flowing.Load() {
			cancel()
		}
	})
	return ctx, func() { timer.Stop(); cancel() }
}

// bodyUsed reports whether an attempt may have consumed a body that cannot be read again.
func bodyUsed(x *exchange) bool {
	return x.claim == nil && x.consumed.Load()
}
