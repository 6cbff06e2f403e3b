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

	"cherviltide.example/cherviltide/bench/launcher"
	"cherviltide.example/cherviltide/bench/relaypath"
	"cherviltide.example/cherviltide/bench/swallower"
)

// Machines of a run.
const (
	firstControl, callersMachine, firstEntry, firstAgent, lastMachine = 1, 10, 20, 40, 255
)

// daemon is a process of the system. A fault holds it while it lasts.
type daemon struct {
	relaypath.Daemon
	fault   sync.Mutex
	process *launcher.Process
	// mayEnd is true while an end of the process is the work of the run.
	mayEnd *atomic.Bool
}

func newDaemon(role string, machine int, service string) *daemon {
	return &daemon{Daemon: relaypath.Daemon{Role: role, Machine: machine, Service: service}, mayEnd: &atomic.Bool{}}
}

// newDaemons returns the daemons of a run, which have not started.
func newDaemons(config Config) []*daemon {
	var list []*daemon
	for i := range config.Controls {
		list = append(list, newDaemon(relaypath.RoleControl, firstControl+i, ""))
	}
	for i := range config.Entries {
		list = append(list, newDaemon(relaypath.RoleEntry, firstEntry+i, ""))
	}
	for i := range config.Agents {
		list = append(list, newDaemon(relaypath.RoleAgent, firstAgent+i, serviceNames[i%len(serviceNames)]))
	}
	return list
}

// ofRole returns the daemons of a role.
func ofRole(daemons []*daemon, role string) []*daemon {
	var list []*daemon
	for _, d := range daemons {
		if d.Role == role {
			list = append(list, d)
		}
	}
	return list
}

// seeds returns the machines of all control instances.
func (w *world) seeds() []int {
	var list []int
	for _, d := range ofRole(w.daemons, relaypath.RoleControl) {
		list = append(list, d.Machine)
	}
	return list
}

// launch starts the process of a daemon. An end that the run has not caused is a violation.
func (w *world) launch(d *daemon, founding bool) error {
	p, err := w.site.Start(d.Daemon, founding, w.seeds()...)
	if err != nil {
		return err
	}
	mayEnd := &atomic.Bool{}
	d.process, d.mayEnd = p, mayEnd
	go func() {
		// The channel of the process has room, and kill or stop read its end.
		if err := p.Wait(); !mayEnd.Load() {
			w.record.violate("run", fmt.Sprintf("%s ended by itself: %v", d.Name(), err))
		}
	}()
	return nil
}

// kill ends the process at once.
func (d *daemon) kill() {
	if d.process == nil {
		return
	}
	d.mayEnd.Store(true)
	d.process.Kill()
}

// signal sends a signal to the process. One that has ended needs none.
func (d *daemon) signal(s os.Signal) error {
	err := d.process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// stop asks the process to end, and kills it at the end of its grace.
func (w *world) stop(d *daemon) error {
	d.mayEnd.Store(true)
	if err := d.signal(syscall.SIGTERM); err != nil {
		return err
	}
	w.awaitEnd(d, 0)
	return nil
}

// awaitEnd waits for the end of a stopping process, and kills it at the end of its grace and a further time.
func (w *world) awaitEnd(d *daemon, further time.Duration) {
	ended := make(chan error, 1)
	go func(p *launcher.Process) { ended <- p.Wait() }(d.process)
	timer := time.NewTimer(relaypath.GraceS*time.Second + further)
	defer timer.Stop()
	select {
	case err := <-ended:
		if err != nil {
			w.record.violate("drain", fmt.Sprintf("%s ended with %v", d.Name(), err))
		}
	case <-timer.C:
		w.record.violate("drain", fmt.Sprintf("%s outlived its grace of %d s", d.Name(), relaypath.GraceS))
		d.kill()
	}
}

// ready reports whether a daemon says that it is ready. Control instances say so by confirming the configuration.
func (w *world) ready(ctx context.Context, d *daemon) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if d.Role == relaypath.RoleControl {
		status, _, err := w.site.GetConfig(ctx, d.Machine)
		return err == nil && status == http.StatusOK
	}
	return w.site.Readiness(ctx, d.Machine) == http.StatusOK
}

func (w *world) allReady(ctx context.Context) bool {
	for _, d := range w.daemons {
		if !w.ready(ctx, d) {
			return false
		}
	}
	return true
}

// link is the forwarder in front of a control instance.
type link struct {
	fault     sync.Mutex
	name      string
	forwarder *swallower.Swallower
}

func newLink(site *relaypath.Site, d *daemon) (*link, error) {
	s, err := swallower.ListenAt(site.ControlAddress(d.Machine).String(), site.ListenAddress(d.Machine).String())
	return &link{name: "link of " + d.Name(), forwarder: s}, err
}
