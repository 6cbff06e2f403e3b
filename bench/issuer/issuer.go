// Package issuer creates a certificate authority and certificates for demos and tests.
package issuer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"
)

// validity is how long certificates are valid.
const validity = 24 * time.Hour

// Issuer signs certificates and writes them into one folder.
type Issuer struct {
	folder      string
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	serial      int64
}

// New creates an authority and writes its certificate to authority.pem in the folder.
func New(folder string) (*Issuer, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Trace(err)
	}
	i := &Issuer{folder: folder, key: key, serial: 1}
	template := i.template(pkix.Name{CommonName: "authority"})
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if i.certificate, err = x509.ParseCertificate(der); err != nil {
		return nil, errors.Trace(err)
	}
	return i, errors.Trace(write(i.Authority(), "CERTIFICATE", der))
}

// Authority returns the path of the authority's certificate.
func (i *Issuer) Authority() string {
	return filepath.Join(i.folder, "authority.pem")
}

// IssueRole writes NAME.pem and NAME.key for a process with a role, which its organizational unit names.
func (i *Issuer) IssueRole(name, role string, addresses ...net.IP) (certificate, key string, err error) {
	return i.issue(name, pkix.Name{CommonName: name, OrganizationalUnit: []string{role}}, addresses)
}

// Issue writes NAME.pem and NAME.key for a common name and returns their paths.
func (i *Issuer) Issue(name, commonName string, addresses ...net.IP) (certificate, key string, err error) {
	return i.issue(name, pkix.Name{CommonName: commonName}, addresses)
}

func (i *Issuer) issue(name string, subject pkix.Name, addresses []net.IP) (certificate, key string, err error) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", errors.Trace(err)
	}
	template := i.template(subject)
	template.IPAddresses = addresses
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, i.certificate, &private.PublicKey, i.key)
	if err != nil {
		return "", "", errors.Trace(err)
	}
	encoded, err := x509.MarshalECPrivateKey(private)
	if err != nil {
		return "", "", errors.Trace(err)
	}
	certificate = filepath.Join(i.folder, name+".pem")
	key = filepath.Join(i.folder, name+".key")
	if err := write(certificate, "CERTIFICATE", der); err != nil {
		return "", "", errors.Trace(err)
	}
	return certificate, key, errors.Trace(write(key, "EC PRIVATE KEY", encoded))
}

func (i *Issuer) template(subject pkix.Name) *x509.Certificate {
	i.serial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(i.serial),
		Subject:      subject,
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(validity),
	}
}

func write(path, kind string, der []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}
