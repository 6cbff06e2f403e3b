package certifier

import (
	"crypto/x509"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide/bench/issuer"
)

// TestReload guards against a renewed certificate that takes effect only after a restart, and against invalid files that
// replace a valid identity.
func TestReload(t *testing.T) {
	authority, err := issuer.New(t.TempDir())
	require.NoError(t, err)
	issue := func(role string) Files {
		certificate, key, err := authority.IssueRole("process", role)
		require.NoError(t, err)
		return Files{Certificate: certificate, Key: key, Authority: authority.AuthorityPath()}
	}
	files, now := issue("Entry"), time.Now()
	r, err := newReloader(files, func() time.Time { return now })
	require.NoError(t, err)
	role := func() string {
		served := r.serverConfig(nil).Certificates[0]
		require.Equal(t, r.credentials().certificate.Certificate, served.Certificate)
		leaf, err := x509.ParseCertificate(served.Certificate[0])
		require.NoError(t, err)
		return leaf.Subject.OrganizationalUnit[0]
	}
	// replaceFile writes a file and advances the clock to the next check. It sets a later modification time, because two
	// writes within one tick of the file system's clock would have the same one.
	replaceFile := func(path string, data []byte) {
		require.NoError(t, os.WriteFile(path, data, 0o600))
		now = now.Add(checkInterval)
		require.NoError(t, os.Chtimes(path, now, now))
	}
	original := map[string][]byte{}
	for _, path := range []string{files.Certificate, files.Key, files.Authority} {
		original[path], err = os.ReadFile(path)
		require.NoError(t, err)
		replaceFile(path, original[path][:50])
		require.Equal(t, "Entry", role(), "an invalid file replaced the identity")
		replaceFile(path, original[path])
		require.Equal(t, "Entry", role())
	}
	issue("Agent")
	renewed, err := os.ReadFile(files.Key)
	require.NoError(t, err)
	replaceFile(files.Key, original[files.Key])
	require.Equal(t, "Entry", role(), "a certificate with another key replaced the identity")
	replaceFile(files.Key, renewed)
	require.Equal(t, "Agent", role(), "the renewed identity is not used")
	_, err = newReloader(Files{Certificate: files.Certificate, Key: files.Key, Authority: files.Key}, time.Now)
	require.Error(t, err)
}
