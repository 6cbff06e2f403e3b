package commands

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/certifier"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/runner"
)

const (
	// attemptTimeout bounds one call to one control instance.
	attemptTimeout = 3 * time.Second
	// attemptPause is the wait after all instances have failed.
	attemptPause = 250 * time.Millisecond
	// pollInterval is the time between two looks at the status while waiting.
	pollInterval = 250 * time.Millisecond
)

// remote names the control instances for an operator command, and the operator's identity.
type remote struct {
	Control     []netip.AddrPort `arg:"--control,env:CHERVILTIDE_OPERATOR_CONTROL" help:"addresses of control instances"`
	Certificate string           `arg:"--certificate,env:CHERVILTIDE_OPERATOR_CERTIFICATE" help:"operator's certificate (PEM file)"`
	Key         string           `arg:"--key,env:CHERVILTIDE_OPERATOR_KEY" help:"operator's key (PEM file)"`
	Authority   string           `arg:"--authority,env:CHERVILTIDE_OPERATOR_AUTHORITY" help:"authority of the control instances (PEM file)"`
	Timeout     time.Duration    `arg:"--timeout,env:CHERVILTIDE_OPERATOR_TIMEOUT" default:"10s" help:"bound for each answer"`
}

// session calls control instances in turn.
type session struct {
	client  *http.Client
	bases   []string
	timeout time.Duration
}

// open checks the flags and returns a session.
func (r remote) open() (*session, error) {
	if len(r.Control) == 0 {
		return nil, &usageError{errors.New("--control or CHERVILTIDE_OPERATOR_CONTROL is required")}
	}
	files := certifier.Files{Certificate: r.Certificate, Key: r.Key, Authority: r.Authority}
	if files == (certifier.Files{}) {
		return &session{client: messenger.NewClient(nil), bases: controlURLs(r.Control, nil), timeout: r.Timeout}, nil
	}
	if files.Certificate == "" || files.Key == "" || files.Authority == "" {
		return nil, &usageError{errors.New("--certificate, --key and --authority are given together or not at all")}
	}
	tls, err := certifier.Client(files, "h2")
	if err != nil {
		return nil, err
	}
	tls = certifier.RequireRole(tls, cherviltide.RoleControl)
	return &session{client: messenger.NewClient(tls), bases: controlURLs(r.Control, tls), timeout: r.Timeout}, nil
}

// ask calls a procedure at one instance after the other until one gives a final answer or the session's bound has passed.
// All procedures for operators may be repeated. The error wraps errUnknown when an attempt may have run.
func ask[Req, Res any](ctx context.Context, s *session, p messenger.Procedure[Req, Res], req *Req) (*Res, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	var unknown, last error
	for {
		for _, base := range s.bases {
			res, err := attempt(ctx, s, p, base, req)
			if err == nil {
				return res, nil
			}
			switch judge(err) {
			case verdictFinal:
				return nil, err
			case verdictUnknown:
				unknown = err
			}
			last = err
			if ctx.Err() != nil {
				return nil, lost(unknown, last)
			}
		}
		if !runner.Sleep(ctx, attemptPause) {
			return nil, lost(unknown, last)
		}
	}
}

func attempt[Req, Res any](ctx context.Context, s *session, p messenger.Procedure[Req, Res], base string, req *Req) (*Res, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return p.Call(ctx, s.client, base, req)
}

// lost returns the error of a call that no instance answered.
func lost(unknown, last error) error {
	if unknown != nil {
		return fmt.Errorf("%w: %w", errUnknown, unknown)
	}
	return &Error{cherviltide.Fault{Op: "commands.ask", Kind: cherviltide.KindUnavailable, Err: last}}
}
