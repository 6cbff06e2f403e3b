// Package certifier reads TLS keys and certificates from files and builds TLS configurations that reload the files when they
// change.
package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"time"

	"cherviltide.example/cherviltide"
)

// Error is a failure to read TLS files, or a peer whose certificate has the wrong role.
type Error struct{ cherviltide.Fault }

var errNoCertificate = errors.New("file contains no certificate")

// Files has the paths of the PEM files of one TLS identity.
type Files struct {
	Certificate string
	Key         string
	// Authority has the CA certificates that verify the certificates of peers.
	Authority string
}

// ServerConfig returns a configuration for servers that requires client certificates signed by the CA. It reloads the files:
// handshakes use changed files within a second. Invalid files are logged and the previous identity stays in use.
func ServerConfig(files Files, protocols ...string) (*tls.Config, error) {
	r, err := newReloader(files, time.Now)
	if err != nil {
		return nil, err
	}
	config := r.current.serverConfig(protocols)
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return r.serverConfig(protocols), nil
	}
	return config, nil
}

// ClientConfig returns a configuration for clients that presents the identity and verifies servers with the CA
// certificates. It reloads the certificate and key like ServerConfig, but the CA certificates are those at the time of the
// call.
func ClientConfig(files Files, protocols ...string) (*tls.Config, error) {
	source, err := NewSource(files, protocols...)
	if err != nil {
		return nil, err
	}
	return source.ClientConfig(), nil
}

// Source builds client configurations from the current files of a TLS identity. It is safe for concurrent use.
type Source struct {
	reloader  *reloader
	protocols []string
}

// NewSource reads the files of a TLS identity.
func NewSource(files Files, protocols ...string) (*Source, error) {
	r, err := newReloader(files, time.Now)
	if err != nil {
		return nil, err
	}
	return &Source{reloader: r, protocols: protocols}, nil
}

// ClientConfig returns a configuration with the newest valid certificate, key and CA certificates.
func (s *Source) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.reloader.credentials().certificate, nil
		},
		RootCAs:    s.reloader.credentials().authorities,
		NextProtos: s.protocols,
	}
}

// loadCredentials reads the files of a TLS identity.
func loadCredentials(files Files) (*credentials, error) {
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, fault("certifier.loadCredentials", err)
	}
	pem, err := os.ReadFile(files.Authority)
	if err != nil {
		return nil, fault("certifier.loadCredentials", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fault("certifier.loadCredentials "+files.Authority, errNoCertificate)
	}
	return &credentials{certificate: certificate, authorities: pool}, nil
}

func fault(op string, err error) error {
	return &Error{cherviltide.Fault{Op: op, Kind: cherviltide.KindInvalid, Err: err}}
}
