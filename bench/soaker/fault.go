package soaker

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"

	"cherviltide.example/cherviltide/bench/launcher"
	"cherviltide.example/cherviltide/bench/relaypath"
	"cherviltide.example/cherviltide/bench/swallower"
	"cherviltide.example/cherviltide/runner"
)

// kind is a kind of fault.
type kind struct {
	// planned is true for work that must break no open flow.
	planned bool
	// role is the role of the daemons that it can come to; empty means all.
	role string
	do   func(w *world, ctx context.Context, d *daemon, span time.Duration) error
	// link is set instead of do for what happens to the connections to a control instance.
	link func(l *link, ctx context.Context, span time.Duration)
}

var kinds = map[string]kind{
	"restart":         {planned: true, do: (*world).restart},
	"restartSeries":   {planned: true, do: (*world).restartSeries},
	"stopTwice":       {planned: true, do: (*world).stopTwice},
	"reload":          {planned: true, do: (*world).reload},
	"drain":           {planned: true, role: relaypath.RoleAgent, do: (*world).drain},
	"drainAndRestart": {planned: true, role: relaypath.RoleAgent, do: (*world).drainAndRestart},
	"kill":            {do: (*world).killAndStart},
	"pause":           {do: (*world).pause},
	"stopPaused":      {do: (*world).stopPaused},
	"crashTarget":     {role: relaypath.RoleAgent, do: (*world).crashTarget},
	"muteTarget":      {role: relaypath.RoleAgent, do: (*world).muteTarget},
	"loseDisk":        {role: relaypath.RoleControl, do: (*world).loseDisk},
	"tearLog":         {role: relaypath.RoleControl, do: (*world).tearLog},
	"blockFolder":     {role: relaypath.RoleControl, do: (*world).blockFolder},
	"delayLink":       {role: relaypath.RoleControl, link: conduct(swallower.Conduct{Delay: 150 * time.Millisecond})},
	"cutLink":         {role: relaypath.RoleControl, link: conduct(swallower.Conduct{CutToTarget: true, CutToCaller: true})},
	"cutLinkTo":       {role: relaypath.RoleControl, link: conduct(swallower.Conduct{CutToTarget: true})},
	"cutLinkFrom":     {role: relaypath.RoleControl, link: conduct(swallower.Conduct{CutToCaller: true})},
	"resetLink":       {role: relaypath.RoleControl, link: func(l *link, _ context.Context, _ time.Duration) { l.forwarder.Reset() }},
	"silenceLink":     {role: relaypath.RoleControl, link: func(l *link, _ context.Context, _ time.Duration) { l.forwarder.Silence() }},
}

func conduct(c swallower.Conduct) func(*link, context.Context, time.Duration) {
	return func(l *link, ctx context.Context, span time.Duration) {
		l.forwarder.Set(c)
		_ = runner.Sleep(ctx, span)
		l.forwarder.Set(swallower.Conduct{})
	}
}

// play brings the faults of a schedule and returns after all have ended.
func (w *world) play(ctx context.Context, p Schedule) error {
	ends := make(chan runner.Exit, len(p.Faults))
	byName := map[string]*daemon{}
	for _, d := range w.daemons {
		byName[d.Name()] = d
	}
	start := time.Now()
	for _, f := range p.Faults {
		_ = runner.Sleep(ctx, time.Until(start.Add(f.At.Duration())))
		runner.Start(ctx, f.Kind+" of "+f.Daemon, ends, func(ctx context.Context) error { return w.bring(ctx, f, byName[f.Daemon]) })
	}
	_ = runner.Sleep(ctx, time.Until(start.Add(p.Duration.Duration())))
	var first error
	for range p.Faults {
		if end := <-ends; end.Err != nil && first == nil {
			first = fmt.Errorf("%s: %w", end.Name, end.Err)
		}
	}
	if first == nil && p.Power {
		first = w.losePower(ctx)
	}
	return first
}

// bring brings one fault. A fault that meets another one at the same process or link is left out.
func (w *world) bring(ctx context.Context, f Fault, d *daemon) error {
	k := kinds[f.Kind]
	if d == nil || k.do == nil && k.link == nil {
		return errors.Errorf("fault %q of %q is not known", f.Kind, f.Daemon)
	}
	lock, subject := &d.fault, d.Name()
	if k.link != nil {
		lock, subject = &w.links[d.Machine].fault, w.links[d.Machine].name
	}
	if !lock.TryLock() {
		w.record.count(func(c *Counts) { c.Skipped++ })
		return nil
	}
	defer lock.Unlock()
	defer w.record.begin(subject, k.planned)()
	if k.link != nil {
		k.link(w.links[d.Machine], ctx, f.For.Duration())
		return nil
	}
	return k.do(w, ctx, d, f.For.Duration())
}

// again starts a process and waits a while until it is ready.
func (w *world) again(ctx context.Context, d *daemon) error {
	w.record.count(func(c *Counts) { c.Restarts++ })
	if err := w.launch(d, false); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	// Without a majority or beside a leaving target nobody becomes ready; the checks at the end find what stays so.
	_ = until(ctx, d.Name()+" is ready", func() bool { return w.ready(ctx, d) })
	return nil
}

func (w *world) restart(ctx context.Context, d *daemon, span time.Duration) error {
	if err := w.stop(d); err != nil {
		return err
	}
	_ = runner.Sleep(ctx, span)
	return w.again(ctx, d)
}

func (w *world) restartSeries(ctx context.Context, d *daemon, _ time.Duration) error {
	for range 3 {
		if err := w.restart(ctx, d, 0); err != nil {
			return err
		}
	}
	return nil
}

// stopTwice signals a process again while it stops.
func (w *world) stopTwice(ctx context.Context, d *daemon, span time.Duration) error {
	d.mayEnd.Store(true)
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP} {
		if err := d.signal(s); err != nil {
			return err
		}
		_ = runner.Sleep(ctx, shortest)
	}
	if err := d.signal(syscall.SIGTERM); err != nil {
		return err
	}
	return w.ended(ctx, d, span)
}

// ended waits for the end of a stopping process and starts it again.
func (w *world) ended(ctx context.Context, d *daemon, span time.Duration) error {
	w.awaitEnd(d, span)
	_ = runner.Sleep(ctx, span)
	return w.again(ctx, d)
}

// reload changes the seeds in a settings file while the process runs.
func (w *world) reload(ctx context.Context, d *daemon, span time.Duration) error {
	seeds := w.seeds()
	slices.Reverse(seeds)
	if _, err := w.site.WriteSettings(d.Daemon, false, seeds[:1+len(seeds)/2]...); err != nil {
		return err
	}
	for range 3 {
		if err := d.signal(syscall.SIGHUP); err != nil {
			return err
		}
	}
	_ = runner.Sleep(ctx, span)
	_, err := w.site.WriteSettings(d.Daemon, false, w.seeds()...)
	return err
}

func (w *world) killAndStart(ctx context.Context, d *daemon, span time.Duration) error {
	d.kill()
	_ = runner.Sleep(ctx, span)
	return w.again(ctx, d)
}

func (w *world) pause(ctx context.Context, d *daemon, span time.Duration) error {
	if err := d.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	_ = runner.Sleep(ctx, span)
	return d.signal(syscall.SIGCONT)
}

// stopPaused pauses a process while it stops.
func (w *world) stopPaused(ctx context.Context, d *daemon, span time.Duration) error {
	d.mayEnd.Store(true)
	if err := d.signal(syscall.SIGTERM); err != nil {
		return err
	}
	if err := w.pause(ctx, d, span); err != nil {
		return err
	}
	return w.ended(ctx, d, span)
}

// loseDisk ends a control instance and removes its state. The next one is lost only after this one has a copy again.
func (w *world) loseDisk(ctx context.Context, d *daemon, span time.Duration) error {
	if !w.disk.TryLock() {
		w.record.count(func(c *Counts) { c.Skipped++ })
		return nil
	}
	before := admissions(d.process)
	d.kill()
	if err := os.RemoveAll(w.site.DataDir(d.Daemon)); err != nil {
		return err
	}
	_ = runner.Sleep(ctx, span)
	if err := w.again(ctx, d); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if until(ctx, d.Name()+" has a copy", func() bool { return admissions(d.process) >= before+logGroups }) == nil {
		w.disk.Unlock()
	}
	return nil
}

// logGroups is the number of replicated logs; an instance with an empty disk joins each.
const logGroups = 2

// admissions returns how often a control instance has joined a log.
func admissions(p *launcher.Process) int {
	data, err := os.ReadFile(p.Log)
	if err != nil {
		return 0
	}
	return strings.Count(string(data), `"Event":"Admitted"`)
}

// tearLog ends a control instance in the middle of a write: bytes that were never synced follow its log.
func (w *world) tearLog(ctx context.Context, d *daemon, span time.Duration) error {
	d.kill()
	logs, err := filepath.Glob(filepath.Join(w.site.DataDir(d.Daemon), "*", "log"))
	if err != nil {
		return err
	}
	for _, path := range logs {
		file, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
		if err != nil {
			return err
		}
		_, err = file.Write([]byte{0, 0, 0, 200, 1, 2, 3, 4, 5, 6, 7})
		_ = file.Close()
		if err != nil {
			return err
		}
	}
	_ = runner.Sleep(ctx, span)
	return w.again(ctx, d)
}

// blockFolder starts a control instance whose folder cannot be opened for a while.
func (w *world) blockFolder(ctx context.Context, d *daemon, span time.Duration) error {
	folder := w.site.DataDir(d.Daemon)
	d.kill()
	if err := os.Rename(folder, folder+".away"); err != nil {
		return err
	}
	if err := os.WriteFile(folder, nil, 0o600); err != nil {
		return err
	}
	if err := w.launch(d, false); err != nil {
		return err
	}
	_ = runner.Sleep(ctx, span)
	d.kill()
	if err := os.Remove(folder); err != nil {
		return err
	}
	if err := os.Rename(folder+".away", folder); err != nil {
		return err
	}
	return w.again(ctx, d)
}

// losePower kills all processes at once and starts them again.
func (w *world) losePower(ctx context.Context) error {
	defer w.record.begin("power", false)()
	for _, d := range w.daemons {
		d.mayEnd.Store(true)
		if err := d.signal(syscall.SIGKILL); err != nil {
			return err
		}
	}
	for _, d := range w.daemons {
		d.kill()
	}
	_ = runner.Sleep(ctx, time.Second)
	for _, d := range w.daemons {
		if err := w.launch(d, false); err != nil {
			return err
		}
	}
	return nil
}
