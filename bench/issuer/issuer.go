// Package issuer creates a certificate authority and issues certificates for demos and tests.
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

// validity is how long certificates are valid after their issue.
const validity = 24 * time.Hour

// Issuer is a certificate authority that writes the certificates that it issues into one directory. It is not safe for
// concurrent use.
type Issuer struct {
	dir         string
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	serial      int64
}

// New creates a certificate authority and writes its certificate to authority.pem in the directory.
func New(dir string) (*Issuer, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Trace(err)
	}
	i := &Issuer{dir: dir, key: key, serial: 1}
	template := i.newTemplate(pkix.Name{CommonName: "authority"})
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
	return i, errors.Trace(writePEM(i.AuthorityPath(), "CERTIFICATE", der))
}

// AuthorityPath returns the path of the authority's certificate file.
func (i *Issuer) AuthorityPath() string {
	return filepath.Join(i.dir, "authority.pem")
}

// IssueRole issues a certificate to a process, with its role as the organizational unit, and returns the paths of NAME.pem
// and NAME.key.
func (i *Issuer) IssueRole(name, role string, addresses ...net.IP) (certificate, key string, err error) {
	return i.issue(name, pkix.Name{CommonName: name, OrganizationalUnit: []string{role}}, addresses)
}

// Issue issues a certificate for a common name, and returns the paths of NAME.pem and NAME.key.
func (i *Issuer) Issue(name, commonName string, addresses ...net.IP) (certificate, key string, err error) {
	return i.issue(name, pkix.Name{CommonName: commonName}, addresses)
}

func (i *Issuer) issue(name string, subject pkix.Name, addresses []net.IP) (certificate, key string, err error) {
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", errors.Trace(err)
	}
	template := i.newTemplate(subject)
	template.IPAddresses = addresses
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, i.certificate, &privateKey.PublicKey, i.key)
	if err != nil {
		return "", "", errors.Trace(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(privateKey)
	if err != nil {
		return "", "", errors.Trace(err)
	}
	certificate = filepath.Join(i.dir, name+".pem")
	key = filepath.Join(i.dir, name+".key")
	if err := writePEM(certificate, "CERTIFICATE", der); err != nil {
		return "", "", errors.Trace(err)
	}
	return certificate, key, errors.Trace(writePEM(key, "EC PRIVATE KEY", keyDER))
}

func (i *Issuer) newTemplate(subject pkix.Name) *x509.Certificate {
	i.serial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(i.serial),
		Subject:      subject,
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(validity),
	}
}

func writePEM(path, blockType string, der []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600)
}
