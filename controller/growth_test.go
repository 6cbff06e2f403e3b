package controller

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/clock"
	"cherviltide.example/cherviltide/journaler"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/runner"
)

// Sizes of the smallest machine that runs control, in bytes. A process may use half of the memory, and a compaction holds the
// old file and the new one at once.
const (
	machineMemory = 104 << 20
	machineDisk   = 64 << 20
)

// parseNothing returns rules without routes for any text.
func parseNothing(string) (cherviltide.Rules, error) { return cherviltide.Rules{}, nil }

// configurationText returns lines that look like routes. The lines whose number is a multiple of step differ between versions.
func configurationText(version, lines, step int) string {
	var b strings.Builder
	for i := range lines {
		timeout := 1000
		if i%step == 0 {
			timeout += version
		}
		fmt.Fprintf(&b, `{"Name":"r-%d","Host":"198.19.%d.%d","Prefix":"/8443/","Kind":"idempotent","TimeoutMs":%d,"GoalMs":100,"Priority":2,"Service":"desk","Attempts":2},`+"\n",
			i, i/250, 1+i%250, timeout)
	}
	return b.String()
}

// directorySize returns the size of the files below a directory in bytes. A file that a compaction renames meanwhile has none.
func directorySize(t *testing.T, dir string) int64 {
	var size int64
	require.NoError(t, filepath.Walk(dir, func(_ string, info os.FileInfo, err error) error {
		if err == nil && !info.IsDir() {
			size += info.Size()
		}
		if errors.Is(err, fs.ErrNotExist) {
			return nil
		}
		return err
	}))
	return size
}

// liveHeap returns the size of the reachable heap in bytes.
func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TestLogIsBoundedInBytes guards against a configuration log that grows with the size of the versions until control exceeds
// the memory or the disk of its machine, at every start. The bound must hold for any pattern of versions, and the edits
// that are kept must still be known by their IDs.
func TestLogIsBoundedInBytes(t *testing.T) {
	const lines = 3_000
	tests := map[string]struct {
		versions int
		text     func(version int) string
	}{
		"each line changes": {110, func(v int) string { return configurationText(v, lines, 1) }},
		"one line changes":  {250, func(v int) string { return configurationText(v, lines, lines) }},
		"sizes alternate":   {110, func(v int) string { return configurationText(v, 1+lines*(v%2), 1) }},
		"largest edits":     {25, func(v int) string { return configurationText(v, 7*lines, 1) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			check := func(c *Controller, newest int) {
				require.Less(t, directorySize(t, dir), int64(machineDisk/2))
				require.Less(t, liveHeap(), uint64(machineMemory/2))
				runtime.KeepAlive(c)
				ctx := t.Context()
				applyEdit(ctx, t, c, fmt.Sprint(newest), test.text(newest), uint64(newest-1))
				applyEdit(ctx, t, c, fmt.Sprint(newest-1), test.text(newest-1), uint64(newest-2))
			}
			withController(t, dir, parseNothing, func(ctx context.Context, c *Controller, _ uint64) {
				for v := 1; v <= test.versions; v++ {
					applyEdit(ctx, t, c, fmt.Sprint(v), test.text(v), uint64(v-1))
				}
				check(c, test.versions)
			})
			withController(t, dir, parseNothing, func(_ context.Context, c *Controller, revision uint64) {
				require.EqualValues(t, test.versions, revision)
				check(c, test.versions)
			})
		})
	}
}

// crowdedDisk is a file system that may have no room for a second file.
type crowdedDisk struct {
	cherviltide.FileSystem
	crowded atomic.Bool
}

func (d *crowdedDisk) Create(path string) (cherviltide.File, error) {
	if d.crowded.Load() {
		return nil, syscall.ENOSPC
	}
	return d.FileSystem.Create(path)
}

// TestCompactionWaitsForRoom guards against edits that are refused while the disk has room for entries but not for a second
// file, and against a log that is never compacted after that.
func TestCompactionWaitsForRoom(t *testing.T) {
	dir, disk := t.TempDir(), &crowdedDisk{FileSystem: journaler.NewOSFileSystem()}
	c := New(Config{
		Name: "control-1", Clock: clock.NewManual(1_800_000_000_000), Log: zap.NewNop(), Data: dir, Parse: parseNothing,
		Files: disk, Voters: []Voter{{Name: "control-1"}}, Bootstrap: true, synchronousWrites: true,
	})
	require.NoError(t, c.openGroups())
	ctx, cancel := context.WithCancel(context.Background())
	ends := make(chan runner.Exit, 1)
	runner.Start(ctx, "loop", ends, c.loop)
	require.Eventually(t, func() bool {
		res, err := c.current(ctx, &messenger.CurrentRequest{})
		return err == nil && res.Confirmed
	}, 10*time.Second, time.Millisecond)
	text := func(v int) string { return configurationText(v, 3_000, 1) }
	const versions = 12
	disk.crowded.Store(true)
	for v := 1; v <= versions; v++ {
		applyEdit(ctx, t, c, fmt.Sprint(v), text(v), uint64(v-1))
	}
	require.Greater(t, directorySize(t, dir), int64(versions*len(text(1))))
	disk.crowded.Store(false)
	require.Eventually(t, func() bool { return directorySize(t, dir) < int64(versions*len(text(1))/2) }, 30*time.Second, 10*time.Millisecond)
	cancel()
	<-ends
	require.NoError(t, c.configuration.journal.Close())
	require.NoError(t, c.membership.journal.Close())
	withController(t, dir, parseNothing, func(ctx context.Context, c *Controller, revision uint64) {
		require.EqualValues(t, versions, revision)
		applyEdit(ctx, t, c, fmt.Sprint(versions), text(versions), versions-1)
	})
}
