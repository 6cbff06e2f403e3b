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
	// agentConnections is the limit of the rules; beyondLimit connections are tried after it is reached.
	agentConnections = 2_000
	beyondLimit      = 10
	dialers          = 50
)

// connections measures the memory of an agent's flows up to the limit, and what happens beyond it, with real processes.
func connections(ctx context.Context, _ uint64, emit func(Line)) error {
	return withSystem(ctx, func(folder, binary, bench string) launcher.Plan {
		plan := launcher.DemoPlan(folder, binary, bench)
		plan.Services = plan.Services[:1]
		plan.Services[0].Speeds = []time.Duration{time.Millisecond}
		return plan
	}, func(system *launcher.System, config *tls.Config) error {
		agent := system.Processes[system.Plan.Services[0].Name+"-1"]
		before, err := residentBytes(agent.ID())
		if err != nil {
			return errors.Trace(err)
		}
		open := openConnections(ctx, system, config, agentConnections)
		defer func() {
			for _, c := range open.callers {
				_ = c.Close()
			}
		}()
		after, err := residentBytes(agent.ID())
		if err != nil {
			return errors.Trace(err)
		}
		started := time.Now()
		extra := openConnections(ctx, system, config, beyondLimit)
		emit(Line{
			Flows: Of(len(open.callers)), BrokenFlows: Of(open.failed), Refused: Of(extra.failed),
			MemoryBytes: Of((after - before) / uint64(max(len(open.callers), 1))),
			Note: fmt.Sprintf("connections at one agent; MemoryBytes is resident memory for each; agent %d bytes before, %d after; "+
				"%d more tried in %d ms, %d accepted, errors %v", before, after, beyondLimit, time.Since(started).Milliseconds(),
				len(extra.callers), extra.causes),
		})
		return nil
	})
}

// opened are connections that have served one request.
type opened struct {
	mu      sync.Mutex
	callers []*caller.Caller
	failed  int
	causes  map[string]int
}

func openConnections(ctx context.Context, system *launcher.System, config *tls.Config, n int) *opened {
	o := &opened{causes: map[string]int{}}
	queue := make(chan struct{}, n)
	for range n {
		queue <- struct{}{}
	}
	close(queue)
	var all sync.WaitGroup
	for range dialers {
		all.Go(func() {
			for range queue {
				o.try(ctx, system, config)
			}
		})
	}
	all.Wait()
	return o
}

func (o *opened) try(ctx context.Context, system *launcher.System, config *tls.Config) {
	c := caller.New(config)
	a, err := c.Get(ctx, system.URL(system.Plan.Services[0]), "/advisories/VECC", fetchBytes)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil && a.Status != 0 {
		o.callers = append(o.callers, c)
		return
	}
	o.failed++
	text := errors.Cause(err).Error()
	o.causes[text[strings.LastIndex(text, "\": ")+1:]]++
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
		return 0, errors.Errorf("unexpected content %q", text)
	}
	pages, err := strconv.ParseUint(fields[1], 10, 64)
	return pages * uint64(os.Getpagesize()), errors.Trace(err)
}
