package cherviltide

// ErrorKind classifies an error so that callers can act on it without parsing its text.
type ErrorKind string

// Error kinds that more than one package uses.
const (
	KindInvalid     ErrorKind = "Invalid"     // The input is malformed; retrying it unchanged cannot succeed.
	KindUnavailable ErrorKind = "Unavailable" // The operation did not run and may succeed later.
	KindConflict    ErrorKind = "Conflict"    // The state has changed since the caller read it.
	KindForbidden   ErrorKind = "Forbidden"   // The caller is not allowed to do this.
	KindDamaged     ErrorKind = "Damaged"     // Stored or received data fails its integrity checks.
	KindInternal    ErrorKind = "Internal"    // A failure of this process or of its operating system.
)

// Fault has the fields that the error types of all packages share. They embed it.
type Fault struct {
	// Op is the operation that failed, as package.Function.
	Op string
	// Kind classifies the error. It is never empty.
	Kind ErrorKind
	// Err is the cause and is never nil.
	Err error
}

// Error returns the operation and the cause.
func (f Fault) Error() string {
	return f.Op + ": " + f.Err.Error()
}

// Unwrap returns the cause.
func (f Fault) Unwrap() error {
	return f.Err
}

// FaultKind returns the kind. Callers use it through an interface to classify the errors of any package.
func (f Fault) FaultKind() ErrorKind {
	return f.Kind
}
