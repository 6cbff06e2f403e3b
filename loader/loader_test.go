package loader

import (
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const packetKey = "000102030405060708090a0b0c0d0e0f"

const commonSettings = `"Name": "a-1", "FailureDomain": "muc-a", "Region": "south", "Control": ["127.0.0.1:7400"], "PacketKey": "` + packetKey + `"`

const agentSettings = `{` + commonSettings + `, "Service": "desk", "Data": "127.0.0.1:1", "Peer": "127.0.0.1:2", "Target": "127.0.0.1:3",
  "CallerTLS": {"Certificate": "c", "Key": "k", "Authority": "a"}`

const entrySettings = `{` + commonSettings + `, "Ports": [{"Listen": 4433, "Virtual": 443}], "Internal": "127.0.0.1:9"`

func writeSettings(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "s.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// TestReadProblems guards against a process that starts with invalid settings, and against problems reported one at a time.
func TestReadProblems(t *testing.T) {
	cases := map[string]struct {
		text     string
		settings any
		flags    []string
		variable string
		want     []string
	}{
		"unknown name":          {agentSettings + `, "Slot": 2}`, &Agent{}, nil, "", []string{"s.json:2:76: Slot: is not a setting of this role; did you mean Slots?"}},
		"unknown nested":        {agentSettings + `, "TLS": {"Cert": "x"}}`, &Agent{}, nil, "", []string{"TLS.Cert: is not a setting"}},
		"unknown in list":       {`{` + commonSettings + `, "Ports": [{"Listen": 1, "Virtal": 2}], "Internal": "127.0.0.1:9"}`, &Entry{}, nil, "", []string{"Ports: found"}},
		"other role's setting":  {entrySettings + `, "Slots": 2}`, &Entry{}, nil, "", []string{"Slots: is not a setting of this role"}},
		"wrong case":            {entrySettings + `, "listen": "0.0.0.0"}`, &Entry{}, nil, "", []string{"did you mean Listen?"}},
		"all missing":           {`{}`, &Control{}, nil, "", []string{"Name: is missing", "FailureDomain: is missing", "Region: is missing", "Listen: is missing; expected an address with a port", "Data: is missing"}},
		"wrong unit":            {agentSettings + `, "Slots": "2 requests"}`, &Agent{}, nil, "", []string{`Slots: found "2 requests", expected a whole number (unit: requests)`}},
		"fraction":              {agentSettings + `, "Slots": 2.5}`, &Agent{}, nil, "", []string{"Slots: found 2.5"}},
		"out of range":          {agentSettings + `, "Slots": -1}`, &Agent{}, nil, "", []string{"s.json:2:77: Slots: found -1, expected 1 to 10000 requests"}},
		"port as text":          {strings.Replace(entrySettings, "4433", `"4433"`, 1) + `}`, &Entry{}, nil, "", []string{"Ports: found"}},
		"address without port":  {agentSettings + `, "Probe": "127.0.0.1"}`, &Agent{}, nil, "", []string{`Probe: found "127.0.0.1", expected an address with a port`}},
		"given twice":           {agentSettings + `, "Service": "x"}`, &Agent{}, nil, "", []string{"Service: is given twice"}},
		"short key":             {strings.Replace(entrySettings, packetKey, "0011", 1) + `}`, &Entry{}, nil, "", []string{"PacketKey: found 4 characters"}},
		"incomplete TLS":        {entrySettings + `, "TLS": {"Key": "k"}}`, &Entry{}, nil, "", []string{"TLS: Certificate, Key and Authority are given together"}},
		"same address":          {strings.Replace(agentSettings, ":3", ":2", 1) + `}`, &Agent{}, nil, "", []string{"Target: 127.0.0.1:2 is also the address of Peer"}},
		"duplicate port":        {strings.Replace(entrySettings, `443}`, `443}, {"Listen": 4433, "Virtual": 444}`, 1) + `}`, &Entry{}, nil, "", []string{"listening port 4433 is given twice"}},
		"internal port listens": {strings.Replace(entrySettings, ":9", ":4433", 1) + `}`, &Entry{}, nil, "", []string{"Internal: port 4433 is also a listening port"}},
		"public probe":          {entrySettings + `, "Probe": "203.0.113.1:80"}`, &Entry{}, nil, "", []string{"Probe: found 203.0.113.1:80, expected a loopback"}},
		"link rate":             {entrySettings + `, "LinkMbps": 4}`, &Entry{}, nil, "", []string{"LinkMbps: is not a setting"}},
		"truncated file":        {entrySettings, &Entry{}, nil, "", []string{"found the end of the file"}},
		"trailing text":         {entrySettings + `} {}`, &Entry{}, nil, "", []string{"found more text after the settings"}},
		"not an object":         {`[]`, &Entry{}, nil, "", []string{"expected an object", "is missing"}},
		"unknown variable":      {entrySettings + `}`, &Entry{}, nil, "CHERVILTIDE_LISTN", []string{"environment: CHERVILTIDE_LISTN: is not a setting of this role; did you mean CHERVILTIDE_LISTEN?"}},
		"wrong variable":        {agentSettings + `}`, &Agent{}, nil, "CHERVILTIDE_SLOTS", []string{`environment CHERVILTIDE_SLOTS: Slots: found "x"`}},
		"unknown flag":          {agentSettings + `}`, &Agent{}, []string{"Slot=3", "Slots"}, "", []string{"flag: Slot: is not a setting", `flag "Slots": expected NAME=VALUE`}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			if test.variable != "" {
				t.Setenv(test.variable, "x")
			}
			err := Read(writeSettings(t, test.text), test.settings, test.flags...)
			var e *Error
			require.ErrorAs(t, err, &e)
			require.GreaterOrEqual(t, len(e.Problems), len(test.want))
			for i, want := range test.want {
				require.Contains(t, e.Problems[i], want)
			}
			if name != "not an object" && name != "truncated file" {
				require.Len(t, e.Problems, len(test.want), err.Error())
			}
		})
	}
}

// TestExplain guards against a wrong precedence of file, environment and flags, and against a secret in the output.
func TestExplain(t *testing.T) {
	t.Setenv("CHERVILTIDE_SLOTS", "3")
	t.Setenv("CHERVILTIDE_REGION", "north")
	t.Setenv("CHERVILTIDE_CALLER_TLS_KEY", "other.pem")
	t.Setenv("CHERVILTIDE_CONTROL", "127.0.0.1:1,127.0.0.1:2")
	t.Setenv("CHERVILTIDE_OPERATOR_KEY", "not a setting")
	var a Agent
	values, err := ReadWithSources(writeSettings(t, agentSettings+`, "Slots": 1, "Probe": ""}`), &a, "Slots=4")
	require.NoError(t, err)
	require.Equal(t, 4, a.Slots)
	require.Equal(t, "north", a.Region)
	require.Equal(t, "other.pem", a.CallerTLS.Key)
	require.Equal(t, []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")}, a.Control)
	sources := map[string]string{}
	for _, v := range values {
		sources[v.Name] = v.Source
		require.NotContains(t, v.Text, packetKey)
	}
	require.Equal(t, "flag", sources["Slots"])
	require.Equal(t, "environment", sources["Region"])
	require.Equal(t, "file", sources["Service"])
	require.Equal(t, "", sources["Probe"])
}

// TestRoundTrip guards against settings that a program writes as JSON and that Read rejects or reads as other values.
func TestRoundTrip(t *testing.T) {
	var want, got Entry
	require.NoError(t, Read(writeSettings(t, entrySettings+`}`), &want))
	require.Equal(t, netip.IPv4Unspecified(), want.Listen, "default")
	data, err := json.Marshal(want)
	require.NoError(t, err)
	require.NoError(t, Read(writeSettings(t, string(data)), &got))
	require.Equal(t, want, got)
}
