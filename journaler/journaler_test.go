package journaler_test

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/journaler"
	"cherviltide.example/cherviltide/voter"
)

var errInjected = errors.New("injected")

// disk is a file system in memory. It fails at one operation, and a crash loses all that was not synced.
type disk struct {
	names, synced map[string]*file
	// fail is the number of the operation that fails; 0 means none. operations counts them.
	fail, operations int
	short            bool
}

type file struct {
	disk            *disk
	written, synced []byte
}

func newDisk() *disk { return &disk{names: map[string]*file{}, synced: map[string]*file{}} }

func (d *disk) step() error {
	if d.operations++; d.operations == d.fail {
		return errInjected
	}
	return nil
}

// crash returns the disk as it is after a loss of power.
func (d *disk) crash() *disk {
	after := newDisk()
	for name, f := range d.synced {
		kept := &file{disk: after, written: f.synced, synced: f.synced}
		after.names[name], after.synced[name] = kept, kept
	}
	return after
}

func (d *disk) MkdirAll(string) error          { return d.step() }
func (d *disk) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }
func (d *disk) Create(p string) (cherviltide.File, error) {
	if err := d.step(); err != nil {
		return nil, err
	}
	d.names[p] = &file{disk: d}
	return d.names[p], nil
}

func (d *disk) ReadFile(p string) ([]byte, error) {
	if f, ok := d.names[p]; ok {
		return f.written, nil
	}
	return nil, fs.ErrNotExist
}

func (d *disk) Rename(from, to string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.names[to] = d.names[from]
	delete(d.names, from)
	return nil
}

func (d *disk) Remove(p string) error {
	if err := d.step(); err != nil {
		return err
	}
	delete(d.names, p)
	return nil
}

func (d *disk) SyncDir(string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.synced = map[string]*file{}
	for name, f := range d.names {
		d.synced[name] = f
	}
	return nil
}

func (f *file) Write(b []byte) (int, error) {
	err := f.disk.step()
	if err != nil {
		b = b[:len(b)/2]
		if f.disk.short {
			err = nil
		}
	}
	f.written = append(f.written, b...)
	return len(b), err
}

func (f *file) Sync() error {
	if err := f.disk.step(); err != nil {
		return err
	}
	f.synced = append([]byte(nil), f.written...)
	return nil
}

func (f *file) Close() error { return nil }

func entry(i uint64) voter.Entry {
	return voter.Entry{Index: i, Term: 1, Data: fmt.Appendf(nil, "entry %d", i)}
}

// writeAll does ten writes, two of them snapshots, and returns the index of the last entry that was acknowledged.
func writeAll(files cherviltide.FileSystem) (uint64, error) {
	j, _, _, err := journaler.Open(files, "data", voter.ID{Name: "c1", Number: 7})
	if err != nil {
		return 0, err
	}
	defer func() { _ = j.Close() }()
	var last uint64
	for i := uint64(1); i <= 10; i++ {
		w := voter.Write{Hard: voter.HardState{Term: i}, Entries: []voter.Entry{entry(i)}}
		if i%5 == 0 {
			w.Snapshot = &voter.Snapshot{Index: i - 1, Term: 1, Data: []byte("state")}
		}
		if err := j.Write(w); err != nil {
			if again := j.Write(voter.Write{}); again == nil {
				return last, errors.New("a write after a failed one succeeded")
			}
			return last, err
		}
		last = i
	}
	return last, nil
}

// Guards against the loss of acknowledged state by a fault or crash at any step, and against writes after a failure.
func TestFaultAtEveryStepLosesNothingAcknowledged(t *testing.T) {
	for _, short := range []bool{false, true} {
		for step, done := 1, false; !done; step++ {
			d := newDisk()
			d.fail, d.short = step, short
			last, err := writeAll(d)
			done = d.operations < step
			require.Equal(t, done, err == nil, "step %d", step)
			if !done && !short {
				require.ErrorIs(t, err, errInjected)
			}
			for name, after := range map[string]*disk{"crash": d.crash(), "restart": d} {
				after.fail = 0
				_, self, stored, err := journaler.Open(after, "data", voter.ID{Name: "c1", Number: 8})
				require.NoError(t, err, "step %d, %s", step, name)
				if last > 0 {
					require.EqualValues(t, 7, self.Number, "step %d, %s", step, name)
				}
				held := stored.Snapshot.Index + uint64(len(stored.Entries))
				require.GreaterOrEqual(t, held, last, "step %d, %s", step, name)
				require.GreaterOrEqual(t, stored.Hard.Term, last, "step %d, %s", step, name)
			}
		}
	}
}

// Guards against damage that is skipped, and against a torn last write that stops the voter.
func TestDamage(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "log")
	j, self, _, err := journaler.Open(journaler.NewOSFileSystem(), folder, voter.ID{Name: "c1", Number: 7})
	require.NoError(t, err)
	_, _, _, err = journaler.Open(journaler.NewOSFileSystem(), folder, self)
	require.ErrorContains(t, err, "in use")
	var ends []int
	for i := uint64(1); i <= 3; i++ {
		require.NoError(t, j.Write(voter.Write{Hard: voter.HardState{Term: 1}, Entries: []voter.Entry{entry(i)}}))
		data, err := os.ReadFile(path)
		require.NoError(t, err)
		ends = append(ends, len(data))
	}
	require.NoError(t, j.Close())
	whole, err := os.ReadFile(path)
	require.NoError(t, err)
	open := func(data []byte) (int, error) {
		require.NoError(t, os.WriteFile(path, data, 0o600))
		j, _, stored, err := journaler.Open(journaler.NewOSFileSystem(), folder, self)
		if err == nil {
			require.NoError(t, j.Close())
		}
		return len(stored.Entries), err
	}
	for cut := ends[1]; cut < ends[2]; cut++ {
		n, err := open(whole[:cut])
		require.NoError(t, err, "cut at %d", cut)
		require.Equal(t, 2, n, "cut at %d", cut)
	}
	n, err := open(append(whole[:ends[1]:ends[1]], make([]byte, 4096)...))
	require.NoError(t, err)
	require.Equal(t, 2, n)
	for at := range whole {
		data := append([]byte(nil), whole...)
		data[at] ^= 0x10
		_, err := open(data)
		var damaged *journaler.Error
		require.ErrorAs(t, err, &damaged, "byte %d", at)
		require.Equal(t, cherviltide.KindDamaged, damaged.Kind, "byte %d", at)
		require.ErrorContains(t, err, path+" is damaged at offset", "byte %d", at)
	}
}
