package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"slices"

	"cherviltide.example/cherviltide"
)

// roles are the organizational units that name a role.
var roles = []cherviltide.Role{
	cherviltide.RoleEntry, cherviltide.RoleAgent, cherviltide.RoleControl, cherviltide.RoleOperator,
}

// RoleOf returns the role that a certificate names in an organizational unit. It returns false when it names none or
// more than one.
func RoleOf(certificate *x509.Certificate) (cherviltide.Role, bool) {
	var role cherviltide.Role
	n := 0
	for _, unit := range certificate.Subject.OrganizationalUnit {
		if slices.Contains(roles, cherviltide.Role(unit)) {
			role = cherviltide.Role(unit)
			n++
		}
	}
	return role, n == 1
}

// RequireRole returns the configuration with a check that the other side's certificate names one of the given roles.
// A nil configuration stays nil.
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
			Err: fmt.Errorf("the certificate names none of the roles %v in its organizational unit", allowed)}}
	}
	return config
}
