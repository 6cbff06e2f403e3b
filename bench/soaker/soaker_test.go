package soaker

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func testConfig(seed uint64) Config {
	return Config{Seed: seed, Duration: time.Minute, Controls: 3, Entries: 3, Agents: 6}
}

// TestDraw guards against a seed that generates different schedules, and against unplanned faults in a planned schedule.
func TestDraw(t *testing.T) {
	seen := map[string]bool{}
	for seed := range uint64(60) {
		s := GenerateSchedule(testConfig(seed))
		require.Equal(t, s, GenerateSchedule(testConfig(seed)))
		require.NotEmpty(t, s.Faults)
		for _, f := range s.Faults {
			seen[f.Kind] = true
			require.True(t, faultKinds[f.Kind].planned || !s.Planned, "%s in seed %d", f.Kind, seed)
		}
	}
	require.Len(t, seen, len(faultKinds), "a kind of fault is in no schedule")
}

// TestIsFaultFree guards against guarantees that are checked while they do not hold, and against checks that are never
// made.
func TestIsFaultFree(t *testing.T) {
	r := newRecord()
	now := time.Now()
	require.True(t, r.isFaultFree(now, now, anyFault))
	end := r.beginFault("control-1", true)
	require.False(t, r.isFaultFree(now, time.Now(), anyFault), "fault is active")
	require.True(t, r.isFaultFree(now, time.Now(), isUnplanned))
	end()
	later := time.Now()
	require.False(t, r.isFaultFree(later, later, isControlFault), "within the settling time")
	require.True(t, r.isFaultFree(later.Add(settlingTime), later.Add(settlingTime), anyFault))
}

// TestContains guards against other content that is accepted as the configuration that was sent.
func TestContains(t *testing.T) {
	decode := func(b []byte) any {
		var v any
		require.NoError(t, json.Unmarshal(b, &v))
		return v
	}
	sent := decode(configBody(7, serviceNames[0]))
	require.True(t, contains(decode(configBody(7, serviceNames[0])), sent))
	require.False(t, contains(decode(configBody(8, serviceNames[0])), sent))
	require.False(t, contains(decode(configBody(7, serviceNames[1])), sent))
	require.False(t, contains(decode([]byte(`{"Version":7}`)), sent))
}

// TestStoredSchedules guards against schedules of earlier failures that can no longer be run.
func TestStoredSchedules(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	daemons := newDaemons(testConfig(1))
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
			require.Contains(t, faultKinds, f.Kind, file)
			require.True(t, f.At < s.Duration, file)
			known := false
			for _, d := range daemons {
				known = known || d.Name() == f.Daemon
			}
			require.True(t, known, "%s: %s", file, f.Daemon)
		}
	}
}

// TestConfigCheck guards against sizes that lead to a panic or to two processes with the same address.
func TestConfigCheck(t *testing.T) {
	valid := testConfig(1)
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
