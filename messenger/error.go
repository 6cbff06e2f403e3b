package messenger

import (
	"errors"

	"connectrpc.com/connect"

	"cherviltide.example/cherviltide"
)

// Error is a failed remote call.
type Error struct{ cherviltide.Fault }

// kinded is implemented by the error types of all packages.
type kinded interface{ FaultKind() cherviltide.ErrorKind }

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
	return connect.NewError(codes[k.FaultKind()], err)
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
	return &Error{cherviltide.Fault{Op: op, Kind: kind, Err: err}}
}
