// Package certifier reads TLS keys and certificates from files and builds TLS configurations that follow the files.
package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"

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

// Server returns a configuration that requires client certificates signed by the authority.
func Server(files Files, protocols ...string) (*tls.Config, error) {
	certificate, pool, err := load(files)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		NextProtos:   protocols,
	}, nil
}

// Client returns a configuration that presents the identity and verifies servers by the authority.
func Client(files Files, protocols ...string) (*tls.Config, error) {
	certificate, pool, err := load(files)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
		NextProtos:   protocols,
	}, nil
}

func load(files Files) (tls.Certificate, *x509.CertPool, error) {
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return tls.Certificate{}, nil, fault("certifier.load", err)
	}
	pem, err := os.ReadFile(files.Authority)
	if err != nil {
		return tls.Certificate{}, nil, fault("certifier.load", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return tls.Certificate{}, nil, fault("certifier.load "+files.Authority, errNoAuthority)
	}
	return certificate, pool, nil
}

func fault(op string, err error) error {
	return &Error{cherviltide.Fault{Op: op, Kind: cherviltide.KindInvalid, Err: err}}
}
