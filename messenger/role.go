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

// Groups of roles that may call the same procedures.
var (
	members   = []cherviltide.Role{cherviltide.RoleEntry, cherviltide.RoleAgent, cherviltide.RoleControl}
	operators = []cherviltide.Role{cherviltide.RoleOperator, cherviltide.RoleControl}
	agents    = []cherviltide.Role{cherviltide.RoleAgent}
	controls  = []cherviltide.Role{cherviltide.RoleControl}
)

// callers has the roles that may call each procedure when the processes use TLS. Nobody may call one that is missing
// here. Control instances pass announcements and requests of operators on to their leader.
var callers = map[string][]cherviltide.Role{
	"/cherviltide.Control/Announce": members,
	"/cherviltide.Control/Follow":   members,
	"/cherviltide.Control/Apply":    operators,
	"/cherviltide.Control/Current":  operators,
	"/cherviltide.Control/Status":   operators,
	"/cherviltide.Control/Rules":    operators,
	"/cherviltide.Control/History":  operators,
	"/cherviltide.Control/Drain":    operators,
	"/cherviltide.Control/Report":   operators,
	"/cherviltide.Control/Step":     controls,
	"/cherviltide.Agent/Claim":      agents,
	"/cherviltide.Agent/Settle":     agents,
}

var errNoRole = errors.New("the certificate names no role")

type roleKey struct{}

// CallerRole returns the role of the caller of a procedure. It returns false when the processes use no TLS.
func CallerRole(ctx context.Context) (cherviltide.Role, bool) {
	role, ok := ctx.Value(roleKey{}).(cherviltide.Role)
	return role, ok
}

// restrict refuses callers whose certificate does not name one of the roles. Without TLS it refuses nobody.
func restrict(next http.Handler, allowed []cherviltide.Role) http.Handler {
	writer := connect.NewErrorWriter(connect.WithCodec(codec{}))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS == nil {
			next.ServeHTTP(w, r)
			return
		}
		var role cherviltide.Role
		named := false
		if len(r.TLS.PeerCertificates) > 0 {
			role, named = certifier.RoleOf(r.TLS.PeerCertificates[0])
		}
		if !named {
			_ = writer.Write(w, r, forbidden(errNoRole))
			return
		}
		if !slices.Contains(allowed, role) {
			_ = writer.Write(w, r, forbidden(fmt.Errorf("role %s may not call %s", role, r.URL.Path)))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), roleKey{}, role)))
	})
}

func forbidden(err error) error {
	return encodeError(&Error{Fault: cherviltide.Fault{Op: "messenger.Handle", Kind: cherviltide.KindForbidden, Err: err}})
}
