// Package soaker runs the programs of the platform as separate processes on one machine, injects faults by a seed, and
// checks meanwhile that the guarantees to callers, back ends and operators hold.
package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"

	"cherviltide.example/cherviltide/bench/relaypath"
	"cherviltide.example/cherviltide/runner"
)

// Config describes one run.
type Config struct {
	// Seed determines the faults and their times, and what callers and operators do.
	Seed uint64
	// Duration is the time in which a generated schedule injects faults.
	Duration time.Duration
	// Binary is the path of cherviltide.
	Binary string
	// Dir is the directory for settings, logs and data. It is kept after a run with violations.
	Dir string
	// Controls, Entries and Agents are the numbers of processes. The agents are divided among the services.
	Controls, Entries, Agents int
	// Callers is the number of concurrent callers, each with one flow at a time.
	Callers int
}

// Check returns an error if a size does not fit the address ranges of a run.
func (c Config) Check() error {
	for _, size := range []struct {
		name                    string
		value, minimum, maximum int
	}{
		{"controls", c.Controls, 1, callersMachine - firstControl},
		{"entries", c.Entries, 1, firstAgent - firstEntry},
		{"agents", c.Agents, len(serviceNames), lastMachine - firstAgent},
		{"callers", c.Callers, 1, maxTasks / 2},
	} {
		if size.value < size.minimum || size.value > size.maximum {
			return errors.Errorf("%s: found %d, expected %d to %d", size.name, size.value, size.minimum, size.maximum)
		}
	}
	return nil
}

// Report is the result of one run.
type Report struct {
	Schedule
	Counts     Counts
	Violations []Violation
	// Folder is the directory with the logs of a run with violations.
	Folder string `json:",omitempty"`
}

// Time limits of a run, as the platform's sites set them.
const (
	// settlingTime is how long after a fault the guarantees with a time limit do not hold yet.
	settlingTime = 5 * time.Second
	// propagationTime is how long an older configuration may still decide about new flows.
	propagationTime = 4 * time.Second
	// acknowledgementLimit bounds the time until a valid configuration is acknowledged while no fault is active.
	acknowledgementLimit = 6 * time.Second
	// recoveryLimit bounds the time after the last fault until new flows are served again.
	recoveryLimit = 15 * time.Second
	// startTimeout bounds the start of the system and of each process.
	startTimeout = 20 * time.Second
	// openTimeout is longer than the three opening packets of a flow take.
	openTimeout  = 2 * time.Second
	pollInterval = 50 * time.Millisecond
)

// soakRun is one run: the processes, targets, callers and operators, and the record of what they observe.
type soakRun struct {
	config   Config
	site     *relaypath.Site
	daemons  []*daemon
	links    map[int]*link
	backends *backends
	callers  *relaypath.Callers
	operator *operator
	record   *record
	// diskLoss is held while a control instance has no copy of the replicated logs.
	diskLoss sync.Mutex
	// zones has the zones that are evacuated.
	zones        zoneLocks
	taskExits    chan runner.Exit
	startedTasks int
}

// Run starts the system, injects the faults of a schedule and returns the report. An error means that the run itself
// failed and has no result.
func Run(ctx context.Context, config Config, schedule Schedule) (Report, error) {
	if err := config.Check(); err != nil {
		return Report{}, err
	}
	r := newRun(config)
	defer r.close()
	taskCtx, stop := context.WithCancel(ctx)
	defer stop()
	if err := r.start(taskCtx); err != nil {
		return Report{}, errors.Annotatef(err, "seed %d, logs are in %s", config.Seed, config.Dir)
	}
	r.startLoad(taskCtx)
	err := r.injectFaults(ctx, schedule)
	r.checkRecovery(ctx)
	stop()
	if taskErr := r.waitForTasks(); err == nil {
		err = taskErr
	}
	report := Report{Schedule: schedule, Counts: r.record.counts(), Violations: r.record.violations()}
	if len(report.Violations) > 0 {
		report.Folder = config.Dir
	}
	return report, err
}

// loopbackNet derives the loopback network from the process ID, so that concurrent runs use different addresses.
func loopbackNet() [2]byte {
	pid := os.Getpid()
	return [2]byte{byte(100 + pid/250%100), byte(1 + pid%250)}
}

func newRun(config Config) *soakRun {
	r := &soakRun{
		config: config, daemons: newDaemons(config), links: map[int]*link{}, record: newRecord(),
		site: &relaypath.Site{Net: loopbackNet(), Dir: config.Dir, Binary: config.Binary, BehindProxies: true},
		// Each goroutine of a run sends one exit, so none blocks.
		taskExits: make(chan runner.Exit, maxTasks),
	}
	r.site.FailureDomains = zonesOf(r.daemons)
	r.backends = newBackends(r)
	r.operator = newOperator(r)
	return r
}

// maxTasks bounds the goroutines of a run.
const maxTasks = 10_000

// startTask starts a goroutine of the run.
func (r *soakRun) startTask(ctx context.Context, name string, f func(context.Context) error) {
	r.startedTasks++
	runner.Start(ctx, name, r.taskExits, f)
}

// waitForTasks waits until all goroutines have ended, and returns the first error.
func (r *soakRun) waitForTasks() error {
	var first error
	for ; r.startedTasks > 0; r.startedTasks-- {
		if end := <-r.taskExits; end.Err != nil && first == nil {
			first = errors.Annotate(end.Err, end.Name)
		}
	}
	return first
}

// start starts all processes and targets, and sends the first configuration.
func (r *soakRun) start(ctx context.Context) error {
	for _, d := range withRole(r.daemons, relaypath.RoleControl) {
		link, err := newLink(r.site, d)
		if err != nil {
			return err
		}
		r.links[d.Machine] = link
		r.startTask(ctx, "link", link.proxy.Run)
	}
	for _, d := range r.daemons {
		if err := r.launch(d, true); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, d := range withRole(r.daemons, relaypath.RoleAgent) {
		if err := waitUntil(ctx, d.Name()+" responds", func() bool { return r.site.ReadinessStatus(ctx, d.Machine) != 0 }); err != nil {
			return err
		}
		if err := r.backends.startTarget(d); err != nil {
			return err
		}
	}
	if err := waitUntil(ctx, "the first configuration is acknowledged", func() bool { return r.operator.putNewVersion(ctx) }); err != nil {
		return err
	}
	var entries []netip.AddrPort
	for _, d := range withRole(r.daemons, relaypath.RoleEntry) {
		if err := waitUntil(ctx, d.Name()+" is ready", func() bool { return r.isReady(ctx, d) }); err != nil {
			return err
		}
		entries = append(entries, r.site.Address(d.Machine, relaypath.TrafficPort))
	}
	var err error
	r.callers, err = relaypath.StartCallers(r.site.Address(callersMachine, relaypath.TrafficPort), entries)
	return err
}

// startLoad starts callers and operators, which are active until ctx ends.
func (r *soakRun) startLoad(ctx context.Context) {
	for i := range r.config.Callers {
		random := rand.New(rand.NewPCG(r.config.Seed, uint64(i)))
		r.startTask(ctx, "caller", func(ctx context.Context) error { r.runCaller(ctx, random); return nil })
	}
	for i := range operatorCount {
		random := rand.New(rand.NewPCG(r.config.Seed, uint64(maxTasks+i)))
		r.startTask(ctx, "operator", func(ctx context.Context) error { return r.operator.sendEdits(ctx, random) })
		r.startTask(ctx, "reader", func(ctx context.Context) error { return r.operator.readRepeatedly(ctx, random) })
	}
}

// checkRecovery checks after the last fault that all processes become ready, that no acknowledged configuration is lost,
// and that at least a quarter of the probed flows are served.
func (r *soakRun) checkRecovery(parent context.Context) {
	ctx, cancel := context.WithTimeout(parent, recoveryLimit)
	defer cancel()
	if err := waitUntil(ctx, "all daemons are ready", func() bool { return r.allReady(ctx) }); err != nil {
		r.record.addViolation("recover", err.Error())
	}
	finalCtx, cancelFinal := context.WithTimeout(parent, recoveryLimit)
	defer cancelFinal()
	r.operator.checkFinalState(finalCtx)
	const probes = 40
	served := 0
	probeCtx, cancelProbe := context.WithTimeout(parent, recoveryLimit)
	defer cancelProbe()
	for i := range probes {
		if r.probe(probeCtx, i) {
			served++
		}
	}
	if 4*served < probes {
		r.record.addViolation("recover", fmt.Sprintf("%d of %d flows were served", served, probes))
	}
	r.record.updateCounts(func(c *Counts) { c.ServedAtEnd, c.AskedAtEnd = served, probes })
}

// close ends the processes, targets and callers of the run.
func (r *soakRun) close() {
	for _, d := range r.daemons {
		d.kill()
	}
	r.backends.stop()
	if r.callers != nil {
		r.callers.Stop()
	}
}

// waitUntil polls until a condition holds.
func waitUntil(ctx context.Context, description string, condition func() bool) error {
	for !condition() {
		if !runner.Sleep(ctx, pollInterval) {
			return errors.Errorf("timed out waiting until %s", description)
		}
	}
	return nil
}
