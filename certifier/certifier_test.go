package certifier

import (
	"crypto/x509"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide/bench/issuer"
)

// TestReload guards against a restart for a new certificate, and against damaged files that replace a good identity.
func TestReload(t *testing.T) {
	authority, err := issuer.New(t.TempDir())
	require.NoError(t, err)
	issue := func(role string) Files {
		certificate, key, err := authority.IssueRole("process", role)
		require.NoError(t, err)
		return Files{Certificate: certificate, Key: key, Authority: authority.Authority()}
	}
	files, now := issue("Entry"), time.Now()
	i, err := newIdentity(files, func() time.Time { return now })
	require.NoError(t, err)
	role := func() string {
		served := i.serverConfig(nil).Certificates[0]
		require.Equal(t, i.material().certificate.Certificate, served.Certificate)
		leaf, err := x509.ParseCertificate(served.Certificate[0])
		require.NoError(t, err)
		return leaf.Subject.OrganizationalUnit[0]
	}
	// damage changes a file and lets a second pass; the time of the file moves, as two writes may share a tick.
	damage := func(path string, data []byte) {
		require.NoError(t, os.WriteFile(path, data, 0o600))
		now = now.Add(checkInterval)
		require.NoError(t, os.Chtimes(path, now, now))
	}
	whole := map[string][]byte{}
	for _, path := range []string{files.Certificate, files.Key, files.Authority} {
		whole[path], err = os.ReadFile(path)
		require.NoError(t, err)
		damage(path, whole[path][:50])
		require.Equal(t, "Entry", role(), "a damaged file replaced the identity")
		damage(path, whole[path])
		require.Equal(t, "Entry", role())
	}
	issue("Agent")
	renewed, err := os.ReadFile(files.Key)
	require.NoError(t, err)
	damage(files.Key, whole[files.Key])
	require.Equal(t, "Entry", role(), "a certificate without its key replaced the identity")
	damage(files.Key, renewed)
	require.Equal(t, "Agent", role(), "the renewed identity is not used")
	_, err = newIdentity(Files{Certificate: files.Certificate, Key: files.Key, Authority: files.Key}, time.Now)
	require.Error(t, err)
}
