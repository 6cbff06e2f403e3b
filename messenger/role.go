package messenger

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"

	"connectrpc.com/connect"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/certifier"
)

// The groups of roles that may call the same procedures.
var (
	memberRoles   = []cherviltide.Role{cherviltide.RoleEntry, cherviltide.RoleAgent, cherviltide.RoleControl}
	operatorRoles = []cherviltide.Role{cherviltide.RoleOperator, cherviltide.RoleControl}
	agentRoles    = []cherviltide.Role{cherviltide.RoleAgent}
	controlRoles  = []cherviltide.Role{cherviltide.RoleControl}
)

// allowedRoles has the roles that may call each procedure when the processes use TLS. No role may call a procedure that
// is missing here. Control instances may call the procedures of members and operators, since they forward the requests
// to their leader.
var allowedRoles = map[string][]cherviltide.Role{
	"/cherviltide.Control/Announce": memberRoles,
	"/cherviltide.Control/Follow":   memberRoles,
	"/cherviltide.Control/Apply":    operatorRoles,
	"/cherviltide.Control/Current":  operatorRoles,
	"/cherviltide.Control/Status":   operatorRoles,
	"/cherviltide.Control/Locate":   operatorRoles,
	"/cherviltide.Control/Rules":    operatorRoles,
	"/cherviltide.Control/History":  operatorRoles,
	"/cherviltide.Control/Drain":    operatorRoles,
	"/cherviltide.Control/Evacuate": operatorRoles,
	"/cherviltide.Control/Report":   operatorRoles,
	"/cherviltide.Control/Step":     controlRoles,
	"/cherviltide.Agent/Claim":      agentRoles,
	"/cherviltide.Agent/Settle":     agentRoles,
}

var errNoRole = errors.New("the client certificate names no role")

// roleContextKey is the key of the caller's role in the context of a call.
type roleContextKey struct{}

// CallerRole returns the role of the caller of a procedure, given the context of the call. It returns false when the
// processes do not use TLS.
func CallerRole(ctx context.Context) (cherviltide.Role, bool) {
	role, ok := ctx.Value(roleContextKey{}).(cherviltide.Role)
	return role, ok
}

// requireRole refuses calls unless the client certificate names one of the allowed roles. Without TLS it allows all
// calls.
func requireRole(next http.Handler, allowed []cherviltide.Role) http.Handler {
	writer := connect.NewErrorWriter(connect.WithCodec(codec{}))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS == nil {
			next.ServeHTTP(w, r)
			return
		}
		var role cherviltide.Role
		hasRole := false
		if len(r.TLS.PeerCertificates) > 0 {
			role, hasRole = certifier.RoleOf(r.TLS.PeerCertificates[0])
		}
		if !hasRole {
			_ = writer.Write(w, r, forbiddenError(errNoRole))
			return
		}
		if !slices.Contains(allowed, role) {
			_ = writer.Write(w, r, forbiddenError(fmt.Errorf("role %s may not call %s", role, r.URL.Path)))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), roleContextKey{}, role)))
	})
}

func forbiddenError(err error) error {
	return encodeError(&Error{Fault: cherviltide.Fault{Op: "messenger.Handle", Kind: cherviltide.KindForbidden, Err: err}})
}
