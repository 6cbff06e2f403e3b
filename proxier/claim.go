package proxier

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"maps"
	"net/http"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/claimer"
)

// bodyRecorder records a response body of up to maxStoredAnswerBytes; it keeps nothing of a larger one.
type bodyRecorder struct {
	body     []byte
	overflow bool
}

func (b *bodyRecorder) record(p []byte) {
	if b.overflow || len(b.body)+len(p) > maxStoredAnswerBytes {
		b.body, b.overflow = nil, true
		return
	}
	b.body = append(b.body, p...)
}

// prepareClaim parses the idempotency key and reads the whole body, since the claim's digest covers it. When it returns
// false, the request has been refused.
func (p *Proxier) prepareClaim(x *exchange) bool {
	values := x.r.Header.Values(HeaderIdempotencyKey)
	if len(values) != 1 {
		return x.refuse(http.StatusBadRequest, "Key", "the request must have one "+HeaderIdempotencyKey+" header with a UUID of version 7", 0)
	}
	key, err := claimer.ParseKey(x.customer.Name, p.config.Service, values[0])
	if err != nil {
		return x.refuse(http.StatusBadRequest, "Key", err.Error(), 0)
	}
	if p.config.Claims == nil {
		return x.refuse(http.StatusServiceUnavailable, "Claims", "the agent does not accept at-most-once requests", 0)
	}
	body, err := io.ReadAll(x.r.Body)
	if err != nil {
		return x.refuse(http.StatusRequestEntityTooLarge, "BodySize", "the request body is too large or incomplete", 0)
	}
	x.firstAttempt = x.r.Header.Get(HeaderFirstSending) == "true"
	x.claim = &claimer.Claim{Key: key, Digest: requestDigest(x.r, body), Run: x.id, Until: x.kind.Deadline + 2*maxSettleTime}
	x.body = body
	x.r.ContentLength = int64(len(body))
	return true
}

// maxSettleTime limits the time between the end of an execution and its settlement.
const maxSettleTime cherviltide.Millis = 30_000

// requestDigest returns the digest of the method, the path with its query, and the body. Each part is preceded by its
// length.
func requestDigest(r *http.Request, body []byte) claimer.Digest {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(r.Method), []byte(r.URL.RequestURI()), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	return claimer.Digest(h.Sum(nil))
}

// claimKey claims the key at its home agent. When it returns false, the request has its outcome and must not run.
func (p *Proxier) claimKey(ctx context.Context, x *exchange) bool {
	v := p.config.Claims.Claim(ctx, *x.claim)
	switch v.State {
	case claimer.StateGranted:
		x.claimAttempt = v.Attempt
		return true
	case claimer.StateStored:
		p.replayAnswer(x, v.Answer)
	case claimer.StateInProgress:
		x.w.Header().Set("Retry-After", "1")
		x.failUnknown(http.StatusConflict, "InProgress", "a request with this key is in progress")
	case claimer.StateUnknown:
		x.failUnknown(http.StatusConflict, "KeyUnknown", "the effect of an earlier request with this key is unknown")
	default:
		p.refuseClaim(x, v.Reason)
	}
	return false
}

// refuseClaim ends a request whose claim was refused by the key's home agent. After a takeover, or when the key is too
// old, the home agent refuses the key forever, so the caller would retry with a new key. That is safe only if this was
// the first attempt with the key: an earlier attempt may have run under the former home agent. Its outcome is then
// unknown.
func (p *Proxier) refuseClaim(x *exchange, reason claimer.Reason) {
	permanent := reason == claimer.ReasonKeyTakeover || reason == claimer.ReasonKeyOld
	if permanent && !x.firstAttempt {
		x.failUnknown(http.StatusConflict, string(reason), "this request did not run; whether an earlier one with the same key ran is unknown")
		return
	}
	x.refuse(refusalStatus(reason), string(reason), "this request did not run; an earlier one with the same key may have", defaultRetryAfter)
}

// refusalStatus returns the HTTP status for a refused claim.
func refusalStatus(reason claimer.Reason) int {
	switch reason {
	case claimer.ReasonKeyReused:
		return http.StatusUnprocessableEntity
	case claimer.ReasonKeyAhead, claimer.ReasonKeyOld:
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}

// replayAnswer sends the stored response of the earlier execution with the key.
func (p *Proxier) replayAnswer(x *exchange, a *claimer.Answer) {
	x.w.Header().Set(HeaderReplayed, "true")
	if a == nil || a.Cut {
		x.failUnknown(http.StatusConflict, "AnswerNotKept", "the request ran; its response was too large to be stored")
		return
	}
	maps.Copy(x.w.Header(), a.Header)
	x.w.WriteHeader(a.Status)
	if _, err := x.w.Write(a.Body); err != nil {
		x.setOutcome(cherviltide.OutcomePartial, "Caller")
		return
	}
	x.setOutcome(cherviltide.OutcomeTimely, "Replayed")
}

func (p *Proxier) settleStored(x *exchange, res *http.Response, recorded *bodyRecorder) {
	p.settle(x, claimer.EndingStored, &claimer.Answer{Status: res.StatusCode, Header: res.Header, Body: recorded.body, Cut: recorded.overflow})
}

func (p *Proxier) settleNotRun(x *exchange) { p.settle(x, claimer.EndingNotRun, nil) }

func (p *Proxier) settleUnknown(x *exchange) { p.settle(x, claimer.EndingUnknown, nil) }

// settle reports the end of a granted execution to the key's home agent. Without a grant it does nothing.
func (p *Proxier) settle(x *exchange, ending claimer.Ending, answer *claimer.Answer) {
	if x.claimAttempt == 0 {
		return
	}
	p.config.Claims.Settle(context.WithoutCancel(x.r.Context()), claimer.Settlement{
		Key: x.claim.Key, Run: x.claim.Run, Attempt: x.claimAttempt, Ending: ending, Answer: answer,
	})
	x.claimAttempt = 0
}
