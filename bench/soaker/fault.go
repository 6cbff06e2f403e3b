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

	"cherviltide.example/cherviltide/bench/faultproxy"
	"cherviltide.example/cherviltide/bench/launcher"
	"cherviltide.example/cherviltide/bench/relaypath"
	"cherviltide.example/cherviltide/runner"
)

// faultKind describes a kind of fault and injects it.
type faultKind struct {
	// planned is true for planned work, which must not break open flows.
	planned bool
	// role is the role of the daemons that the fault affects; empty means all roles.
	role   string
	inject func(r *soakRun, ctx context.Context, d *daemon, duration time.Duration) error
	// injectLink is set instead of inject for faults of the connections to a control instance.
	injectLink func(l *link, ctx context.Context, duration time.Duration)
}

// faultKinds has the kinds of faults by their names in schedules.
var faultKinds = map[string]faultKind{
	"restart":         {planned: true, inject: (*soakRun).restart},
	"restartSeries":   {planned: true, inject: (*soakRun).restartSeries},
	"stopTwice":       {planned: true, inject: (*soakRun).stopTwice},
	"reload":          {planned: true, inject: (*soakRun).reload},
	"drain":           {planned: true, role: relaypath.RoleAgent, inject: (*soakRun).drain},
	"drainAndRestart": {planned: true, role: relaypath.RoleAgent, inject: (*soakRun).drainAndRestart},
	"evacuate":        {planned: true, role: relaypath.RoleAgent, inject: (*soakRun).evacuate},
	"kill":            {inject: (*soakRun).killAndStart},
	"pause":           {inject: (*soakRun).pause},
	"stopPaused":      {inject: (*soakRun).stopPaused},
	"crashTarget":     {role: relaypath.RoleAgent, inject: (*soakRun).crashTarget},
	"muteTarget":      {role: relaypath.RoleAgent, inject: (*soakRun).hangTarget},
	"loseDisk":        {role: relaypath.RoleControl, inject: (*soakRun).loseDisk},
	"tearLog":         {role: relaypath.RoleControl, inject: (*soakRun).tearLog},
	"blockFolder":     {role: relaypath.RoleControl, inject: (*soakRun).blockDataDir},
	"delayLink":       {role: relaypath.RoleControl, injectLink: withConditions(faultproxy.Conditions{Delay: 150 * time.Millisecond})},
	"cutLink":         {role: relaypath.RoleControl, injectLink: withConditions(faultproxy.Conditions{BlockToTarget: true, BlockToCaller: true})},
	"cutLinkTo":       {role: relaypath.RoleControl, injectLink: withConditions(faultproxy.Conditions{BlockToTarget: true})},
	"cutLinkFrom":     {role: relaypath.RoleControl, injectLink: withConditions(faultproxy.Conditions{BlockToCaller: true})},
	"resetLink":       {role: relaypath.RoleControl, injectLink: func(l *link, _ context.Context, _ time.Duration) { l.proxy.ResetConnections() }},
	"silenceLink":     {role: relaypath.RoleControl, injectLink: func(l *link, _ context.Context, _ time.Duration) { l.proxy.Blackhole() }},
}

// withConditions returns a fault that changes the conditions of a link for its duration.
func withConditions(conditions faultproxy.Conditions) func(*link, context.Context, time.Duration) {
	return func(l *link, ctx context.Context, duration time.Duration) {
		l.proxy.SetConditions(conditions)
		_ = runner.Sleep(ctx, duration)
		l.proxy.SetConditions(faultproxy.Conditions{})
	}
}

// injectFaults injects the faults of a schedule at their times, and returns after all have ended.
func (r *soakRun) injectFaults(ctx context.Context, schedule Schedule) error {
	ends := make(chan runner.Exit, len(schedule.Faults))
	daemonsByName := map[string]*daemon{}
	for _, d := range r.daemons {
		daemonsByName[d.Name()] = d
	}
	start := time.Now()
	for _, fault := range schedule.Faults {
		_ = runner.Sleep(ctx, time.Until(start.Add(fault.At.Duration())))
		runner.Start(ctx, fault.Kind+" of "+fault.Daemon, ends, func(ctx context.Context) error { return r.injectFault(ctx, fault, daemonsByName[fault.Daemon]) })
	}
	_ = runner.Sleep(ctx, time.Until(start.Add(schedule.Duration.Duration())))
	var firstErr error
	for range schedule.Faults {
		if end := <-ends; end.Err != nil && firstErr == nil {
			firstErr = fmt.Errorf("%s: %w", end.Name, end.Err)
		}
	}
	if firstErr == nil && schedule.Power {
		firstErr = r.losePower(ctx)
	}
	return firstErr
}

// injectFault injects one fault. It skips the fault when another one is active on the same process or link.
func (r *soakRun) injectFault(ctx context.Context, fault Fault, d *daemon) error {
	kind := faultKinds[fault.Kind]
	if d == nil || kind.inject == nil && kind.injectLink == nil {
		return errors.Errorf("unknown fault %q of daemon %q", fault.Kind, fault.Daemon)
	}
	mu, subject := &d.faultMu, d.Name()
	if kind.injectLink != nil {
		mu, subject = &r.links[d.Machine].faultMu, r.links[d.Machine].name
	}
	if !mu.TryLock() {
		r.record.updateCounts(func(c *Counts) { c.Skipped++ })
		return nil
	}
	defer mu.Unlock()
	defer r.record.beginFault(subject, kind.planned)()
	if kind.injectLink != nil {
		kind.injectLink(r.links[d.Machine], ctx, fault.For.Duration())
		return nil
	}
	return kind.inject(r, ctx, d, fault.For.Duration())
}

// startAgain starts a process that has ended, and waits a bounded time until it is ready.
func (r *soakRun) startAgain(ctx context.Context, d *daemon) error {
	r.record.updateCounts(func(c *Counts) { c.Restarts++ })
	if err := r.launch(d, false); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	// Without a majority, or with a leaving target, a process does not become ready. The checks at the end find one that
	// never does.
	_ = waitUntil(ctx, d.Name()+" is ready", func() bool { return r.isReady(ctx, d) })
	return nil
}

func (r *soakRun) restart(ctx context.Context, d *daemon, duration time.Duration) error {
	if err := r.stop(d); err != nil {
		return err
	}
	_ = runner.Sleep(ctx, duration)
	return r.startAgain(ctx, d)
}

func (r *soakRun) restartSeries(ctx context.Context, d *daemon, _ time.Duration) error {
	for range 3 {
		if err := r.restart(ctx, d, 0); err != nil {
			return err
		}
	}
	return nil
}

// stopTwice sends SIGHUP and a second SIGTERM to a process while it stops.
func (r *soakRun) stopTwice(ctx context.Context, d *daemon, duration time.Duration) error {
	d.endExpected.Store(true)
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP} {
		if err := d.signal(s); err != nil {
			return err
		}
		_ = runner.Sleep(ctx, minFaultDuration)
	}
	if err := d.signal(syscall.SIGTERM); err != nil {
		return err
	}
	return r.awaitEndAndRestart(ctx, d, duration)
}

// awaitEndAndRestart waits for the end of a stopping process and starts it again.
func (r *soakRun) awaitEndAndRestart(ctx context.Context, d *daemon, duration time.Duration) error {
	r.awaitEnd(d, duration)
	_ = runner.Sleep(ctx, duration)
	return r.startAgain(ctx, d)
}

// reload changes the seeds in the settings file of a running process, signals it to reload the file, and later restores
// the file.
func (r *soakRun) reload(ctx context.Context, d *daemon, duration time.Duration) error {
	seeds := r.seeds()
	slices.Reverse(seeds)
	if _, err := r.site.WriteSettings(d.Daemon, false, seeds[:1+len(seeds)/2]...); err != nil {
		return err
	}
	for range 3 {
		if err := d.signal(syscall.SIGHUP); err != nil {
			return err
		}
	}
	_ = runner.Sleep(ctx, duration)
	_, err := r.site.WriteSettings(d.Daemon, false, r.seeds()...)
	return err
}

func (r *soakRun) killAndStart(ctx context.Context, d *daemon, duration time.Duration) error {
	d.kill()
	_ = runner.Sleep(ctx, duration)
	return r.startAgain(ctx, d)
}

func (r *soakRun) pause(ctx context.Context, d *daemon, duration time.Duration) error {
	if err := d.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	_ = runner.Sleep(ctx, duration)
	return d.signal(syscall.SIGCONT)
}

// stopPaused freezes a process for a duration while it stops.
func (r *soakRun) stopPaused(ctx context.Context, d *daemon, duration time.Duration) error {
	d.endExpected.Store(true)
	if err := d.signal(syscall.SIGTERM); err != nil {
		return err
	}
	if err := r.pause(ctx, d, duration); err != nil {
		return err
	}
	return r.awaitEndAndRestart(ctx, d, duration)
}

// loseDisk kills a control instance, removes its state and starts it again. Another disk is lost only after this instance
// has a copy of the logs again.
func (r *soakRun) loseDisk(ctx context.Context, d *daemon, duration time.Duration) error {
	if !r.diskLoss.TryLock() {
		r.record.updateCounts(func(c *Counts) { c.Skipped++ })
		return nil
	}
	before := countJoins(d.process)
	d.kill()
	if err := os.RemoveAll(r.site.DataDir(d.Daemon)); err != nil {
		return err
	}
	_ = runner.Sleep(ctx, duration)
	if err := r.startAgain(ctx, d); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if waitUntil(ctx, d.Name()+" has a copy of the logs", func() bool { return countJoins(d.process) >= before+logCount }) == nil {
		r.diskLoss.Unlock()
	}
	return nil
}

// logCount is the number of replicated logs. An instance with an empty disk joins each of them.
const logCount = 2

// countJoins returns how often a control instance has joined a replicated log, from its log file.
func countJoins(p *launcher.Process) int {
	data, err := os.ReadFile(p.Log)
	if err != nil {
		return 0
	}
	return strings.Count(string(data), `"Event":"Admitted"`)
}

// tearLog simulates a torn write: it kills a control instance and appends bytes of an incomplete entry to its logs.
func (r *soakRun) tearLog(ctx context.Context, d *daemon, duration time.Duration) error {
	d.kill()
	logs, err := filepath.Glob(filepath.Join(r.site.DataDir(d.Daemon), "*", "log"))
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
	_ = runner.Sleep(ctx, duration)
	return r.startAgain(ctx, d)
}

// blockDataDir starts a control instance while a file is in the place of its data directory, and then restores the
// directory.
func (r *soakRun) blockDataDir(ctx context.Context, d *daemon, duration time.Duration) error {
	dataDir := r.site.DataDir(d.Daemon)
	d.kill()
	if err := os.Rename(dataDir, dataDir+".away"); err != nil {
		return err
	}
	if err := os.WriteFile(dataDir, nil, 0o600); err != nil {
		return err
	}
	if err := r.launch(d, false); err != nil {
		return err
	}
	_ = runner.Sleep(ctx, duration)
	d.kill()
	if err := os.Remove(dataDir); err != nil {
		return err
	}
	if err := os.Rename(dataDir+".away", dataDir); err != nil {
		return err
	}
	return r.startAgain(ctx, d)
}

// losePower kills all processes at the same time and starts them again.
func (r *soakRun) losePower(ctx context.Context) error {
	defer r.record.beginFault("power", false)()
	for _, d := range r.daemons {
		d.endExpected.Store(true)
		if err := d.signal(syscall.SIGKILL); err != nil {
			return err
		}
	}
	for _, d := range r.daemons {
		d.kill()
	}
	_ = runner.Sleep(ctx, time.Second)
	for _, d := range r.daemons {
		if err := r.launch(d, false); err != nil {
			return err
		}
	}
	return nil
}
