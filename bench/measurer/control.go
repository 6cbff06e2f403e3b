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
	acceptedEdits = 300
	missedEdits   = 1_000
	// ruleLines is the number of lines of the file that is edited.
	ruleLines     = 500
	replayEntries = 100_000
	replayBatch   = 100
	replayBytes   = 200
	controlWait   = 60 * time.Second
	controlPoll   = 5 * time.Millisecond
)

// editor sends edits to a system of three control instances.
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
	folder, err := os.MkdirTemp("", "cherviltide-measure-")
	if err != nil {
		return nil, errors.Trace(err)
	}
	system, err := launcher.StartControls(launcher.Plan{
		Folder: folder, Binary: filepath.Join(filepath.Dir(bench), "cherviltide"), Controls: 3,
		FailureDomains: []string{"a", "b", "c"},
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	e := &editor{system: system, client: messenger.NewClient(nil)}
	if err := e.until(ctx, func() error { return e.edit(ctx, 0) }); err != nil {
		e.stop()
		return nil, err
	}
	return e, nil
}

func (e *editor) stop() {
	e.system.Stop()
	_ = os.RemoveAll(e.system.Plan.Folder)
}

// until repeats f until it succeeds.
func (e *editor) until(ctx context.Context, f func() error) error {
	ctx, cancel := context.WithTimeout(ctx, controlWait)
	defer cancel()
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Trace(err)
		case <-time.After(controlPoll):
		}
	}
}

// edit changes one line of the file.
func (e *editor) edit(ctx context.Context, instance int) error {
	lines := slices.Repeat([]string{"# a line of an ordinary length that does not change"}, ruleLines)
	lines[e.edits%ruleLines] = fmt.Sprintf("# edit %d", e.edits)
	res, err := messenger.Apply.Call(ctx, e.client, "http://"+e.system.Control[instance].String(), &messenger.ApplyRequest{
		EditID: fmt.Sprint(e.edits), Base: e.revision, Operator: "measure", Text: strings.Join(lines, "\n") + "\n",
	})
	if err == nil {
		e.edits++
		e.revision = res.Revision
	}
	return err
}

// leader returns the instance that leads the configuration.
func (e *editor) leader(ctx context.Context) (int, error) {
	leader := 0
	err := e.until(ctx, func() error {
		for i, a := range e.system.Control {
			res, err := messenger.Current.Call(ctx, e.client, "http://"+a.String(), &messenger.CurrentRequest{Forwarded: true})
			if err == nil && res.Confirmed {
				leader = i
				return nil
			}
		}
		return errors.New("no leader")
	})
	return leader, err
}

// controlAccept measures the time until an edit is accepted by a majority of three processes.
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
		var took []float64
		for range acceptedEdits {
			start := time.Now()
			if err := e.edit(ctx, instance); err != nil {
				return errors.Trace(err)
			}
			took = append(took, float64(time.Since(start).Microseconds())/1000)
		}
		slices.Sort(took)
		at := func(share float64) float64 { return took[min(int(share*float64(len(took))), len(took)-1)] }
		emit(Line{Variant: variant, Note: fmt.Sprintf("%d edits one after the other, 3 voters, file of %d lines: "+
			"p50 %.1f ms, p90 %.1f ms, p99 %.1f ms, maximum %.1f ms", len(took), ruleLines, at(0.5), at(0.9), at(0.99), at(1))})
	}
	return nil
}

// controlRestart measures the time from the start of a process that missed many changes until it has them.
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
	absent := (leader + 1) % 3
	name := fmt.Sprintf("control-%d", absent+1)
	e.system.Processes[name].Kill()
	for range missedEdits {
		if err := e.until(ctx, func() error { return e.edit(ctx, leader) }); err != nil {
			return err
		}
	}
	start := time.Now()
	if err := e.system.Restart(name); err != nil {
		return errors.Trace(err)
	}
	err = e.until(ctx, func() error {
		res, err := messenger.Current.Call(ctx, e.client, "http://"+e.system.Control[absent].String(),
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

// journalReplay measures how fast a journal is read at the start of a process.
func journalReplay(_ context.Context, _ uint64, emit func(Line)) error {
	folder, err := os.MkdirTemp("", "cherviltide-measure-")
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	self := voter.ID{Name: "control-1", Number: 1}
	j, _, _, err := journaler.Open(journaler.NewOSFileSystem(), folder, self)
	if err != nil {
		return errors.Trace(err)
	}
	data := make([]byte, replayBytes)
	start := time.Now()
	for index := uint64(1); index <= replayEntries; {
		w := voter.Write{Hard: voter.HardState{Term: 1}}
		for range replayBatch {
			w.Entries = append(w.Entries, voter.Entry{Index: index, Term: 1, Data: data})
			index++
		}
		if err := j.Write(w); err != nil {
			return errors.Trace(err)
		}
	}
	wrote := time.Since(start)
	if err := j.Close(); err != nil {
		return errors.Trace(err)
	}
	info, err := os.Stat(filepath.Join(folder, "log"))
	if err != nil {
		return errors.Trace(err)
	}
	start = time.Now()
	j, _, stored, err := journaler.Open(journaler.NewOSFileSystem(), folder, self)
	took := time.Since(start)
	if err != nil {
		return errors.Trace(err)
	}
	emit(Line{Note: fmt.Sprintf("%d entries of %d bytes, file of %d bytes; opened in %d ms: %.0f entries/s, %.1f MB/s, "+
		"with the rewrite and its sync; written in %d synced writes, %.2f ms each", len(stored.Entries), replayBytes, info.Size(),
		took.Milliseconds(), float64(len(stored.Entries))/took.Seconds(), float64(info.Size())/1e6/took.Seconds(),
		replayEntries/replayBatch, wrote.Seconds()*1000/(replayEntries/replayBatch))})
	return errors.Trace(j.Close())
}
