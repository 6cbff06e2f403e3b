// Package certifier reads TLS keys and certificates from files and builds TLS configurations that follow the files.
package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"time"

	"cherviltide.example/cherviltide"
)

// Error is a failure to read TLS material.
type Error struct{ cherviltide.Fault }

var errNoAuthority = errors.New("file has no certificate")

// Files names the PEM files of one identity.
type Files struct {
	Certificate string
	Key         string
	// Authority signs the certificates of the other side.
	Authority string
}

// Server returns a configuration that requires client certificates signed by the authority. It follows the files:
// handshakes use a changed identity within a second. A damaged one is logged and the old identity stays in force.
func Server(files Files, protocols ...string) (*tls.Config, error) {
	i, err := newIdentity(files, time.Now)
	if err != nil {
		return nil, err
	}
	config := i.current.server(protocols)
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return i.serverConfig(protocols), nil
	}
	return config, nil
}

// Client returns a configuration that presents the identity and verifies servers by the authority. The certificate
// follows the files like that of Server; the authority is the one at the time of the call.
func Client(files Files, protocols ...string) (*tls.Config, error) {
	source, err := NewSource(files, protocols...)
	if err != nil {
		return nil, err
	}
	return source.Client(), nil
}

// Source gives configurations of clients that follow the files of an identity. It is safe for concurrent use.
type Source struct {
	identity  *identity
	protocols []string
}

// NewSource reads the files of an identity.
func NewSource(files Files, protocols ...string) (*Source, error) {
	i, err := newIdentity(files, time.Now)
	if err != nil {
		return nil, err
	}
	return &Source{identity: i, protocols: protocols}, nil
}

// Client returns a configuration with the newest identity and authority whose files were whole.
func (s *Source) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.identity.material().certificate, nil
		},
		RootCAs:    s.identity.material().authority,
		NextProtos: s.protocols,
	}
}

func load(files Files) (*material, error) {
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, fault("certifier.load", err)
	}
	pem, err := os.ReadFile(files.Authority)
	if err != nil {
		return nil, fault("certifier.load", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fault("certifier.load "+files.Authority, errNoAuthority)
	}
	return &material{certificate: certificate, authority: pool}, nil
}

func fault(op string, err error) error {
	return &Error{cherviltide.Fault{Op: op, Kind: cherviltide.KindInvalid, Err: err}}
}
