package measurer

import (
	"context"
	"crypto/tls"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/bench/caller"
	"cherviltide.example/cherviltide/bench/launcher"
)

const (
	// systemCallers is the number of callers of each service.
	systemCallers = 40
	fetchBytes    = 2_000
	bulkBytes     = 2 << 20
	requestLimit  = 40 * time.Second
	// settle is the time of undisturbed traffic before and after each change.
	settle = time.Second
)

// systemTally counts what callers saw. It is safe for concurrent use.
type systemTally struct {
	mu                            sync.Mutex
	flows, broken, whole, refused int
	wrongCustomer, otherAnswers   int
	// causes counts the errors of broken flows by their text.
	causes map[string]int
}

func (t *systemTally) opened() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.flows++
}

func (t *systemTally) add(a caller.Answer, err error, customer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err != nil:
		t.broken++
		t.causes[errors.Cause(err).Error()]++
	case a.Outcome == string(cherviltide.OutcomeRefused):
		t.refused++
	case !a.Whole:
		t.otherAnswers++
	case a.Customer != customer:
		t.wrongCustomer++
	default:
		t.whole++
	}
}

// change is one step of a schedule.
type change func(ctx context.Context, s *launcher.System) error

// measureSystem runs real processes under traffic and applies changes.
func measureSystem(ctx context.Context, plan func(folder, binary, bench string) launcher.Plan, changes ...change) (*systemTally, error) {
	var tally *systemTally
	err := withSystem(ctx, plan, func(system *launcher.System, config *tls.Config) error {
		var err error
		tally, err = drive(ctx, system, config, changes)
		return err
	})
	return tally, err
}

// withSystem runs the processes of a plan while f runs, which gets the identity of a caller.
func withSystem(ctx context.Context, plan func(folder, binary, bench string) launcher.Plan, f func(*launcher.System, *tls.Config) error) error {
	folder, err := os.MkdirTemp("", "cherviltide-measure-")
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	self, err := os.Executable()
	if err != nil {
		return errors.Trace(err)
	}
	system, err := launcher.Start(ctx, plan(folder, filepath.Join(filepath.Dir(self), "cherviltide"), self))
	if err != nil {
		return errors.Trace(err)
	}
	defer system.Stop()
	config, err := system.CallerTLS(system.Plan.Customer)
	if err != nil {
		return errors.Trace(err)
	}
	return f(system, config)
}

// drive runs callers until all changes are made.
func drive(ctx context.Context, system *launcher.System, config *tls.Config, changes []change) (*systemTally, error) {
	tally := &systemTally{causes: map[string]int{}}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for range systemCallers {
		callers.Go(func() { callLoop(system, config, 0, fetchBytes, tally, stop) })
		callers.Go(func() { callLoop(system, config, 1, bulkBytes, tally, stop) })
	}
	var err error
	for _, c := range changes {
		time.Sleep(settle)
		if err = c(ctx, system); err != nil {
			break
		}
	}
	time.Sleep(settle)
	close(stop)
	callers.Wait()
	return tally, errors.Trace(err)
}

// callLoop calls one service until stop is closed. A flow serves several requests; a new one is opened after a failure.
func callLoop(s *launcher.System, config *tls.Config, service, size int, tally *systemTally, stop <-chan struct{}) {
	const requestsPerFlow = 5
	plan := s.Plan.Services[service]
	path := []string{"/advisories/VECC", "/charts/world"}[service]
	if s.Plan.Customer != "air-bengal" {
		path = []string{"/deposits/1", "/bundles/1"}[service]
	}
	for {
		c := caller.New(config)
		tally.opened()
		for range requestsPerFlow {
			select {
			case <-stop:
				_ = c.Close()
				return
			default:
			}
			ctx, cancel := context.WithTimeout(context.Background(), requestLimit)
			a, err := c.Get(ctx, s.URL(plan), path, size)
			cancel()
			tally.add(a, err, s.Plan.Customer)
			if err != nil {
				break
			}
		}
		_ = c.Close()
	}
}

func signal(name string, signal os.Signal) change {
	return func(_ context.Context, s *launcher.System) error { return s.Signal(name, signal) }
}

func drained(name string) change {
	return func(ctx context.Context, s *launcher.System) error {
		if err := s.Signal(name, syscall.SIGTERM); err != nil {
			return err
		}
		return s.WaitForState(ctx, name, cherviltide.StateDead)
	}
}

func dead(name string) change {
	return func(ctx context.Context, s *launcher.System) error {
		if err := s.Signal(name, syscall.SIGKILL); err != nil {
			return err
		}
		return s.WaitForState(ctx, name, cherviltide.StateDead)
	}
}

func added(service int) change {
	return func(_ context.Context, s *launcher.System) error {
		v := s.Plan.Services[service]
		return s.AddTarget(v, len(v.Speeds), v.Speeds[0])
	}
}

// deployments are the two deployments that the system cases run.
var deployments = map[string]struct {
	plan   func(folder, binary, bench string) launcher.Plan
	urgent string
	bulk   string
}{
	"MeghnaSky":          {launcher.MeghnaSky, "advisory-desk", "chart-store"},
	"KautionshueterSued": {launcher.KautionshueterSued, "deposit-core", "cert-archive"},
}

// systemPlanned measures broken flows under planned changes with real processes.
func systemPlanned(ctx context.Context, _ uint64, emit func(Line)) error {
	return eachDeployment(ctx, emit, func(urgent, bulk string) []change {
		return []change{added(0), added(1), drained(urgent + "-2"), drained(bulk + "-1"), signal("entry-1", syscall.SIGTERM)}
	})
}

// systemCrashed measures broken flows under crashes with real processes.
func systemCrashed(ctx context.Context, _ uint64, emit func(Line)) error {
	return eachDeployment(ctx, emit, func(urgent, _ string) []change {
		return []change{signal("entry-1", syscall.SIGKILL), signal(urgent+"-1", syscall.SIGKILL), dead(urgent + "-2")}
	})
}

func eachDeployment(ctx context.Context, emit func(Line), changes func(urgent, bulk string) []change) error {
	for _, name := range []string{"MeghnaSky", "KautionshueterSued"} {
		d := deployments[name]
		tally, err := measureSystem(ctx, d.plan, changes(d.urgent, d.bulk)...)
		if err != nil {
			return errors.Annotate(err, name)
		}
		emit(Line{
			Note:  fmt.Sprintf("%s: real processes; Timely counts whole answers, Lost counts other answers; errors %v", name, tally.causes),
			Flows: Of(tally.flows), BrokenFlows: Of(tally.broken), Timely: Of(tally.whole), Refused: Of(tally.refused),
			Lost: Of(tally.otherAnswers), WrongCustomer: Of(tally.wrongCustomer),
		})
	}
	return nil
}
