package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"
)

// checkInterval is the shortest time between two checks of the files for changes.
const checkInterval = time.Second

// credentials are the contents of the files of a TLS identity.
type credentials struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// fileStamp has the file attributes by which changes of a file are detected.
type fileStamp struct {
	modified time.Time
	size     int64
}

// reloader reloads the files of a TLS identity when they change. It is safe for concurrent use.
type reloader struct {
	files Files
	now   func() time.Time

	mu      sync.Mutex
	current *credentials
	// server is the configuration made from current. It is kept until the files change, so that TLS sessions can resume.
	server *tls.Config
	// fileStamps are those of the certificate, the key and the CA certificates when they were last checked.
	fileStamps [3]fileStamp
	checked    time.Time
}

// newReloader reads the files. Later changes take effect as soon as all files are valid and belong together.
func newReloader(files Files, now func() time.Time) (*reloader, error) {
	r := &reloader{files: files, now: now, checked: now(), fileStamps: statFiles(files)}
	var err error
	r.current, err = loadCredentials(files)
	return r, err
}

// credentials returns the newest valid credentials.
func (r *reloader) credentials() *credentials {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reloadIfChanged()
	return r.current
}

// serverConfig returns the server configuration for the newest valid credentials.
func (r *reloader) serverConfig(protocols []string) *tls.Config {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reloadIfChanged()
	if r.server == nil {
		r.server = r.current.serverConfig(protocols)
	}
	return r.server
}

// reloadIfChanged reads the files again if they changed. If they are invalid, or the certificate and the key do not belong
// together, the previous credentials stay in use until the files change again.
func (r *reloader) reloadIfChanged() {
	if r.now().Sub(r.checked) < checkInterval {
		return
	}
	r.checked = r.now()
	found := statFiles(r.files)
	if found == r.fileStamps {
		return
	}
	r.fileStamps = found
	next, err := loadCredentials(r.files)
	if err != nil {
		zap.L().Error("IdentityNotReloaded", zap.String("Certificate", r.files.Certificate), zap.Error(err))
		return
	}
	r.current, r.server = next, nil
	zap.L().Info("IdentityReloaded", zap.String("Certificate", r.files.Certificate))
}

// statFiles returns the stamps of the files; that of a missing file is zero.
func statFiles(files Files) (list [3]fileStamp) {
	for i, path := range []string{files.Certificate, files.Key, files.Authority} {
		if info, err := os.Stat(path); err == nil {
			list[i] = fileStamp{modified: info.ModTime(), size: info.Size()}
		}
	}
	return list
}

// serverConfig returns a configuration that requires client certificates signed by the CA.
func (c *credentials) serverConfig(protocols []string) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.certificate},
		ClientCAs:    c.authorities,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		NextProtos:   protocols,
	}
}
