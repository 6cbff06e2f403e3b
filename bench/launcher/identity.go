package launcher

import (
	"net"

	"github.com/juju/errors"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/certifier"
	"cherviltide.example/cherviltide/loader"
	"cherviltide.example/cherviltide/messenger"
)

// createOperatorIdentity issues an operator's certificate, with which the launcher calls control.
func (s *System) createOperatorIdentity() error {
	operator, err := s.issueIdentity("operator", cherviltide.RoleOperator)
	if err != nil {
		return errors.Trace(err)
	}
	s.Operator = operator
	config, err := certifier.ClientConfig(certifier.Files(operator), "h2")
	if err != nil {
		return errors.Trace(err)
	}
	s.client = messenger.NewClient(certifier.RequireRole(config, cherviltide.RoleControl))
	s.scheme = messenger.Scheme(config)
	return nil
}

// issueIdentity issues the certificate of a process. Without an issuer it returns none, and the system runs without TLS.
func (s *System) issueIdentity(name string, role cherviltide.Role) (loader.TLS, error) {
	if s.issuer == nil {
		return loader.TLS{}, nil
	}
	certificate, key, err := s.issuer.IssueRole("process-"+name, string(role), net.IPv4(127, 0, 0, 1))
	if err != nil {
		return loader.TLS{}, errors.Trace(err)
	}
	return loader.TLS{Certificate: certificate, Key: key, Authority: s.issuer.AuthorityPath()}, nil
}
