package commands

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/certifier"
	"cherviltide.example/cherviltide/hedger"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/runner"
)

const (
	// callTimeout bounds one call to one control instance.
	callTimeout = 3 * time.Second
	// callDelay is how long an instance may leave a call unanswered before the next one is called as well, and callsInFlight the
	// highest number of instances that are called at the same time.
	callDelay     = 500 * time.Millisecond
	callsInFlight = 3
	// retryDelay is the delay before the next round of calls after all instances have failed.
	retryDelay = 250 * time.Millisecond
	// pollInterval is the time between two status requests while a command waits.
	pollInterval = 250 * time.Millisecond
)

// controlFlags are the flags with the addresses of the control instances and the operator's TLS identity.
type controlFlags struct {
	Control     []netip.AddrPort `arg:"--control,env:CHERVILTIDE_OPERATOR_CONTROL" help:"addresses of control instances"`
	Certificate string           `arg:"--certificate,env:CHERVILTIDE_OPERATOR_CERTIFICATE" help:"operator's certificate (PEM file)"`
	Key         string           `arg:"--key,env:CHERVILTIDE_OPERATOR_KEY" help:"operator's key (PEM file)"`
	Authority   string           `arg:"--authority,env:CHERVILTIDE_OPERATOR_AUTHORITY" help:"authority of the control instances (PEM file)"`
	Timeout     time.Duration    `arg:"--timeout,env:CHERVILTIDE_OPERATOR_TIMEOUT" default:"10s" help:"timeout of each call"`
}

// session has the HTTP client and the base URLs with which a command calls the control instances.
type session struct {
	client   *http.Client
	baseURLs []string
	timeout  time.Duration
}

// newSession checks the flags and returns a session.
func (r controlFlags) newSession() (*session, error) {
	if len(r.Control) == 0 {
		return nil, &usageError{errors.New("--control or CHERVILTIDE_OPERATOR_CONTROL is required")}
	}
	files := certifier.Files{Certificate: r.Certificate, Key: r.Key, Authority: r.Authority}
	if files == (certifier.Files{}) {
		return &session{client: messenger.NewClient(nil), baseURLs: controlURLs(r.Control, nil), timeout: r.Timeout}, nil
	}
	if files.Certificate == "" || files.Key == "" || files.Authority == "" {
		return nil, &usageError{errors.New("--certificate, --key and --authority are given together or not at all")}
	}
	tls, err := certifier.ClientConfig(files, "h2")
	if err != nil {
		return nil, err
	}
	tls = certifier.RequireRole(tls, cherviltide.RoleControl)
	return &session{client: messenger.NewClient(tls), baseURLs: controlURLs(r.Control, tls), timeout: r.Timeout}, nil
}

// callControl calls a procedure at the instances until one returns a final response or the session's timeout has passed. An
// instance that does not respond delays the call by callDelay. All procedures for operators are safe to repeat. The error wraps errOutcomeUnknown if one of the calls may
// have been executed.
func callControl[Req, Res any](ctx context.Context, s *session, p messenger.Procedure[Req, Res], req *Req) (*Res, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	var mu sync.Mutex
	var unknownErr, lastErr error
	var response *Res
	for {
		winner, err := hedger.New(callDelay, callsInFlight).Call(ctx, s.baseURLs, func(ctx context.Context, baseURL string, win func() bool) error {
			res, err := callInstance(ctx, s, p, baseURL, req)
			failure := classifyFailure(err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil || failure == failureFinal:
				if win() {
					response = res
				}
			case failure == failureUnknown:
				unknownErr = err
			}
			return err
		})
		if winner != "" {
			return response, err
		}
		lastErr = err
		if !runner.Sleep(ctx, retryDelay) {
			return nil, noResponseError(unknownErr, lastErr)
		}
	}
}

func callInstance[Req, Res any](ctx context.Context, s *session, p messenger.Procedure[Req, Res], baseURL string, req *Req) (*Res, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return p.Call(ctx, s.client, baseURL, req)
}

// noResponseError returns the error for a request without a final response from any instance. unknownErr is the last error
// of a call that may have been executed, or nil.
func noResponseError(unknownErr, lastErr error) error {
	if unknownErr != nil {
		return fmt.Errorf("%w: %w", errOutcomeUnknown, unknownErr)
	}
	return &Error{cherviltide.Fault{Op: "commands.noResponseError", Kind: cherviltide.KindUnavailable, Err: lastErr}}
}
