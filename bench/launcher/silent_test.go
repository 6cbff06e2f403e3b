package launcher_test

import (
	"context"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide/bench/faultproxy"
	"cherviltide.example/cherviltide/bench/launcher"
	"cherviltide.example/cherviltide/commands"
)

// Guards against processes that wait forever on open connections to control that deliver no more bytes, although new
// connections work: an edit must be in force everywhere after all older connections have become black holes.
func TestSilentConnectionsToControl(t *testing.T) {
	var proxies []*faultproxy.Proxy
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	s := startPlan(t, func(p *launcher.Plan) {
		p.MapControlAddress = func(control netip.AddrPort) (netip.AddrPort, error) {
			proxy, err := faultproxy.Listen(control.String())
			if err != nil {
				return netip.AddrPort{}, err
			}
			proxies = append(proxies, proxy)
			running.Go(func() { _ = proxy.Run(ctx) })
			return netip.ParseAddrPort(proxy.Address())
		}
	})
	connections := 0
	for _, proxy := range proxies {
		connections += proxy.Blackhole()
	}
	members := s.Members()
	require.GreaterOrEqual(t, connections, members, "fewer black-holed connections than members")
	path := filepath.Join(t.TempDir(), "rules")
	require.NoError(t, os.WriteFile(path, []byte(s.Rules()+"Customer padma-charter Services advisory-desk # asked by Farhan Ali\n"), 0o600))
	runCommand(t.Context(), t, s, commands.ExitDone, "apply", path, "--operator", "rita")
	require.NoError(t, s.WaitForRevision(t.Context(), 2, members))
}
