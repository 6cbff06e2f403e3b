package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"
)

// checkInterval is the shortest time between two looks at the files.
const checkInterval = time.Second

// material is what was read from the files of an identity.
type material struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// stamp tells whether a file has changed.
type stamp struct {
	modified time.Time
	size     int64
}

// identity follows the files of an identity. It is safe for concurrent use.
type identity struct {
	files Files
	now   func() time.Time

	mu      sync.Mutex
	current *material
	// server is the configuration made from current; it is the same until the files change, so sessions can resume.
	server  *tls.Config
	stamps  [3]stamp
	checked time.Time
}

// newIdentity reads the files. Later changes are taken over as soon as all files fit together.
func newIdentity(files Files, now func() time.Time) (*identity, error) {
	i := &identity{files: files, now: now, checked: now(), stamps: stamps(files)}
	var err error
	i.current, err = load(files)
	return i, err
}

// material returns the newest material whose files were whole.
func (i *identity) material() *material {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.refresh()
	return i.current
}

// serverConfig returns the configuration for the newest material.
func (i *identity) serverConfig(protocols []string) *tls.Config {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.refresh()
	if i.server == nil {
		i.server = i.current.server(protocols)
	}
	return i.server
}

// refresh reads the files again if they changed. Damaged files, or a certificate without its key, leave the old material
// in force until the files change again.
func (i *identity) refresh() {
	if i.now().Sub(i.checked) < checkInterval {
		return
	}
	i.checked = i.now()
	found := stamps(i.files)
	if found == i.stamps {
		return
	}
	i.stamps = found
	next, err := load(i.files)
	if err != nil {
		zap.L().Error("IdentityNotReloaded", zap.String("Certificate", i.files.Certificate), zap.Error(err))
		return
	}
	i.current, i.server = next, nil
	zap.L().Info("IdentityReloaded", zap.String("Certificate", i.files.Certificate))
}

func stamps(files Files) (list [3]stamp) {
	for n, path := range []string{files.Certificate, files.Key, files.Authority} {
		if info, err := os.Stat(path); err == nil {
			list[n] = stamp{modified: info.ModTime(), size: info.Size()}
		}
	}
	return list
}

func (m *material) server(protocols []string) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		ClientCAs:    m.authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		NextProtos:   protocols,
	}
}
