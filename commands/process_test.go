package commands

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/bench/issuer"
	"cherviltide.example/cherviltide/clock"
	"cherviltide.example/cherviltide/controller"
	"cherviltide.example/cherviltide/journaler"
	"cherviltide.example/cherviltide/loader"
	"cherviltide.example/cherviltide/messenger"
)

// TestMutualTLS guards against processes that cannot reach control over TLS, and against a process that can announce itself
// in a role that its certificate does not have.
func TestMutualTLS(t *testing.T) {
	authority, err := issuer.New(t.TempDir())
	require.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	require.NoError(t, listener.Close())
	process := func(name, role string) loader.Process {
		certificate, key, err := authority.IssueRole(name, role, net.IPv4(127, 0, 0, 1))
		require.NoError(t, err)
		return loader.Process{
			Name: name, Control: []netip.AddrPort{address},
			TLS: loader.TLS{Certificate: certificate, Key: key, Authority: authority.AuthorityPath()},
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	exited := make(chan error, 2)
	server, err := serverTLS(process("control-1", "Control"))
	require.NoError(t, err)
	control := controller.New(controller.Config{
		Name: "control-1", Listen: address, TLS: server, Clock: clock.NewSystem(), Log: zap.NewNop(),
		Data: t.TempDir(), Files: journaler.NewOSFileSystem(), Bootstrap: true, Voters: []controller.Voter{{Name: "control-1"}},
	})
	go func() { exited <- control.Run(ctx) }()
	start := func(p loader.Process, role cherviltide.Role) (leaseUntil func() cherviltide.Millis, followed func() bool) {
		f, err := newFollower(p, newMember(p, role, "", netip.AddrPort{}, netip.AddrPort{}), "", zap.NewNop(),
			func(*messenger.AnnounceRequest) {})
		require.NoError(t, err)
		go func() { exited <- f.Run(ctx) }()
		return f.LeaseUntil, func() bool { return f.View().Base != 0 }
	}
	lease, followed := start(process("entry-1", "Entry"), cherviltide.RoleEntry)
	impostorLease, _ := start(process("agent-1", "Entry"), cherviltide.RoleAgent)
	require.Eventually(t, func() bool { return lease() > 0 && followed() }, 30*time.Second, 10*time.Millisecond)
	require.Zero(t, impostorLease(), "a certificate of an entry was accepted for an agent")
	cancel()
	for range 3 {
		require.NoError(t, <-exited)
	}
}
