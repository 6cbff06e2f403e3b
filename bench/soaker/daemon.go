package soaker

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"cherviltide.example/cherviltide/bench/faultproxy"
	"cherviltide.example/cherviltide/bench/launcher"
	"cherviltide.example/cherviltide/bench/relaypath"
)

// Numbers of the machines of a run: the first control instance, the callers, the first entry and the first agent.
const (
	firstControl, callersMachine, firstEntry, firstAgent, lastMachine = 1, 10, 20, 40, 255
)

// daemon is a process of the system. A fault holds faultMu while it is active.
type daemon struct {
	relaypath.Daemon
	faultMu sync.Mutex
	process *launcher.Process
	// endExpected is true once the run itself ends the process.
	endExpected *atomic.Bool
}

func newDaemon(role string, machine int, service string) *daemon {
	return &daemon{Daemon: relaypath.Daemon{Role: role, Machine: machine, Service: service}, endExpected: &atomic.Bool{}}
}

// newDaemons returns the daemons of a run, which are not started yet.
func newDaemons(config Config) []*daemon {
	var result []*daemon
	for i := range config.Controls {
		result = append(result, newDaemon(relaypath.RoleControl, firstControl+i, ""))
	}
	for i := range config.Entries {
		result = append(result, newDaemon(relaypath.RoleEntry, firstEntry+i, ""))
	}
	for i := range config.Agents {
		result = append(result, newDaemon(relaypath.RoleAgent, firstAgent+i, serviceNames[i%len(serviceNames)]))
	}
	return result
}

// withRole returns the daemons of a role.
func withRole(daemons []*daemon, role string) []*daemon {
	var result []*daemon
	for _, d := range daemons {
		if d.Role == role {
			result = append(result, d)
		}
	}
	return result
}

// seeds returns the machines of all control instances.
func (r *soakRun) seeds() []int {
	var result []int
	for _, d := range withRole(r.daemons, relaypath.RoleControl) {
		result = append(result, d.Machine)
	}
	return result
}

// launch starts the process of a daemon. An exit that the run has not caused is recorded as a violation.
func (r *soakRun) launch(d *daemon, bootstrap bool) error {
	p, err := r.site.Start(d.Daemon, bootstrap, r.seeds()...)
	if err != nil {
		return err
	}
	endExpected := &atomic.Bool{}
	d.process, d.endExpected = p, endExpected
	go func() {
		// Wait keeps the exit for other callers, so kill and awaitEnd see it too.
		if err := p.Wait(); !endExpected.Load() {
			r.record.addViolation("run", fmt.Sprintf("%s ended unexpectedly: %v", d.Name(), err))
		}
	}()
	return nil
}

// kill kills the process and waits for its end.
func (d *daemon) kill() {
	if d.process == nil {
		return
	}
	d.endExpected.Store(true)
	d.process.Kill()
}

// signal sends a signal to the process. It does nothing when the process has ended.
func (d *daemon) signal(s os.Signal) error {
	err := d.process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// stop sends SIGTERM to the process, and kills it if it does not end within its grace period.
func (r *soakRun) stop(d *daemon) error {
	d.endExpected.Store(true)
	if err := d.signal(syscall.SIGTERM); err != nil {
		return err
	}
	r.awaitEnd(d, 0)
	return nil
}

// awaitEnd waits for the end of a stopping process, and kills it after its grace period and the extra time. An exit with
// an error or a late one is recorded as a violation.
func (r *soakRun) awaitEnd(d *daemon, extra time.Duration) {
	ended := make(chan error, 1)
	go func(p *launcher.Process) { ended <- p.Wait() }(d.process)
	timer := time.NewTimer(relaypath.GraceS*time.Second + extra)
	defer timer.Stop()
	select {
	case err := <-ended:
		if err != nil {
			r.record.addViolation("drain", fmt.Sprintf("%s ended with %v", d.Name(), err))
		}
	case <-timer.C:
		r.record.addViolation("drain", fmt.Sprintf("%s did not end within its grace period of %d s", d.Name(), relaypath.GraceS))
		d.kill()
	}
}

// isReady reports whether a daemon is ready. A control instance is ready when it returns the confirmed configuration.
func (r *soakRun) isReady(ctx context.Context, d *daemon) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if d.Role == relaypath.RoleControl {
		status, _, err := r.site.GetConfig(ctx, d.Machine)
		return err == nil && status == http.StatusOK
	}
	return r.site.ReadinessStatus(ctx, d.Machine) == http.StatusOK
}

func (r *soakRun) allReady(ctx context.Context) bool {
	for _, d := range r.daemons {
		if !r.isReady(ctx, d) {
			return false
		}
	}
	return true
}

// link is the fault-injecting proxy in front of a control instance. A fault holds faultMu while it is active.
type link struct {
	faultMu sync.Mutex
	name    string
	proxy   *faultproxy.Proxy
}

func newLink(site *relaypath.Site, d *daemon) (*link, error) {
	proxy, err := faultproxy.ListenAt(site.ControlAddress(d.Machine).String(), site.ListenAddress(d.Machine).String())
	return &link{name: "link of " + d.Name(), proxy: proxy}, err
}
