package proxier

import (
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/admitter"
	"cherviltide.example/cherviltide/claimer"
)

// exchange is a caller's request and its response.
type exchange struct {
	w        http.ResponseWriter
	r        *http.Request
	id       string
	customer cherviltide.Customer
	kind     cherviltide.Kind
	started  cherviltide.Millis
	// deadline is the time by which the response must be complete.
	deadline cherviltide.Millis
	// outcome is set once, when the request has ended.
	outcome cherviltide.Outcome
	reason  string
	// mayHaveRun is true during an attempt, and stays true after it unless the target is known not to have run the
	// request.
	mayHaveRun bool
	// bodyConsumed is true once a part of the request body has been read, so that it cannot be sent again.
	bodyConsumed atomic.Bool
	// responseStarted is true once the target's response has started. From then on, the deadline does not end the
	// transfer.
	responseStarted atomic.Bool
	// claim and body are set for at-most-once requests.
	claim *claimer.Claim
	body  []byte
	// firstAttempt is true when the caller states that it has not sent the key before.
	firstAttempt bool
	// claimAttempt is the number of the granted attempt; it is 0 before the claim is granted and after its settlement.
	claimAttempt uint32
}

// serve handles one request of a caller. Every request ends with exactly one outcome, which is recorded and logged
// here.
func (p *Proxier) serve(w http.ResponseWriter, r *http.Request) {
	id, err := uuid.NewV7()
	if err != nil {
		id = uuid.New()
	}
	x := &exchange{w: w, r: r, id: id.String(), started: p.config.Clock.Now()}
	w.Header().Set(HeaderRequestID, x.id)
	if !p.requests.begin() {
		x.refuse(http.StatusServiceUnavailable, "Stopping", "the agent is shutting down", defaultRetryAfter)
		p.finish(x)
		return
	}
	defer p.requests.end()
	defer p.finish(x)
	p.handle(x)
	if x.outcome == cherviltide.OutcomePartial {
		// Reset the stream, so that the caller does not take the response for a complete one.
		panic(http.ErrAbortHandler)
	}
}

// finish records the outcome. A request whose handler set none was refused, or is unknown if it may have run.
func (p *Proxier) finish(x *exchange) {
	if x.outcome == "" {
		x.outcome = cherviltide.OutcomeRefused
		if x.mayHaveRun {
			x.outcome = cherviltide.OutcomeUnknown
		}
	}
	took := p.config.Clock.Now() - x.started
	if p.config.Recorder != nil {
		p.config.Recorder.Record(p.config.Service, x.kind.Name, x.outcome, took)
	}
	p.config.Log.Info("RequestEnded", zap.String("RequestID", x.id), zap.String("Kind", x.kind.Name),
		zap.String("Customer", x.customer.Name), zap.String("Outcome", string(x.outcome)),
		zap.String("Reason", x.reason), zap.Int64("Ms", int64(took)))
}

// handle validates the request, waits for a slot and runs it.
func (p *Proxier) handle(x *exchange) {
	if !p.validate(x) {
		return
	}
	if x.kind.AtMostOnce && !p.prepareClaim(x) {
		return
	}
	p.runWithRetry(x)
}

// validate determines the customer, the kind and the deadline. It refuses invalid requests and returns false for them.
func (p *Proxier) validate(x *exchange) bool {
	rules := p.config.Rules()
	var ok bool
	if x.customer, ok = p.customerOf(x.r, rules); !ok {
		return x.refuse(http.StatusForbidden, "Customer", "the customer may not access this service", 0)
	}
	if err := checkPath(x.r); err != nil {
		return x.refuse(http.StatusBadRequest, "Path", err.Error(), 0)
	}
	if x.kind, ok = p.kindOf(x.r, rules); !ok || x.r.Method == http.MethodConnect {
		return x.refuse(http.StatusNotFound, "Kind", "no kind of traffic matches the request", 0)
	}
	timeout, err := requestTimeout(x.r.Header, x.kind)
	if err != nil {
		return x.refuse(http.StatusBadRequest, "Deadline", err.Error(), 0)
	}
	x.deadline = x.started + timeout
	if x.r.ContentLength > bodyLimit(x.kind) {
		return x.refuse(http.StatusRequestEntityTooLarge, "BodySize", "the request body is too large", 0)
	}
	x.r.Body = http.MaxBytesReader(x.w, x.r.Body, bodyLimit(x.kind))
	return true
}

// defaultRetryAfter is the retry delay that a refusal names when there is no better estimate.
const defaultRetryAfter cherviltide.Millis = 1_000

// refuse ends a request that did not run. It always returns false, so that callers can return its result.
func (x *exchange) refuse(status int, reason, text string, retryAfter cherviltide.Millis) bool {
	x.setOutcome(cherviltide.OutcomeRefused, reason)
	if retryAfter > 0 {
		// Retry-After is in whole seconds; the delay is rounded up.
		x.w.Header().Set("Retry-After", strconv.FormatInt(int64((retryAfter+999)/1000), 10))
	}
	x.writeError(status, text)
	return false
}

// failWithoutSlot ends a request that got no slot for its first or its second attempt.
func (x *exchange) failWithoutSlot(err error) {
	if x.mayHaveRun {
		x.failUnknown(http.StatusBadGateway, "Target", "the target did not respond; the effect of the request is unknown")
		return
	}
	reason, retryAfter := "Slots", defaultRetryAfter
	var refused *admitter.Error
	if errors.As(err, &refused) {
		reason, retryAfter = string(refused.Reason), refused.RetryAfter
	}
	x.refuse(http.StatusServiceUnavailable, reason, err.Error(), retryAfter)
}

// failUnknown ends a request whose effect is unknown.
func (x *exchange) failUnknown(status int, reason, text string) {
	x.setOutcome(cherviltide.OutcomeUnknown, reason)
	x.writeError(status, text)
}

func (x *exchange) setOutcome(outcome cherviltide.Outcome, reason string) {
	x.outcome, x.reason = outcome, reason
}

// writeError writes a response of the agent itself, with the outcome and its reason.
func (x *exchange) writeError(status int, text string) {
	x.w.Header().Set(HeaderOutcome, string(x.outcome))
	x.w.Header().Set(HeaderReason, x.reason)
	http.Error(x.w, text, status)
}
