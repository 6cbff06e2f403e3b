package measurer

import (
	"context"
	"crypto/tls"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"cherviltide.example/cherviltide/bench/caller"
	"cherviltide.example/cherviltide/bench/launcher"
)

const (
	// connectionsPerAgent is the limit that the rules set; extraConnections are attempted after it is reached.
	connectionsPerAgent = 2_000
	extraConnections    = 10
	concurrentDials     = 50
)

// measureConnections measures the memory of an agent's connections up to the limit, and how further attempts end, with real
// processes.
func measureConnections(ctx context.Context, _ uint64, emit func(Line)) error {
	return withSystem(ctx, func(dir, binary, bench string) launcher.Plan {
		plan := launcher.DemoPlan(dir, binary, bench)
		plan.Services = plan.Services[:1]
		plan.Services[0].ServiceTimes = []time.Duration{time.Millisecond}
		return plan
	}, func(system *launcher.System, config *tls.Config) error {
		agent := system.Processes[system.Plan.Services[0].Name+"-1"]
		before, err := residentBytes(agent.ID())
		if err != nil {
			return errors.Trace(err)
		}
		opened := openConnections(ctx, system, config, connectionsPerAgent)
		defer func() {
			for _, c := range opened.callers {
				_ = c.Close()
			}
		}()
		after, err := residentBytes(agent.ID())
		if err != nil {
			return errors.Trace(err)
		}
		started := time.Now()
		extra := openConnections(ctx, system, config, extraConnections)
		emit(Line{
			Flows: Ptr(len(opened.callers)), BrokenFlows: Ptr(opened.failed), Refused: Ptr(extra.failed),
			MemoryBytes: Ptr((after - before) / uint64(max(len(opened.callers), 1))),
			Note: fmt.Sprintf("connections at one agent; MemoryBytes is resident memory for each; agent %d bytes before, %d after; "+
				"%d more tried in %d ms, %d accepted, errors %v", before, after, extraConnections, time.Since(started).Milliseconds(),
				len(extra.callers), extra.causes),
		})
		return nil
	})
}

// connectionSet holds the connections that have served one request, and counts the failed attempts.
type connectionSet struct {
	mu      sync.Mutex
	callers []*caller.Caller
	failed  int
	causes  map[string]int
}

func openConnections(ctx context.Context, system *launcher.System, config *tls.Config, n int) *connectionSet {
	s := &connectionSet{causes: map[string]int{}}
	attempts := make(chan struct{}, n)
	for range n {
		attempts <- struct{}{}
	}
	close(attempts)
	var workers sync.WaitGroup
	for range concurrentDials {
		workers.Go(func() {
			for range attempts {
				s.dial(ctx, system, config)
			}
		})
	}
	workers.Wait()
	return s
}

func (s *connectionSet) dial(ctx context.Context, system *launcher.System, config *tls.Config) {
	c := caller.New(config)
	response, err := c.Get(ctx, system.URL(system.Plan.Services[0]), "/advisories/VECC", fetchBytes)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && response.Status != 0 {
		s.callers = append(s.callers, c)
		return
	}
	s.failed++
	text := errors.Cause(err).Error()
	s.causes[text[strings.LastIndex(text, "\": ")+1:]]++
	_ = c.Close()
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (uint64, error) {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	if err != nil {
		return 0, errors.Trace(err)
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, errors.Errorf("unexpected content of statm: %q", text)
	}
	pages, err := strconv.ParseUint(fields[1], 10, 64)
	return pages * uint64(os.Getpagesize()), errors.Trace(err)
}
