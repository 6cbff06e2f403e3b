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
	// callersPerService is the number of concurrent callers of each service.
	callersPerService = 40
	fetchBytes        = 2_000
	bulkBytes         = 2 << 20
	requestTimeout    = 40 * time.Second
	// settlingTime is the duration of the traffic before and after each change.
	settlingTime = time.Second
)

// trafficCounts counts the flows and responses of callers. It is safe for concurrent use.
type trafficCounts struct {
	mu                               sync.Mutex
	flows, broken, complete, refused int
	wrongCustomer, otherResponses    int
	// causes counts the broken flows by the text of their error.
	causes map[string]int
}

func (t *trafficCounts) addFlow() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.flows++
}

func (t *trafficCounts) addResponse(response caller.Response, err error, customer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err != nil:
		t.broken++
		t.causes[errors.Cause(err).Error()]++
	case response.Outcome == string(cherviltide.OutcomeRefused):
		t.refused++
	case !response.Complete:
		t.otherResponses++
	case response.Customer != customer:
		t.wrongCustomer++
	default:
		t.complete++
	}
}

// systemChange is one change of a running system.
type systemChange func(ctx context.Context, s *launcher.System) error

// measureSystem starts the processes of a plan and applies changes under traffic.
func measureSystem(ctx context.Context, plan func(dir, binary, bench string) launcher.Plan, changes ...systemChange) (*trafficCounts, error) {
	var counts *trafficCounts
	err := withSystem(ctx, plan, func(system *launcher.System, config *tls.Config) error {
		var err error
		counts, err = runTraffic(ctx, system, config, changes)
		return err
	})
	return counts, err
}

// withSystem starts the processes of a plan, calls f with the TLS configuration of a caller, and stops the processes.
func withSystem(ctx context.Context, plan func(dir, binary, bench string) launcher.Plan, f func(*launcher.System, *tls.Config) error) error {
	dir, err := os.MkdirTemp("", "cherviltide-measure-")
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	self, err := os.Executable()
	if err != nil {
		return errors.Trace(err)
	}
	system, err := launcher.Start(ctx, plan(dir, filepath.Join(filepath.Dir(self), "cherviltide"), self))
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

// runTraffic runs callers until all changes are made.
func runTraffic(ctx context.Context, system *launcher.System, config *tls.Config, changes []systemChange) (*trafficCounts, error) {
	counts := &trafficCounts{causes: map[string]int{}}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for range callersPerService {
		callers.Go(func() { callLoop(system, config, 0, fetchBytes, counts, stop) })
		callers.Go(func() { callLoop(system, config, 1, bulkBytes, counts, stop) })
	}
	var err error
	for _, c := range changes {
		time.Sleep(settlingTime)
		if err = c(ctx, system); err != nil {
			break
		}
	}
	time.Sleep(settlingTime)
	close(stop)
	callers.Wait()
	return counts, errors.Trace(err)
}

// callLoop calls one service until stop is closed. A flow serves several requests; a new one is opened after a failure.
func callLoop(s *launcher.System, config *tls.Config, service, size int, counts *trafficCounts, stop <-chan struct{}) {
	const requestsPerFlow = 5
	plan := s.Plan.Services[service]
	path := []string{"/advisories/VECC", "/charts/world"}[service]
	if s.Plan.Customer != "air-bengal" {
		path = []string{"/deposits/1", "/bundles/1"}[service]
	}
	for {
		c := caller.New(config)
		counts.addFlow()
		for range requestsPerFlow {
			select {
			case <-stop:
				_ = c.Close()
				return
			default:
			}
			ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
			response, err := c.Get(ctx, s.URL(plan), path, size)
			cancel()
			counts.addResponse(response, err, s.Plan.Customer)
			if err != nil {
				break
			}
		}
		_ = c.Close()
	}
}

func sendSignal(name string, signal os.Signal) systemChange {
	return func(_ context.Context, s *launcher.System) error { return s.Signal(name, signal) }
}

func drainInstance(name string) systemChange {
	return func(ctx context.Context, s *launcher.System) error {
		if err := s.Signal(name, syscall.SIGTERM); err != nil {
			return err
		}
		return s.WaitForState(ctx, name, cherviltide.StateDead)
	}
}

func killInstance(name string) systemChange {
	return func(ctx context.Context, s *launcher.System) error {
		if err := s.Signal(name, syscall.SIGKILL); err != nil {
			return err
		}
		return s.WaitForState(ctx, name, cherviltide.StateDead)
	}
}

func addTarget(service int) systemChange {
	return func(_ context.Context, s *launcher.System) error {
		service := s.Plan.Services[service]
		return s.AddTarget(service, len(service.ServiceTimes), service.ServiceTimes[0])
	}
}

// deployments has the two deployments of the system cases.
var deployments = map[string]struct {
	plan   func(dir, binary, bench string) launcher.Plan
	urgent string
	bulk   string
}{
	"MeghnaSky":          {launcher.MeghnaSky, "advisory-desk", "chart-store"},
	"KautionshueterSued": {launcher.KautionshueterSued, "deposit-core", "cert-archive"},
}

// systemPlanned measures broken flows under planned changes with real processes.
func systemPlanned(ctx context.Context, _ uint64, emit func(Line)) error {
	return eachDeployment(ctx, emit, func(urgent, bulk string) []systemChange {
		return []systemChange{addTarget(0), addTarget(1), drainInstance(urgent + "-2"), drainInstance(bulk + "-1"), sendSignal("entry-1", syscall.SIGTERM)}
	})
}

// systemCrashed measures broken flows under crashes with real processes.
func systemCrashed(ctx context.Context, _ uint64, emit func(Line)) error {
	return eachDeployment(ctx, emit, func(urgent, _ string) []systemChange {
		return []systemChange{sendSignal("entry-1", syscall.SIGKILL), sendSignal(urgent+"-1", syscall.SIGKILL), killInstance(urgent + "-2")}
	})
}

func eachDeployment(ctx context.Context, emit func(Line), changes func(urgent, bulk string) []systemChange) error {
	for _, name := range []string{"MeghnaSky", "KautionshueterSued"} {
		d := deployments[name]
		counts, err := measureSystem(ctx, d.plan, changes(d.urgent, d.bulk)...)
		if err != nil {
			return errors.Annotate(err, name)
		}
		emit(Line{
			Note:  fmt.Sprintf("%s: real processes; Timely counts complete responses, Lost counts other responses; errors %v", name, counts.causes),
			Flows: Ptr(counts.flows), BrokenFlows: Ptr(counts.broken), Timely: Ptr(counts.complete), Refused: Ptr(counts.refused),
			Lost: Ptr(counts.otherResponses), WrongCustomer: Ptr(counts.wrongCustomer),
		})
	}
	return nil
}
