package launcher_test

import (
	"context"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide/bench/launcher"
	"cherviltide.example/cherviltide/bench/swallower"
	"cherviltide.example/cherviltide/commands"
)

// Guards against processes that wait on connections to control that are open but silent for good, while new ones work: an
// edit must be in force everywhere although every connection that was open before it is dead.
func TestSilentConnectionsToControl(t *testing.T) {
	var links []*swallower.Swallower
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	s := startPlan(t, func(p *launcher.Plan) {
		p.Reach = func(control netip.AddrPort) (netip.AddrPort, error) {
			link, err := swallower.Listen(control.String())
			if err != nil {
				return netip.AddrPort{}, err
			}
			links = append(links, link)
			running.Go(func() { _ = link.Run(ctx) })
			return netip.ParseAddrPort(link.Address())
		}
	})
	silenced := 0
	for _, link := range links {
		silenced += link.Silence()
	}
	members := s.Members()
	require.GreaterOrEqual(t, silenced, members, "connections that went silent")
	path := filepath.Join(t.TempDir(), "rules")
	require.NoError(t, os.WriteFile(path, []byte(s.Rules()+"Customer padma-charter Services advisory-desk # asked by Farhan Ali\n"), 0o600))
	operate(t.Context(), t, s, commands.ExitDone, "apply", path, "--operator", "rita")
	require.NoError(t, s.WaitInForce(t.Context(), 2, members))
}
