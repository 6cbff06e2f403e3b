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
	// RetryDelay is how long the caller should wait before it repeats the call; 0 when the peer gave no delay.
	RetryDelay cherviltide.Millis
}

// errorWithKind is implemented by the error types of all packages.
type errorWithKind interface{ FaultKind() cherviltide.ErrorKind }

// errorWithRetryAfter is implemented by errors that say how long to wait before a retry.
type errorWithRetryAfter interface{ RetryAfter() cherviltide.Millis }

// retryDelayHeader carries the retry delay of an error, in milliseconds.
const retryDelayHeader = "Cherviltide-Retry-Ms"

var connectCodes = map[cherviltide.ErrorKind]connect.Code{
	cherviltide.KindInvalid:     connect.CodeInvalidArgument,
	cherviltide.KindUnavailable: connect.CodeUnavailable,
	cherviltide.KindConflict:    connect.CodeAborted,
	cherviltide.KindForbidden:   connect.CodePermissionDenied,
	cherviltide.KindDamaged:     connect.CodeDataLoss,
	cherviltide.KindInternal:    connect.CodeInternal,
}

// encodeError converts an error of any package to the Connect error that is sent to the peer.
func encodeError(err error) error {
	var k errorWithKind
	if !errors.As(err, &k) {
		return connect.NewError(connect.CodeInternal, err)
	}
	encoded := connect.NewError(connectCodes[k.FaultKind()], err)
	var d errorWithRetryAfter
	if errors.As(err, &d) {
		encoded.Meta().Set(retryDelayHeader, strconv.FormatInt(int64(d.RetryAfter()), 10))
	}
	return encoded
}

// decodeError converts the error of a call to an *Error. Errors without a known code are of kind Unavailable.
func decodeError(op string, err error) error {
	if err == nil {
		return nil
	}
	kind := cherviltide.KindUnavailable
	code := connect.CodeOf(err)
	for k, c := range connectCodes {
		if c == code {
			kind = k
		}
	}
	decoded := &Error{Fault: cherviltide.Fault{Op: op, Kind: kind, Err: err}}
	var remote *connect.Error
	if errors.As(err, &remote) {
		retry, _ := strconv.ParseInt(remote.Meta().Get(retryDelayHeader), 10, 64)
		decoded.RetryDelay = cherviltide.Millis(max(retry, 0))
	}
	return decoded
}

// IsResponse reports whether an error is the response of the peer. Any other error of a call leaves open whether the peer has
// executed it.
func IsResponse(err error) bool {
	var remote *connect.Error
	return errors.As(err, &remote) && connect.IsWireError(remote)
}
