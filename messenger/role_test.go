package messenger_test

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/bench/issuer"
	"cherviltide.example/cherviltide/certifier"
	"cherviltide.example/cherviltide/messenger"
)

// fixture is a control instance with TLS, and the certificate authority of its callers.
type fixture struct {
	*issuer.Issuer
	url   string
	files certifier.Files
}

func newFixture(t *testing.T) *fixture {
	i, err := issuer.New(t.TempDir())
	require.NoError(t, err)
	x := &fixture{Issuer: i}
	x.files = x.issueFiles(t, "control-1", "Control")
	config, err := certifier.ServerConfig(x.files, "h2")
	require.NoError(t, err)
	mux := http.NewServeMux()
	messenger.Status.Handle(mux, func(context.Context, *messenger.StatusRequest) (*messenger.StatusResponse, error) {
		return &messenger.StatusResponse{}, nil
	})
	messenger.Announce.Handle(mux, func(context.Context, *messenger.AnnounceRequest) (*messenger.AnnounceResponse, error) {
		return &messenger.AnnounceResponse{}, nil
	})
	messenger.Follow.Handle(mux, func(_ context.Context, _ *messenger.FollowRequest, send func(*messenger.FollowUpdate) error) error {
		return send(&messenger.FollowUpdate{})
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := messenger.NewServer(mux, config)
	go func() { _ = server.ServeTLS(listener, "", "") }()
	t.Cleanup(func() { _ = server.Close() })
	x.url = "https://" + listener.Addr().String()
	return x
}

// issueFiles issues a certificate for a caller or a server with a role.
func (x *fixture) issueFiles(t *testing.T, name, role string) certifier.Files {
	certificate, key, err := x.IssueRole(name, role, net.IPv4(127, 0, 0, 1))
	require.NoError(t, err)
	return certifier.Files{Certificate: certificate, Key: key, Authority: x.AuthorityPath()}
}

// callStatus calls the procedure Status, which is for operators, over a new connection.
func (x *fixture) callStatus(config *tls.Config) error {
	client := messenger.NewClient(config)
	defer client.CloseIdleConnections()
	_, err := messenger.Status.Call(context.Background(), client, x.url, &messenger.StatusRequest{})
	return err
}

// isAllowed reports whether a call was allowed. An error of another kind than Forbidden fails the test.
func isAllowed(t *testing.T, err error) bool {
	if err == nil {
		return true
	}
	var e *messenger.Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, cherviltide.KindForbidden, e.Kind)
	return false
}

// TestRolePermissions guards against a process that may call procedures that its role does not need.
func TestRolePermissions(t *testing.T) {
	x := newFixture(t)
	for role, allowed := range map[string]struct{ announce, follow, status bool }{
		"Entry":    {true, true, false},
		"Agent":    {true, true, false},
		"Control":  {true, true, true},
		"Operator": {false, false, true},
		"Customer": {},
		"":         {},
	} {
		t.Run("role "+role, func(t *testing.T) {
			config, err := certifier.ClientConfig(x.issueFiles(t, "caller-"+role, role), "h2")
			require.NoError(t, err)
			client := messenger.NewClient(config)
			ctx := context.Background()
			_, announceErr := messenger.Announce.Call(ctx, client, x.url, &messenger.AnnounceRequest{})
			followErr := messenger.Follow.Call(ctx, client, x.url, &messenger.FollowRequest{}, func(*messenger.FollowUpdate) error { return nil })
			require.Equal(t, allowed.announce, isAllowed(t, announceErr), "Announce")
			require.Equal(t, allowed.follow, isAllowed(t, followErr), "Follow")
			require.Equal(t, allowed.status, isAllowed(t, x.callStatus(config)), "Status")
		})
	}
	config, err := certifier.ClientConfig(x.issueFiles(t, "operator", "Operator"), "h2")
	require.NoError(t, err)
	require.NoError(t, x.callStatus(certifier.RequireRole(config, cherviltide.RoleControl)))
	require.Error(t, x.callStatus(certifier.RequireRole(config, cherviltide.RoleAgent)), "a server of another role is accepted")
	other, err := issuer.New(t.TempDir())
	require.NoError(t, err)
	stranger := &fixture{Issuer: other}
	files := stranger.issueFiles(t, "operator", "Operator")
	files.Authority = x.AuthorityPath()
	config, err = certifier.ClientConfig(files, "h2")
	require.NoError(t, err)
	require.Error(t, x.callStatus(config), "a certificate of another authority is accepted")
}
