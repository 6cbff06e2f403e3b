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

// exchange is one request of a caller with its answer.
type exchange struct {
	w        http.ResponseWriter
	r        *http.Request
	id       string
	customer cherviltide.Customer
	kind     cherviltide.Kind
	started  cherviltide.Millis
	// deadline is the instant by which the answer has to be complete.
	deadline cherviltide.Millis
	// outcome is set once, when it is known how the request ended.
	outcome cherviltide.Outcome
	reason  string
	// ran is true while an attempt runs and after one of which it is not known that the target did not run it.
	ran bool
	// consumed is true once a part of the body has been read, so that the request cannot be sent again.
	consumed atomic.Bool
	// flowing is true once the target's answer has started; the deadline then no longer ends the transfer.
	flowing atomic.Bool
	// claim and body are set for at-most-once requests.
	claim *claimer.Claim
	body  []byte
	// firstSending is true when the caller says that it has not sent the key before.
	firstSending bool
	// attempt is above 0 from the grant of the claim to its settlement.
	attempt uint32
}

// serve handles one request of a caller. Every request has exactly one outcome, which is recorded and logged here.
func (p *Proxier) serve(w http.ResponseWriter, r *http.Request) {
	id, err := uuid.NewV7()
	if err != nil {
		id = uuid.New()
	}
	x := &exchange{w: w, r: r, id: id.String(), started: p.config.Clock.Now()}
	w.Header().Set(HeaderRequestID, x.id)
	if !p.gate.enter() {
		x.refuse(http.StatusServiceUnavailable, "Stopping", "the target is leaving", retryHint)
		p.finish(x)
		return
	}
	defer p.gate.leave()
	defer p.finish(x)
	p.handle(x)
	if x.outcome == cherviltide.OutcomePartial {
		// The stream is reset, so that the caller cannot take the answer for a complete one.
		panic(http.ErrAbortHandler)
	}
}

// finish records the outcome. A handler that failed without one counts by whether the request may have run.
func (p *Proxier) finish(x *exchange) {
	if x.outcome == "" {
		x.outcome = cherviltide.OutcomeRefused
		if x.ran {
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

// handle identifies the request, waits for a slot and runs it.
func (p *Proxier) handle(x *exchange) {
	if !p.identify(x) {
		return
	}
	if x.kind.AtMostOnce && !p.prepareClaim(x) {
		return
	}
	p.admit(x)
}

// identify finds the customer, the kind and the deadline, and refuses requests that break a limit.
func (p *Proxier) identify(x *exchange) bool {
	rules := p.config.Rules()
	var ok bool
	if x.customer, ok = p.customer(x.r, rules); !ok {
		return x.refuse(http.StatusForbidden, "Customer", "customer may not reach this service", 0)
	}
	if err := checkPath(x.r); err != nil {
		return x.refuse(http.StatusBadRequest, "Path", err.Error(), 0)
	}
	if x.kind, ok = p.kindOf(x.r, rules); !ok || x.r.Method == http.MethodConnect {
		return x.refuse(http.StatusNotFound, "Kind", "no kind of traffic matches the request", 0)
	}
	span, err := deadlineOf(x.r.Header, x.kind)
	if err != nil {
		return x.refuse(http.StatusBadRequest, "Deadline", err.Error(), 0)
	}
	x.deadline = x.started + span
	if x.r.ContentLength > bodyLimit(x.kind) {
		return x.refuse(http.StatusRequestEntityTooLarge, "BodySize", "the body is too large", 0)
	}
	x.r.Body = http.MaxBytesReader(x.w, x.r.Body, bodyLimit(x.kind))
	return true
}

// retryHint is the retry hint when nothing better is known.
const retryHint cherviltide.Millis = 1_000

// refuse answers a request that did not run. It returns false for use as a result.
func (x *exchange) refuse(status int, reason, text string, retryAfter cherviltide.Millis) bool {
	x.end(cherviltide.OutcomeRefused, reason)
	if retryAfter > 0 {
		// Retry-After has whole seconds.
		x.w.Header().Set("Retry-After", strconv.FormatInt(int64((retryAfter+999)/1000), 10))
	}
	x.reply(status, text)
	return false
}

// refuseFor answers a request that got no slot, or none for its second attempt.
func (x *exchange) refuseFor(err error) {
	if x.ran {
		x.unknown(http.StatusBadGateway, "Target", "the target did not answer; the effect of the request is unknown")
		return
	}
	reason, retryAfter := "Slots", retryHint
	var refused *admitter.Error
	if errors.As(err, &refused) {
		reason, retryAfter = string(refused.Reason), refused.RetryAfter
	}
	x.refuse(http.StatusServiceUnavailable, reason, err.Error(), retryAfter)
}

// unknown answers a request whose effect is unknown.
func (x *exchange) unknown(status int, reason, text string) {
	x.end(cherviltide.OutcomeUnknown, reason)
	x.reply(status, text)
}

func (x *exchange) end(outcome cherviltide.Outcome, reason string) {
	x.outcome, x.reason = outcome, reason
}

// reply writes an answer that is not the target's.
func (x *exchange) reply(status int, text string) {
	x.w.Header().Set(HeaderOutcome, string(x.outcome))
	x.w.Header().Set(HeaderReason, x.reason)
	http.Error(x.w, text, status)
}
