package soaker

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func config(seed uint64) Config {
	return Config{Seed: seed, Duration: time.Minute, Controls: 3, Entries: 3, Agents: 6}
}

// TestDraw guards against schedules that a seed does not repeat, and against faults of other kinds in planned work.
func TestDraw(t *testing.T) {
	seen := map[string]bool{}
	for seed := range uint64(60) {
		s := Draw(config(seed))
		require.Equal(t, s, Draw(config(seed)))
		require.NotEmpty(t, s.Faults)
		for _, f := range s.Faults {
			seen[f.Kind] = true
			require.True(t, kinds[f.Kind].planned || !s.Planned, "%s in seed %d", f.Kind, seed)
		}
	}
	require.Len(t, seen, len(kinds), "kinds that no seed brings")
}

// TestCalm guards against promises that are checked while they do not hold, and against checks that never take place.
func TestCalm(t *testing.T) {
	r := newRecord()
	now := time.Now()
	require.True(t, r.calm(now, now, anything))
	end := r.begin("control-1", true)
	require.False(t, r.calm(now, time.Now(), anything), "under way")
	require.True(t, r.calm(now, time.Now(), unplanned))
	end()
	later := time.Now()
	require.False(t, r.calm(later, later, ofControl), "within the contact time")
	require.True(t, r.calm(later.Add(contact), later.Add(contact), anything))
}

// TestContains guards against other content that is taken for the configuration that was sent.
func TestContains(t *testing.T) {
	decode := func(b []byte) any {
		var v any
		require.NoError(t, json.Unmarshal(b, &v))
		return v
	}
	sent := decode(body(7, serviceNames[0]))
	require.True(t, contains(decode(body(7, serviceNames[0])), sent))
	require.False(t, contains(decode(body(8, serviceNames[0])), sent))
	require.False(t, contains(decode(body(7, serviceNames[1])), sent))
	require.False(t, contains(decode([]byte(`{"Version":7}`)), sent))
}

// TestSchedules guards against schedules of earlier failures that can no longer be played.
func TestSchedules(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	daemons := newDaemons(config(1))
	for _, file := range files {
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		var s struct {
			Cause string
			Schedule
		}
		require.NoError(t, json.Unmarshal(data, &s))
		require.NotEmpty(t, s.Cause, file)
		for _, f := range s.Faults {
			require.Contains(t, kinds, f.Kind, file)
			require.True(t, f.At < s.Duration, file)
			known := false
			for _, d := range daemons {
				known = known || d.Name() == f.Daemon
			}
			require.True(t, known, "%s: %s", file, f.Daemon)
		}
	}
}

// TestCheck guards against sizes that end in a panic or in two processes at one address.
func TestCheck(t *testing.T) {
	valid := config(1)
	valid.Callers = 40
	require.NoError(t, valid.Check())
	for name, change := range map[string]func(*Config){
		"controls: found 10": func(c *Config) { c.Controls = 10 },
		"entries: found 0":   func(c *Config) { c.Entries = 0 },
		"agents: found 1":    func(c *Config) { c.Agents = 1 },
		"agents: found 300":  func(c *Config) { c.Agents = 300 },
		"callers: found -1":  func(c *Config) { c.Callers = -1 },
	} {
		c := valid
		change(&c)
		require.ErrorContains(t, c.Check(), name)
	}
}
