package messenger

import (
	"errors"
	"strconv"

	"connectrpc.com/connect"

	"cherviltide.example/cherviltide"
)

// Error is a failed remote call.
type Error struct {
	cherviltide.Fault
	// RetryDelay is how long the peer asks to wait before the call is repeated; 0 when it does not say.
	RetryDelay cherviltide.Millis
}

// kinded is implemented by the error types of all packages.
type kinded interface{ FaultKind() cherviltide.ErrorKind }

// delayed is implemented by errors that say when to try again.
type delayed interface{ RetryAfter() cherviltide.Millis }

// retryHeader carries the time of delayed errors in milliseconds.
const retryHeader = "Cherviltide-Retry-Ms"

var codes = map[cherviltide.ErrorKind]connect.Code{
	cherviltide.KindInvalid:     connect.CodeInvalidArgument,
	cherviltide.KindUnavailable: connect.CodeUnavailable,
	cherviltide.KindConflict:    connect.CodeAborted,
	cherviltide.KindForbidden:   connect.CodePermissionDenied,
	cherviltide.KindDamaged:     connect.CodeDataLoss,
	cherviltide.KindInternal:    connect.CodeInternal,
}

// encodeError converts an error of any package to the error that travels to the peer.
func encodeError(err error) error {
	var k kinded
	if !errors.As(err, &k) {
		return connect.NewError(connect.CodeInternal, err)
	}
	encoded := connect.NewError(codes[k.FaultKind()], err)
	var d delayed
	if errors.As(err, &d) {
		encoded.Meta().Set(retryHeader, strconv.FormatInt(int64(d.RetryAfter()), 10))
	}
	return encoded
}

// decodeError converts an error that came from a peer.
func decodeError(op string, err error) error {
	if err == nil {
		return nil
	}
	kind := cherviltide.KindUnavailable
	code := connect.CodeOf(err)
	for k, c := range codes {
		if c == code {
			kind = k
		}
	}
	decoded := &Error{Fault: cherviltide.Fault{Op: op, Kind: kind, Err: err}}
	var remote *connect.Error
	if errors.As(err, &remote) {
		retry, _ := strconv.ParseInt(remote.Meta().Get(retryHeader), 10, 64)
		decoded.RetryDelay = cherviltide.Millis(max(retry, 0))
	}
	return decoded
}
