package commands

import (
	"errors"
	"net"

	"connectrpc.com/connect"

	"cherviltide.example/cherviltide"
)

// Exit codes of the command line.
const (
	ExitDone     = 0 // The command succeeded.
	ExitFailed   = 1 // The command failed, or its input is wrong.
	ExitUsage    = 2 // The command line is wrong; nothing was attempted.
	ExitConflict = 3 // The state has changed since the operator read it; nothing was changed.
	ExitRefused  = 4 // Refused and not executed: nothing was changed, a later attempt may succeed.
	ExitUnknown  = 5 // The response was lost; the change may have been made.
	ExitLagging  = 6 // The change was made, but was not in force everywhere within the timeout.
)

// errOutcomeUnknown marks a request whose response was lost although control may have executed it.
var errOutcomeUnknown = errors.New("the answer was lost; the change may have happened")

// laggingError names the members that did not reach a state within the timeout.
type laggingError struct{ text string }

func (e *laggingError) Error() string { return e.text }

// exitCode returns the exit code of a command that ended with an error.
func exitCode(err error) int {
	var lagging *laggingError
	var findings *findingsError
	var fault interface{ FaultKind() cherviltide.ErrorKind }
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &findings):
		return findings.code
	case errors.As(err, &lagging):
		return ExitLagging
	case errors.Is(err, errOutcomeUnknown):
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

// failureClass says whether a failed call may have been executed, and whether another call is useful.
type failureClass int

const (
	// failureFinal means that every control instance would return the same error.
	failureFinal failureClass = iota
	// failureNotExecuted means that the request was not executed.
	failureNotExecuted
	// failureUnknown means that the request may have been executed.
	failureUnknown
)

// classifyFailure tells whether a failed call may have been executed. Only an error response of control itself, or a
// connection that was never established, proves that it was not.
func classifyFailure(err error) failureClass {
	var dialErr *net.OpError
	var responseErr *connect.Error
	switch {
	case errors.As(err, &dialErr) && dialErr.Op == "dial":
		return failureNotExecuted
	case !errors.As(err, &responseErr) || !connect.IsWireError(responseErr):
		return failureUnknown
	}
	switch responseErr.Code() {
	case connect.CodeUnavailable:
		return failureNotExecuted
	case connect.CodeInvalidArgument, connect.CodeAborted, connect.CodePermissionDenied, connect.CodeDataLoss:
		return failureFinal
	}
	return failureUnknown
}
