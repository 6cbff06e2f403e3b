// Package examples checks the example files.
package examples

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide/loader"
	"cherviltide.example/cherviltide/parser"
)

// TestExamples guards against example files that the programs reject, or that differ from the sizes in the design page.
func TestExamples(t *testing.T) {
	cases := map[string]struct {
		services       []string
		slots          int
		failureDomains []string
		urgent         string
		atMostOnce     string
	}{
		"meghna-sky":          {[]string{"advisory-desk", "chart-store"}, 2, []string{"salt-lake", "rajarhat", "howrah"}, "fetch", "acknowledge"},
		"kautionshueter-sued": {[]string{"deposit-core", "cert-archive"}, 3, []string{"muc-a", "muc-b", "nue-a"}, "check", "lodge"},
	}
	t.Setenv("CHERVILTIDE_PACKET_KEY", "000102030405060708090a0b0c0d0e0f")
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join(name, "rules"))
			require.NoError(t, err)
			rules, err := parser.Parse(string(text))
			require.NoError(t, err)
			formatted, err := parser.Format(string(text))
			require.NoError(t, err)
			require.Equal(t, string(text), formatted)
			require.Len(t, rules.Services, len(c.services))
			for i, s := range rules.Services {
				require.Equal(t, c.services[i], s.Name)
				require.Equal(t, 2000, s.Connections)
			}
			for _, k := range rules.Kinds {
				require.Equal(t, k.Name == c.urgent, k.Class == "Urgent", k.Name)
				require.Equal(t, k.Name == c.atMostOnce, k.AtMostOnce, k.Name)
			}
			var entry loader.Entry
			var agent loader.Agent
			var control loader.Control
			require.NoError(t, loader.Read(filepath.Join(name, "entry.json"), &entry))
			require.NoError(t, loader.Read(filepath.Join(name, "agent.json"), &agent))
			require.NoError(t, loader.Read(filepath.Join(name, "control.json"), &control))
			require.Equal(t, c.slots, agent.Slots)
			require.Len(t, control.Control, len(c.failureDomains))
			require.Len(t, control.Voters, len(c.failureDomains))
			require.Contains(t, c.failureDomains, entry.FailureDomain)
			_, exists := rules.Service(agent.Service)
			require.True(t, exists)
		})
	}
}
