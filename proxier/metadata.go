package proxier

import (
	"errors"
	"net/http"
	"path"
	"strconv"
	"strings"

	"cherviltide.example/cherviltide"
)

// Header names that callers, agents and targets exchange.
const (
	// HeaderCustomer names the caller's customer to the target. A value that the caller sent is removed.
	HeaderCustomer = "Cherviltide-Customer"
	// HeaderDeadline is the number of milliseconds left until the deadline. A caller may send it to shorten the deadline
	// of the kind.
	HeaderDeadline = "Cherviltide-Deadline-Ms"
	// HeaderRequestID identifies the request to the target, to the caller and in the log.
	HeaderRequestID = "Cherviltide-Request-Id"
	// HeaderOutcome is the outcome of a request whose response comes from the agent instead of the target.
	HeaderOutcome = "Cherviltide-Outcome"
	// HeaderReason tells the caller the reason for the outcome.
	HeaderReason = "Cherviltide-Reason"
	// HeaderReplayed is true in the stored response of an at-most-once request.
	HeaderReplayed = "Cherviltide-Replayed"
	// HeaderShed has the value NotRun in a target's response with status 503 when the target did not run the request.
	HeaderShed = "Cherviltide-Shed"
	// HeaderIdempotencyKey is the idempotency key of an at-most-once request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderFirstSending is true when the caller has not sent the idempotency key before. If the key's home agent has
	// changed, the request is then refused as not run; without the header its effect is unknown.
	HeaderFirstSending = "Cherviltide-First-Sending"
	// reservedPrefix is the prefix of the headers that only this system may set.
	reservedPrefix = "cherviltide-"
)

// shedNotRun is the value of HeaderShed that states that the target did not run the request.
const shedNotRun = "NotRun"

var (
	errInvalidDeadline = errors.New("the deadline header is not a whole number of milliseconds above 0")
	errAmbiguousPath   = errors.New("the path has . or .. segments, empty segments or encoded separators")
)

// hopByHopHeaders apply to one connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Transfer-Encoding", "Upgrade"}

// requestTimeout returns the time that a request may take: the deadline of its kind, or less if the caller asks for
// less.
func requestTimeout(h http.Header, kind cherviltide.Kind) (cherviltide.Millis, error) {
	values := h.Values(HeaderDeadline)
	if len(values) == 0 {
		return kind.Deadline, nil
	}
	ms, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || ms <= 0 || len(values) > 1 {
		return 0, errInvalidDeadline
	}
	return min(cherviltide.Millis(ms), kind.Deadline), nil
}

// checkPath refuses paths that a target may normalize to another path than the one that determined the request's kind.
func checkPath(r *http.Request) error {
	p := r.URL.Path
	cleaned := path.Clean(p)
	if cleaned != "/" && strings.HasSuffix(p, "/") {
		cleaned += "/"
	}
	escaped := strings.ToLower(r.URL.EscapedPath())
	if !strings.HasPrefix(p, "/") || cleaned != p || strings.Contains(escaped, "%2f") || strings.Contains(escaped, "%5c") || strings.Contains(p, "\\") {
		return errAmbiguousPath
	}
	return nil
}

// isReservedHeader reports whether only this system may set the header. It accepts any spelling, since some targets
// treat an underscore like a hyphen.
func isReservedHeader(name string) bool {
	name = strings.ToLower(strings.ReplaceAll(strings.TrimSpace(name), "_", "-"))
	return strings.HasPrefix(name, reservedPrefix)
}

// removeUnforwardableHeaders removes the headers that must not be forwarded: hop-by-hop and reserved ones.
func removeUnforwardableHeaders(h http.Header) {
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	for name := range h {
		if isReservedHeader(name) {
			delete(h, name)
		}
	}
}

// customerOf returns the customer that the caller's verified certificate names, and false when there is none or it may
// not reach the service.
func (p *Proxier) customerOf(r *http.Request, rules cherviltide.Rules) (cherviltide.Customer, bool) {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return cherviltide.Customer{}, false
	}
	c, ok := rules.CustomerOf(r.TLS.PeerCertificates[0].Subject.CommonName)
	return c, ok && c.MayReach(p.config.Service)
}

// kindOf returns the kind of a request. The longest matching path prefix of the service wins.
func (p *Proxier) kindOf(r *http.Request, rules cherviltide.Rules) (cherviltide.Kind, bool) {
	var best cherviltide.Kind
	found := false
	for _, k := range rules.Kinds {
		if k.Service != p.config.Service || (k.Method != "" && k.Method != r.Method) {
			continue
		}
		if strings.HasPrefix(r.URL.Path, k.PathPrefix) && len(k.PathPrefix) > len(best.PathPrefix) {
			best, found = k, true
		}
	}
	return best, found
}

// bodyLimit returns the largest request body of a kind, in bytes.
func bodyLimit(kind cherviltide.Kind) int64 {
	switch {
	case kind.AtMostOnce:
		return maxAtMostOnceBodyBytes
	case kind.Class == cherviltide.ClassBulky:
		return maxBulkyBodyBytes
	}
	return maxBodyBytes
}
