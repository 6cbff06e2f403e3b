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

// keeper keeps the start of an answer's body.
type keeper struct {
	body []byte
	cut  bool
}

func (k *keeper) add(p []byte) {
	if k.cut || len(k.body)+len(p) > maxAnswerBody {
		k.body, k.cut = nil, true
		return
	}
	k.body = append(k.body, p...)
}

// prepareClaim reads the key and the whole request, which the claim's digest covers.
func (p *Proxier) prepareClaim(x *exchange) bool {
	values := x.r.Header.Values(HeaderKey)
	if len(values) != 1 {
		return x.refuse(http.StatusBadRequest, "Key", "the request needs one "+HeaderKey+" header with a UUID of version 7", 0)
	}
	key, err := claimer.ParseKey(x.customer.Name, p.config.Service, values[0])
	if err != nil {
		return x.refuse(http.StatusBadRequest, "Key", err.Error(), 0)
	}
	if p.config.Claims == nil {
		return x.refuse(http.StatusServiceUnavailable, "Claims", "the agent takes no at-most-once requests", 0)
	}
	body, err := io.ReadAll(x.r.Body)
	if err != nil {
		return x.refuse(http.StatusRequestEntityTooLarge, "BodySize", "the body is too large or incomplete", 0)
	}
	x.firstSending = x.r.Header.Get(HeaderFirst) == "true"
	x.claim = &claimer.Claim{Key: key, Digest: digest(x.r, body), Run: x.id, Until: x.kind.Deadline + 2*maxSettle}
	x.body = body
	x.r.ContentLength = int64(len(body))
	return true
}

// maxSettle bounds the time between the end of an execution and its settlement.
const maxSettle cherviltide.Millis = 30_000

// digest covers the method, the path with its query, and the body.
func digest(r *http.Request, body []byte) claimer.Digest {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(r.Method), []byte(r.URL.RequestURI()), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	return claimer.Digest(h.Sum(nil))
}

// grant claims the key at its home. When it returns false, the request has its outcome.
func (p *Proxier) grant(ctx context.Context, x *exchange) bool {
	v := p.config.Claims.Claim(ctx, *x.claim)
	switch v.State {
	case claimer.StateGranted:
		x.attempt = v.Attempt
		return true
	case claimer.StateStored:
		p.replay(x, v.Answer)
	case claimer.StateInProgress:
		x.w.Header().Set("Retry-After", "1")
		x.unknown(http.StatusConflict, "InProgress", "a request with this key is in progress")
	case claimer.StateUnknown:
		x.unknown(http.StatusConflict, "KeyUnknown", "the effect of an earlier request with this key is unknown")
	default:
		p.refuseClaim(x, v.Reason)
	}
	return false
}

// refuseClaim gives the outcome of a request that its key's home refused. A home that took over, or has forgotten the key,
// refuses the same key for good, so the caller would try another key. That is safe only after a first sending: an earlier
// one may have run under the former home.
func (p *Proxier) refuseClaim(x *exchange, reason claimer.Reason) {
	forgotten := reason == claimer.ReasonTakeover || reason == claimer.ReasonOld
	if forgotten && !x.firstSending {
		x.unknown(http.StatusConflict, string(reason), "this request did not run; whether an earlier one with the same key ran is unknown")
		return
	}
	x.refuse(claimStatus(reason), string(reason), "this request did not run; an earlier one with the same key may have", retryHint)
}

func claimStatus(reason claimer.Reason) int {
	switch reason {
	case claimer.ReasonReused:
		return http.StatusUnprocessableEntity
	case claimer.ReasonAhead, claimer.ReasonOld:
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}

// replay gives the stored answer of the key's execution.
func (p *Proxier) replay(x *exchange, a *claimer.Answer) {
	x.w.Header().Set(HeaderReplayed, "true")
	if a == nil || a.Cut {
		x.unknown(http.StatusConflict, "AnswerNotKept", "the request ran; its answer was too large to keep")
		return
	}
	maps.Copy(x.w.Header(), a.Header)
	x.w.WriteHeader(a.Status)
	if _, err := x.w.Write(a.Body); err != nil {
		x.end(cherviltide.OutcomePartial, "Caller")
		return
	}
	x.end(cherviltide.OutcomeTimely, "Replayed")
}

func (p *Proxier) settleStored(x *exchange, res *http.Response, kept *keeper) {
	p.settle(x, claimer.EndingStored, &claimer.Answer{Status: res.StatusCode, Header: res.Header, Body: kept.body, Cut: kept.cut})
}

func (p *Proxier) settleNotRun(x *exchange) { p.settle(x, claimer.EndingNotRun, nil) }

func (p *Proxier) settleUnknown(x *exchange) { p.settle(x, claimer.EndingUnknown, nil) }

// settle reports the end of a granted execution.
func (p *Proxier) settle(x *exchange, ending claimer.Ending, answer *claimer.Answer) {
	if x.attempt == 0 {
		return
	}
	p.config.Claims.Settled(context.WithoutCancel(x.r.Context()), claimer.Settlement{
		Key: x.claim.Key, Run: x.claim.Run, Attempt: x.attempt, Ending: ending, Answer: answer,
	})
	x.attempt = 0
}
