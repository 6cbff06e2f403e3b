package commands

import (
	"errors"
	"net"

	"connectrpc.com/connect"

	"cherviltide.example/cherviltide"
)

// Exit codes.
const (
	ExitDone     = 0 // The command did what it was asked to do.
	ExitFailed   = 1 // The command failed, or its input is wrong.
	ExitUsage    = 2 // The command line is wrong; nothing was tried.
	ExitConflict = 3 // The state moved on since the operator read it; nothing was changed.
	ExitRefused  = 4 // Refused as not run: nothing was changed, a later try may succeed.
	ExitUnknown  = 5 // The answer was lost; the change may have happened.
	ExitLagging  = 6 // The change happened, but was not in force everywhere within the bound.
)

// errUnknown marks a call whose answer was lost after the request may have reached control.
var errUnknown = errors.New("the answer was lost; the change may have happened")

// laggingError lists who did not reach a state within the bound.
type laggingError struct{ text string }

func (e *laggingError) Error() string { return e.text }

// exitCode returns the exit code of a command that ended with an error.
func exitCode(err error) int {
	var lagging *laggingError
	var fault interface{ FaultKind() cherviltide.ErrorKind }
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &lagging):
		return ExitLagging
	case errors.Is(err, errUnknown):
		return ExitUnknown
	case !errors.As(err, &fault):
		return ExitFailed
	case fault.FaultKind() == cherviltide.KindConflict:
		return ExitConflict
	case fault.FaultKind() == cherviltide.KindUnavailable:
		return ExitRefused
	}
	return ExitFailed
}

// verdict is what a failed call tells about the request.
type verdict int

const (
	// verdictFinal means that another control instance would answer the same.
	verdictFinal verdict = iota
	// verdictNotRun means that nothing happened.
	verdictNotRun
	// verdictUnknown means that the request may have run.
	verdictUnknown
)

// judge tells whether a call that failed may have run. Only an answer of control itself, or a connection that never
// opened, proves that it did not.
func judge(err error) verdict {
	var dial *net.OpError
	var fromPeer *connect.Error
	switch {
	case errors.As(err, &dial) && dial.Op == "dial":
		return verdictNotRun
	case !errors.As(err, &fromPeer) || !connect.IsWireError(fromPeer):
		return verdictUnknown
	}
	switch fromPeer.Code() {
	case connect.CodeUnavailable:
		return verdictNotRun
	case connect.CodeInvalidArgument, connect.CodeAborted, connect.CodePermissionDenied, connect.CodeDataLoss:
		return verdictFinal
	}
	return verdictUnknown
}
