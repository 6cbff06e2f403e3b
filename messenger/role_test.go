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

// system is a control instance with TLS and the authority that signs its callers.
type system struct {
	*issuer.Issuer
	url   string
	files certifier.Files
}

func newSystem(t *testing.T) *system {
	i, err := issuer.New(t.TempDir())
	require.NoError(t, err)
	s := &system{Issuer: i}
	s.files = s.issue(t, "control-1", "Control")
	config, err := certifier.Server(s.files, "h2")
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
	s.url = "https://" + listener.Addr().String()
	return s
}

func (s *system) issue(t *testing.T, name, role string) certifier.Files {
	certificate, key, err := s.IssueRole(name, role, net.IPv4(127, 0, 0, 1))
	require.NoError(t, err)
	return certifier.Files{Certificate: certificate, Key: key, Authority: s.Authority()}
}

// status calls a procedure of operators over a new connection.
func (s *system) status(config *tls.Config) error {
	client := messenger.NewClient(config)
	defer client.CloseIdleConnections()
	_, err := messenger.Status.Call(context.Background(), client, s.url, &messenger.StatusRequest{})
	return err
}

// allowed reports whether a call was allowed; one that fails in another way fails the test.
func allowed(t *testing.T, err error) bool {
	if err == nil {
		return true
	}
	var e *messenger.Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, cherviltide.KindForbidden, e.Kind)
	return false
}

// TestRolePermissions guards against a process that gets what its role does not need.
func TestRolePermissions(t *testing.T) {
	s := newSystem(t)
	for role, may := range map[string]struct{ announce, follow, status bool }{
		"Entry":    {true, true, false},
		"Agent":    {true, true, false},
		"Control":  {true, true, true},
		"Operator": {false, false, true},
		"Customer": {},
		"":         {},
	} {
		t.Run("role "+role, func(t *testing.T) {
			config, err := certifier.Client(s.issue(t, "caller-"+role, role), "h2")
			require.NoError(t, err)
			client := messenger.NewClient(config)
			ctx := context.Background()
			_, announced := messenger.Announce.Call(ctx, client, s.url, &messenger.AnnounceRequest{})
			followed := messenger.Follow.Call(ctx, client, s.url, &messenger.FollowRequest{}, func(*messenger.FollowUpdate) error { return nil })
			require.Equal(t, may.announce, allowed(t, announced), "Announce")
			require.Equal(t, may.follow, allowed(t, followed), "Follow")
			require.Equal(t, may.status, allowed(t, s.status(config)), "Status")
		})
	}
	config, err := certifier.Client(s.issue(t, "operator", "Operator"), "h2")
	require.NoError(t, err)
	require.NoError(t, s.status(certifier.RequireRole(config, cherviltide.RoleControl)))
	require.Error(t, s.status(certifier.RequireRole(config, cherviltide.RoleAgent)), "a server of another role is accepted")
	other, err := issuer.New(t.TempDir())
	require.NoError(t, err)
	stranger := &system{Issuer: other}
	files := stranger.issue(t, "operator", "Operator")
	files.Authority = s.Authority()
	config, err = certifier.Client(files, "h2")
	require.NoError(t, err)
	require.Error(t, s.status(config), "a certificate of another authority is accepted")
}
