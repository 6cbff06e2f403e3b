package measurer

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"cherviltide.example/cherviltide/bench/launcher"
	"cherviltide.example/cherviltide/journaler"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/voter"
)

const (
	measuredEdits = 300
	missedEdits   = 1_000
	// fileLines is the number of lines of the edited file.
	fileLines           = 500
	replayEntries       = 100_000
	replayBatchEntries  = 100
	replayEntryBytes    = 200
	controlTimeout      = 60 * time.Second
	controlPollInterval = 5 * time.Millisecond
)

// editor sends edits to three control instances.
type editor struct {
	system   *launcher.System
	client   *http.Client
	revision uint64
	edits    int
}

// startEditor starts three control instances and waits for the first accepted edit.
func startEditor(ctx context.Context) (*editor, error) {
	bench, err := os.Executable()
	if err != nil {
		return nil, errors.Trace(err)
	}
	dir, err := os.MkdirTemp("", "cherviltide-measure-")
	if err != nil {
		return nil, errors.Trace(err)
	}
	system, err := launcher.StartControls(launcher.Plan{
		Dir: dir, Binary: filepath.Join(filepath.Dir(bench), "cherviltide"), Controls: 3,
		FailureDomains: []string{"a", "b", "c"},
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	e := &editor{system: system, client: messenger.NewClient(nil)}
	if err := e.retry(ctx, func() error { return e.edit(ctx, 0) }); err != nil {
		e.stop()
		return nil, err
	}
	return e, nil
}

func (e *editor) stop() {
	e.system.Stop()
	_ = os.RemoveAll(e.system.Plan.Dir)
}

// retry calls f until it succeeds or controlTimeout has passed.
func (e *editor) retry(ctx context.Context, f func() error) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Trace(err)
		case <-time.After(controlPollInterval):
		}
	}
}

// edit changes one line of the file.
func (e *editor) edit(ctx context.Context, instance int) error {
	lines := slices.Repeat([]string{"# a line of an ordinary length that does not change"}, fileLines)
	lines[e.edits%fileLines] = fmt.Sprintf("# edit %d", e.edits)
	res, err := messenger.Apply.Call(ctx, e.client, "http://"+e.system.ControlAddresses[instance].String(), &messenger.ApplyRequest{
		EditID: fmt.Sprint(e.edits), Base: e.revision, Operator: "measure", Text: strings.Join(lines, "\n") + "\n",
	})
	if err == nil {
		e.edits++
		e.revision = res.Revision
	}
	return err
}

// leader returns the index of the instance that leads the configuration group.
func (e *editor) leader(ctx context.Context) (int, error) {
	leader := 0
	err := e.retry(ctx, func() error {
		for i, a := range e.system.ControlAddresses {
			res, err := messenger.Current.Call(ctx, e.client, "http://"+a.String(), &messenger.CurrentRequest{Forwarded: true})
			if err == nil && res.Confirmed {
				leader = i
				return nil
			}
		}
		return errors.New("no control instance leads the configuration group")
	})
	return leader, err
}

// controlAccept measures the time until a majority of three control instances has accepted an edit.
func controlAccept(ctx context.Context, _ uint64, emit func(Line)) error {
	e, err := startEditor(ctx)
	if err != nil {
		return err
	}
	defer e.stop()
	leader, err := e.leader(ctx)
	if err != nil {
		return err
	}
	for variant, instance := range map[string]int{"Leader": leader, "Forwarded": (leader + 1) % 3} {
		var latencies []float64
		for range measuredEdits {
			start := time.Now()
			if err := e.edit(ctx, instance); err != nil {
				return errors.Trace(err)
			}
			latencies = append(latencies, float64(time.Since(start).Microseconds())/1000)
		}
		slices.Sort(latencies)
		quantile := func(q float64) float64 { return latencies[min(int(q*float64(len(latencies))), len(latencies)-1)] }
		emit(Line{Variant: variant, Note: fmt.Sprintf("%d edits one after the other, 3 voters, file of %d lines: "+
			"p50 %.1f ms, p90 %.1f ms, p99 %.1f ms, maximum %.1f ms", len(latencies), fileLines, quantile(0.5), quantile(0.9), quantile(0.99), quantile(1))})
	}
	return nil
}

// controlRestart measures how long a control instance that missed many edits needs after its start until it has them.
func controlRestart(ctx context.Context, _ uint64, emit func(Line)) error {
	e, err := startEditor(ctx)
	if err != nil {
		return err
	}
	defer e.stop()
	leader, err := e.leader(ctx)
	if err != nil {
		return err
	}
	stopped := (leader + 1) % 3
	name := fmt.Sprintf("control-%d", stopped+1)
	e.system.Processes[name].Kill()
	for range missedEdits {
		if err := e.retry(ctx, func() error { return e.edit(ctx, leader) }); err != nil {
			return err
		}
	}
	start := time.Now()
	if err := e.system.RestartControl(name); err != nil {
		return errors.Trace(err)
	}
	err = e.retry(ctx, func() error {
		res, err := messenger.Current.Call(ctx, e.client, "http://"+e.system.ControlAddresses[stopped].String(),
			&messenger.CurrentRequest{Forwarded: true})
		if err == nil && res.Revision < e.revision {
			err = errors.Errorf("revision %d of %d", res.Revision, e.revision)
		}
		return err
	})
	if err != nil {
		return err
	}
	emit(Line{Note: fmt.Sprintf("%d missed changes, from the start of the process until it has all: %d ms",
		missedEdits, time.Since(start).Milliseconds())})
	return nil
}

// journalReplay measures how fast a journal is read when a process starts.
func journalReplay(_ context.Context, _ uint64, emit func(Line)) error {
	dir, err := os.MkdirTemp("", "cherviltide-measure-")
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	self := voter.ID{Name: "control-1", Number: 1}
	j, _, _, err := journaler.Open(journaler.NewOSFileSystem(), dir, self)
	if err != nil {
		return errors.Trace(err)
	}
	data := make([]byte, replayEntryBytes)
	start := time.Now()
	for index := uint64(1); index <= replayEntries; {
		w := voter.Write{Hard: voter.HardState{Term: 1}}
		for range replayBatchEntries {
			w.Entries = append(w.Entries, voter.Entry{Index: index, Term: 1, Data: data})
			index++
		}
		if err := j.Write(w); err != nil {
			return errors.Trace(err)
		}
	}
	writeTime := time.Since(start)
	if err := j.Close(); err != nil {
		return errors.Trace(err)
	}
	info, err := os.Stat(filepath.Join(dir, "log"))
	if err != nil {
		return errors.Trace(err)
	}
	start = time.Now()
	j, _, stored, err := journaler.Open(journaler.NewOSFileSystem(), dir, self)
	openTime := time.Since(start)
	if err != nil {
		return errors.Trace(err)
	}
	emit(Line{Note: fmt.Sprintf("%d entries of %d bytes, file of %d bytes; opened in %d ms: %.0f entries/s, %.1f MB/s, "+
		"with the rewrite and its sync; written in %d synced writes, %.2f ms each", len(stored.Entries), replayEntryBytes, info.Size(),
		openTime.Milliseconds(), float64(len(stored.Entries))/openTime.Seconds(), float64(info.Size())/1e6/openTime.Seconds(),
		replayEntries/replayBatchEntries, writeTime.Seconds()*1000/(replayEntries/replayBatchEntries))})
	return errors.Trace(j.Close())
}
