package proxier

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
)

// serve handles one request of a caller.
func (p *Proxier) serve(w http.ResponseWriter, r *http.Request) {
	if !p.gate.enter() {
		refuse(w, http.StatusServiceUnavailable, "agent is leaving")
		return
	}
	defer p.gate.leave()
	rules := p.config.Rules()
	customer, ok := p.customer(r, rules)
	if !ok {
		refuse(w, http.StatusForbidden, "customer may not reach this service")
		return
	}
	kind, ok := p.kindOf(r, rules)
	if !ok {
		refuse(w, http.StatusNotFound, "no kind of traffic matches the request")
		return
	}
	started := p.config.Clock.Now()
	ctx, cancel := context.WithTimeout(r.Context(), kind.Deadline.Duration())
	defer cancel()
	release, err := p.config.Slots.Acquire(ctx, kind)
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	defer release()
	left := kind.Deadline - (p.config.Clock.Now() - started)
	outcome := p.run(w, r, customer, left)
	if outcome == cherviltide.OutcomeTimely && p.config.Clock.Now()-started > kind.Deadline {
		outcome = cherviltide.OutcomeLate
	}
	p.config.Log.Info("RequestEnded", zap.String("Kind", kind.Name), zap.String("Customer", customer.Name),
		zap.String("Outcome", string(outcome)), zap.Int64("Ms", int64(p.config.Clock.Now()-started)))
	if outcome == cherviltide.OutcomePartial {
		panic(http.ErrAbortHandler)
	}
}

// run sends the request to the target and copies the answer.
func (p *Proxier) run(w http.ResponseWriter, r *http.Request, c cherviltide.Customer, left cherviltide.Millis) cherviltide.Outcome {
	out := r.Clone(r.Context())
	out.URL.Scheme = "http"
	out.URL.Host = p.config.Target.String()
	out.RequestURI = ""
	removeReserved(out.Header)
	out.Header.Set(HeaderCustomer, c.Name)
	out.Header.Set(HeaderDeadline, strconv.FormatInt(int64(left), 10))
	res, err := p.client.RoundTrip(out)
	if err != nil {
		w.Header().Set(HeaderOutcome, string(cherviltide.OutcomeUnknown))
		http.Error(w, "target failed; the effect of the request is unknown", http.StatusBadGateway)
		return cherviltide.OutcomeUnknown
	}
	defer func() { _ = res.Body.Close() }()
	for name, values := range res.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(res.StatusCode)
	if _, err := io.Copy(w, res.Body); err != nil {
		return cherviltide.OutcomePartial
	}
	return cherviltide.OutcomeTimely
}

// refuse answers a request that did not run.
func refuse(w http.ResponseWriter, status int, text string) {
	w.Header().Set(HeaderOutcome, string(cherviltide.OutcomeRefused))
	w.Header().Set("Retry-After", "1")
	http.Error(w, text, status)
}

// removeReserved deletes the headers that only cherviltide may set.
func removeReserved(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
}
