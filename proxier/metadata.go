package proxier

import (
	"errors"
	"net/http"
	"path"
	"strconv"
	"strings"

	"cherviltide.example/cherviltide"
)

// Header names between callers, agents and targets.
const (
	// HeaderCustomer names the caller's customer to the target. A caller's own value is removed.
	HeaderCustomer = "Cherviltide-Customer"
	// HeaderDeadline is how many milliseconds are left. A caller may set it to shorten the deadline of the kind.
	HeaderDeadline = "Cherviltide-Deadline-Ms"
	// HeaderRequestID identifies the request to the target, to the caller and in the log.
	HeaderRequestID = "Cherviltide-Request-Id"
	// HeaderOutcome tells a caller why it got an answer that is not the target's.
	HeaderOutcome = "Cherviltide-Outcome"
	// HeaderReason tells the caller the reason of the outcome.
	HeaderReason = "Cherviltide-Reason"
	// HeaderReplayed is true in the stored answer of an at-most-once request.
	HeaderReplayed = "Cherviltide-Replayed"
	// HeaderShed is NotRun in a target's status 503 when the target did not run the request.
	HeaderShed = "Cherviltide-Shed"
	// HeaderKey is the key of an at-most-once request.
	HeaderKey = "Idempotency-Key"
	// HeaderFirst is true when the caller has not sent the key of an at-most-once request before. A key whose home has
	// changed is then refused as not run; without the header its effect is unknown.
	HeaderFirst = "Cherviltide-First-Sending"
	// reservedPrefix marks the headers that only cherviltide sets.
	reservedPrefix = "cherviltide-"
)

// shedNotRun is the value of HeaderShed with which a target says that the request did not run.
const shedNotRun = "NotRun"

var (
	errDeadline = errors.New("the deadline header is not a whole number of milliseconds above 0")
	errPath     = errors.New("the path has . or .. segments, empty segments or encoded separators")
)

// connectionHeaders apply to one connection only (RFC 9110, section 7.6.1).
var connectionHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Transfer-Encoding", "Upgrade"}

// deadlineOf returns the time that a request may take: the kind's, or less when the caller asks for less.
func deadlineOf(h http.Header, kind cherviltide.Kind) (cherviltide.Millis, error) {
	values := h.Values(HeaderDeadline)
	if len(values) == 0 {
		return kind.Deadline, nil
	}
	ms, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || ms <= 0 || len(values) > 1 {
		return 0, errDeadline
	}
	return min(cherviltide.Millis(ms), kind.Deadline), nil
}

// checkPath refuses paths that a target may take for another path than the one that decided the request's kind.
func checkPath(r *http.Request) error {
	p := r.URL.Path
	clean := path.Clean(p)
	if clean != "/" && strings.HasSuffix(p, "/") {
		clean += "/"
	}
	escaped := strings.ToLower(r.URL.EscapedPath())
	if !strings.HasPrefix(p, "/") || clean != p || strings.Contains(escaped, "%2f") || strings.Contains(escaped, "%5c") || strings.Contains(p, "\\") {
		return errPath
	}
	return nil
}

// reserved reports whether a header belongs to cherviltide in any spelling. Some targets treat an underscore like a hyphen.
func reserved(name string) bool {
	name = strings.ToLower(strings.ReplaceAll(strings.TrimSpace(name), "_", "-"))
	return strings.HasPrefix(name, reservedPrefix)
}

// clean removes the headers that a message may not carry to the other side.
func clean(h http.Header) {
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
	for name := range h {
		if reserved(name) {
			delete(h, name)
		}
	}
}

// customer returns the customer of a request, by the caller's verified certificate.
func (p *Proxier) customer(r *http.Request, rules cherviltide.Rules) (cherviltide.Customer, bool) {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return cherviltide.Customer{}, false
	}
	c, ok := rules.CustomerOf(r.TLS.PeerCertificates[0].Subject.CommonName)
	return c, ok && c.MayReach(p.config.Service)
}

// kindOf returns the kind of a request: the longest matching path prefix of the service wins.
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

// bodyLimit returns the largest body of a kind's requests, in bytes.
func bodyLimit(kind cherviltide.Kind) int64 {
	switch {
	case kind.AtMostOnce:
		return maxClaimBody
	case kind.Class == cherviltide.ClassBulky:
		return maxBulkyBody
	}
	return maxBody
}
