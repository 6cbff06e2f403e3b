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

var errWrongResponse = errors.New("the response has the ID of another request")

// attemptResult tells whether a failed attempt may be retried.
type attemptResult struct {
	// notRun is true when no byte was sent to the target, or the target stated that it did not run the request.
	notRun bool
	// repeatable is true when the request may be sent again although it may have run.
	repeatable bool
}

// runWithRetry waits for a slot and runs the request. It retries the request once if that is safe and the retry budget
// allows it.
func (p *Proxier) runWithRetry(x *exchange) {
	for first := true; ; first = false {
		ctx, cancel := p.deadlineContext(x)
		release, err := p.config.Slots.Acquire(ctx, x.kind, x.deadline)
		if err != nil {
			cancel()
			x.failWithoutSlot(err)
			p.settleNotRun(x)
			return
		}
		retry := p.attempt(ctx, x, release, first)
		cancel()
		if !retry {
			return
		}
	}
}

// attempt runs the request in its slot and reports whether it must be retried.
func (p *Proxier) attempt(ctx context.Context, x *exchange, release func(admitter.Completion), first bool) bool {
	completion := admitter.Completion{Failed: true}
	defer func() { release(completion) }()
	if first && x.claim != nil && !p.claimKey(ctx, x) {
		return false
	}
	if x.claim != nil {
		x.r.Body = io.NopCloser(bytes.NewReader(x.body))
	}
	result, c := p.run(ctx, x)
	completion = c
	retry := first && x.outcome == "" && (result.notRun || result.repeatable) && !bodyUnavailable(x) && ctx.Err() == nil && p.config.Slots.TakeRetry()
	if retry {
		return true
	}
	p.endFailed(x, result)
	return false
}

// endFailed sets the outcome of a request that has none yet, and settles its claim.
func (p *Proxier) endFailed(x *exchange, result attemptResult) {
	if x.outcome != "" {
		return
	}
	if result.notRun && !x.mayHaveRun {
		x.refuse(http.StatusServiceUnavailable, "TargetNotRun", "the target did not run the request", defaultRetryAfter)
		p.settleNotRun(x)
		return
	}
	status := http.StatusBadGateway
	if p.config.Clock.Now() >= x.deadline {
		status = http.StatusGatewayTimeout
	}
	x.failUnknown(status, "Target", "the target did not respond; the effect of the request is unknown")
	p.settleUnknown(x)
}

// run sends the request to the target and forwards the response. The outcome stays empty when there was no response.
func (p *Proxier) run(ctx context.Context, x *exchange) (attemptResult, admitter.Completion) {
	// The deadline ends the wait for the response header. After that, only a stall ends the transfer.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var writes writeTracker
	mayHaveRunBefore := x.mayHaveRun
	x.mayHaveRun = true
	res, err := p.client.RoundTrip(p.targetRequest(writes.withTrace(ctx), x))
	if err == nil {
		defer func() { _ = res.Body.Close() }()
		err = checkResponse(x, res)
	}
	if err != nil {
		repeatable := (x.r.Method == http.MethodGet || x.r.Method == http.MethodHead) && !x.kind.AtMostOnce
		x.mayHaveRun = mayHaveRunBefore || writes.anyWritten()
		return attemptResult{notRun: !writes.anyWritten(), repeatable: repeatable}, admitter.Completion{Failed: true}
	}
	if res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(HeaderShed) == shedNotRun {
		x.mayHaveRun = mayHaveRunBefore
		return attemptResult{notRun: true}, admitter.Completion{Shed: true}
	}
	p.forwardResponse(x, res, cancel)
	return attemptResult{}, admitter.Completion{
		Shed:   res.StatusCode == http.StatusServiceUnavailable,
		Failed: x.outcome == cherviltide.OutcomePartial,
	}
}

// targetRequest returns the request as it is sent to the target.
func (p *Proxier) targetRequest(ctx context.Context, x *exchange) *http.Request {
	out := x.r.Clone(ctx)
	out.URL.Scheme = "http"
	out.URL.Host = p.config.Target.String()
	out.RequestURI = ""
	out.Trailer = nil
	out.Body = singleUseBody{body: x.r.Body, consumed: &x.bodyConsumed}
	out.GetBody = nil
	removeUnforwardableHeaders(out.Header)
	out.Header.Set(HeaderCustomer, x.customer.Name)
	out.Header.Set(HeaderRequestID, x.id)
	left := max(x.deadline-p.config.Clock.Now(), 1)
	out.Header.Set(HeaderDeadline, strconv.FormatInt(int64(left), 10))
	return out
}

// checkResponse returns an error for a response whose truncation could not be detected, and for the response to another
// request.
func checkResponse(x *exchange, res *http.Response) error {
	hasNoBody := x.r.Method == http.MethodHead || res.StatusCode == http.StatusNoContent || res.StatusCode == http.StatusNotModified
	if !hasNoBody && !hasBodyFraming(res) {
		return io.ErrUnexpectedEOF
	}
	if id := res.Header.Get(HeaderRequestID); id != "" && id != x.id {
		return errWrongResponse
	}
	return nil
}

// forwardResponse copies the target's response to the caller, settles the claim and sets the outcome.
func (p *Proxier) forwardResponse(x *exchange, res *http.Response, cancel context.CancelFunc) {
	removeUnforwardableHeaders(res.Header)
	maps.Copy(x.w.Header(), res.Header)
	x.responseStarted.Store(true)
	x.w.WriteHeader(res.StatusCode)
	recorded := &bodyRecorder{}
	stall := time.AfterFunc(stallTimeout, cancel)
	defer stall.Stop()
	err := copyBody(x.w, res.Body, recorded, x.kind.AtMostOnce, stall)
	if err != nil {
		x.setOutcome(cherviltide.OutcomePartial, "TargetCut")
		p.settleUnknown(x)
		return
	}
	for name, values := range res.Trailer {
		x.w.Header()[http.TrailerPrefix+name] = values
	}
	p.settleStored(x, res, recorded)
	outcome := cherviltide.OutcomeTimely
	if p.config.Clock.Now() > x.deadline {
		outcome = cherviltide.OutcomeLate
	}
	x.setOutcome(outcome, "")
}

const copyBufferBytes = 64 << 10

// copyBody copies a body until its end, and records it if record is true. The stall timer restarts whenever a part of
// the body has been copied.
func copyBody(w http.ResponseWriter, body io.Reader, recorder *bodyRecorder, record bool, stall *time.Timer) error {
	control := http.NewResponseController(w)
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(stallTimeout))
			if _, werr := w.Write(buffer[:n]); werr != nil {
				return werr
			}
			stall.Reset(stallTimeout)
			if record {
				recorder.record(buffer[:n])
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

// deadlineContext returns a context that ends at the deadline unless the response has started by then. A bulky request
// that has a slot may continue after its deadline and end late, but ends when the target has still not responded after
// stallTimeout more. The context also ends when the caller cancels, except for at-most-once requests: a caller that
// loses its connection fetches the stored response later.
func (p *Proxier) deadlineContext(x *exchange) (context.Context, context.CancelFunc) {
	base := x.r.Context()
	if x.claim != nil {
		base = context.WithoutCancel(base)
	}
	ctx, cancel := context.WithCancel(base)
	timeout := (x.deadline - p.config.Clock.Now()).Duration()
	if x.kind.Class == cherviltide.ClassBulky {
		timeout += stallTimeout
	}
	timer := time.AfterFunc(timeout, func() {
		if !x.responseStarted.Load() {
			cancel()
		}
	})
	return ctx, func() { timer.Stop(); cancel() }
}

// bodyUnavailable reports whether an attempt may have consumed a body that cannot be read again.
func bodyUnavailable(x *exchange) bool {
	return x.claim == nil && x.bodyConsumed.Load()
}
