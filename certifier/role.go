package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"slices"

	"cherviltide.example/cherviltide"
)

// roles are the roles that the organizational unit of a certificate may have.
var roles = []cherviltide.Role{
	cherviltide.RoleEntry, cherviltide.RoleAgent, cherviltide.RoleControl, cherviltide.RoleOperator,
}

// RoleOf returns the role in the organizational units of a certificate. It returns false when the certificate has no role
// or more than one.
func RoleOf(certificate *x509.Certificate) (cherviltide.Role, bool) {
	var role cherviltide.Role
	matches := 0
	for _, unit := range certificate.Subject.OrganizationalUnit {
		if slices.Contains(roles, cherviltide.Role(unit)) {
			role = cherviltide.Role(unit)
			matches++
		}
	}
	return role, matches == 1
}

// RequireRole returns a copy of the configuration that rejects peers whose certificate has none of the given roles. It
// returns nil for a nil configuration.
func RequireRole(config *tls.Config, allowed ...cherviltide.Role) *tls.Config {
	if config == nil {
		return nil
	}
	config = config.Clone()
	config.VerifyConnection = func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) > 0 {
			if role, ok := RoleOf(state.PeerCertificates[0]); ok && slices.Contains(allowed, role) {
				return nil
			}
		}
		return &Error{cherviltide.Fault{Op: "certifier.RequireRole", Kind: cherviltide.KindForbidden,
			Err: fmt.Errorf("the organizational unit of the certificate is none of the roles %v", allowed)}}
	}
	return config
}
