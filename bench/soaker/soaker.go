// Package soaker runs the programs of the platform as separate processes on one machine, disturbs them from outside by a
// seed, and checks while it runs what callers, back ends and operators were promised.
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
	// Seed decides the faults and their times, and what callers and operators do.
	Seed uint64
	// Duration is the time in which faults come in a drawn schedule.
	Duration time.Duration
	// Binary is the path of cherviltide.
	Binary string
	// Folder receives settings, logs and data. It stays after a run with violations.
	Folder string
	// Controls, Entries and Agents are the numbers of processes. Agents are shared between two services.
	Controls, Entries, Agents int
	// Callers is the number of flows that are open at once.
	Callers int
}

// Check returns an error for sizes that do not fit the addresses of a run.
func (c Config) Check() error {
	for _, x := range []struct {
		name               string
		value, least, most int
	}{
		{"controls", c.Controls, 1, callersMachine - firstControl},
		{"entries", c.Entries, 1, firstAgent - firstEntry},
		{"agents", c.Agents, len(serviceNames), lastMachine - firstAgent},
		{"callers", c.Callers, 1, maxTasks / 2},
	} {
		if x.value < x.least || x.value > x.most {
			return errors.Errorf("%s: found %d, expected %d to %d", x.name, x.value, x.least, x.most)
		}
	}
	return nil
}

// Report is the result of one run.
type Report struct {
	Schedule
	Counts     Counts
	Violations []Violation
	// Folder has the logs of a run with violations.
	Folder string `json:",omitempty"`
}

// Times of a run. The bounds are those of the platform's sites.
const (
	// contact is how long after a disturbance a promise with a bound on time does not hold yet.
	contact = 5 * time.Second
	// propagation is how long an older configuration may still decide about new flows.
	propagation = 4 * time.Second
	// acknowledgement is the longest time until a valid configuration is acknowledged by a calm system.
	acknowledgement = 6 * time.Second
	// recovery is the longest time after the last fault until new flows are served again.
	recovery = 15 * time.Second
	// startLimit bounds the start of the system and of each process.
	startLimit = 20 * time.Second
	// openLimit is more than the three first packets of a flow take.
	openLimit = 2 * time.Second
	pollPause = 50 * time.Millisecond
)

// world is one run.
type world struct {
	config   Config
	site     *relaypath.Site
	daemons  []*daemon
	links    map[int]*link
	backends *backends
	callers  *relaypath.Callers
	operator *operator
	record   *record
	// disk is held while a control instance has no copy of the logs.
	disk    sync.Mutex
	ends    chan runner.Exit
	started int
}

// Run plays a schedule. An error means that the run itself failed and has no result.
func Run(ctx context.Context, config Config, schedule Schedule) (Report, error) {
	if err := config.Check(); err != nil {
		return Report{}, err
	}
	w := newWorld(config)
	defer w.close()
	background, stop := context.WithCancel(ctx)
	defer stop()
	if err := w.start(background); err != nil {
		return Report{}, errors.Annotatef(err, "seed %d, logs are in %s", config.Seed, config.Folder)
	}
	w.load(background)
	err := w.play(ctx, schedule)
	w.settle(ctx)
	stop()
	if ended := w.wait(); err == nil {
		err = ended
	}
	report := Report{Schedule: schedule, Counts: w.record.counts(), Violations: w.record.violations()}
	if len(report.Violations) > 0 {
		report.Folder = config.Folder
	}
	return report, err
}

// loopbackNet returns the network of a run, so that runs at the same time do not meet.
func loopbackNet() [2]byte {
	pid := os.Getpid()
	return [2]byte{byte(100 + pid/250%100), byte(1 + pid%250)}
}

func newWorld(config Config) *world {
	w := &world{
		config: config, daemons: newDaemons(config), links: map[int]*link{}, record: newRecord(),
		site: &relaypath.Site{Net: loopbackNet(), Folder: config.Folder, Binary: config.Binary, BehindProxies: true},
		// Each goroutine of a run reports its end once.
		ends: make(chan runner.Exit, maxTasks),
	}
	w.backends = newBackends(w)
	w.operator = newOperator(w)
	return w
}

// maxTasks bounds the goroutines of a run.
const maxTasks = 10_000

// run starts a goroutine of the run.
func (w *world) run(ctx context.Context, name string, f func(context.Context) error) {
	w.started++
	runner.Start(ctx, name, w.ends, f)
}

// wait returns after all goroutines have ended, with the first error.
func (w *world) wait() error {
	var first error
	for ; w.started > 0; w.started-- {
		if end := <-w.ends; end.Err != nil && first == nil {
			first = errors.Annotate(end.Err, end.Name)
		}
	}
	return first
}

// start starts all processes and targets and gives the system its first configuration.
func (w *world) start(ctx context.Context) error {
	for _, d := range ofRole(w.daemons, relaypath.RoleControl) {
		l, err := newLink(w.site, d)
		if err != nil {
			return err
		}
		w.links[d.Machine] = l
		w.run(ctx, "link", l.forwarder.Run)
	}
	for _, d := range w.daemons {
		if err := w.launch(d, true); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for _, d := range ofRole(w.daemons, relaypath.RoleAgent) {
		if err := until(ctx, d.Name()+" answers", func() bool { return w.site.Readiness(ctx, d.Machine) != 0 }); err != nil {
			return err
		}
		if err := w.backends.begin(d); err != nil {
			return err
		}
	}
	if err := until(ctx, "first configuration", func() bool { return w.operator.put(ctx) }); err != nil {
		return err
	}
	var addresses []netip.AddrPort
	for _, d := range ofRole(w.daemons, relaypath.RoleEntry) {
		if err := until(ctx, d.Name()+" is ready", func() bool { return w.ready(ctx, d) }); err != nil {
			return err
		}
		addresses = append(addresses, w.site.Address(d.Machine, relaypath.TrafficPort))
	}
	var err error
	w.callers, err = relaypath.StartCallers(w.site.Address(callersMachine, relaypath.TrafficPort), addresses)
	return err
}

// load starts callers and operators, who act until ctx ends.
func (w *world) load(ctx context.Context) {
	for i := range w.config.Callers {
		random := rand.New(rand.NewPCG(w.config.Seed, uint64(i)))
		w.run(ctx, "caller", func(ctx context.Context) error { w.call(ctx, random); return nil })
	}
	for i := range operators {
		random := rand.New(rand.NewPCG(w.config.Seed, uint64(maxTasks+i)))
		w.run(ctx, "operator", func(ctx context.Context) error { return w.operator.edit(ctx, random) })
		w.run(ctx, "reader", func(ctx context.Context) error { return w.operator.read(ctx, random) })
	}
}

// settle waits after the last fault and checks that the system serves again and has lost nothing.
func (w *world) settle(run context.Context) {
	ctx, cancel := context.WithTimeout(run, recovery)
	defer cancel()
	if err := until(ctx, "all daemons are ready", func() bool { return w.allReady(ctx) }); err != nil {
		w.record.violate("recover", err.Error())
	}
	reading, cancelReading := context.WithTimeout(run, recovery)
	defer cancelReading()
	w.operator.final(reading)
	const tries = 40
	served := 0
	asking, cancelAsking := context.WithTimeout(run, recovery)
	defer cancelAsking()
	for i := range tries {
		if w.probe(asking, i) {
			served++
		}
	}
	if 4*served < tries {
		w.record.violate("recover", fmt.Sprintf("%d of %d flows were served", served, tries))
	}
	w.record.count(func(c *Counts) { c.ServedAtEnd, c.AskedAtEnd = served, tries })
}

// close ends what the run has started.
func (w *world) close() {
	for _, d := range w.daemons {
		d.kill()
	}
	w.backends.stop()
	if w.callers != nil {
		w.callers.Stop()
	}
}

// until waits for a condition.
func until(ctx context.Context, what string, condition func() bool) error {
	for !condition() {
		if !runner.Sleep(ctx, pollPause) {
			return errors.Errorf("not in time: %s", what)
		}
	}
	return nil
}
