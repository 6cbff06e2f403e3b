package soaker

import (
	"fmt"
	"strings"
	"sync"

	"cherviltide.example/cherviltide/bench/relaypath"
)

// Services of a run.
var serviceNames = []string{"desk", "archive"}

// backends has the targets of a run, one for each agent. It is safe for concurrent use.
type backends struct {
	run         *soakRun
	mu          sync.Mutex
	targets     map[int]*relaypath.Target
	startCounts map[int]int
}

func newBackends(run *soakRun) *backends {
	return &backends{run: run, targets: map[int]*relaypath.Target{}, startCounts: map[int]int{}}
}

// startTarget starts a new target on the machine of an agent.
func (b *backends) startTarget(d *daemon) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startCounts[d.Machine]++
	t, err := b.run.site.StartTarget(fmt.Sprintf("%s-%d-%d", d.Service, d.Machine, b.startCounts[d.Machine]), d.Daemon)
	if err != nil {
		return err
	}
	b.targets[d.Machine] = t
	return nil
}

// target returns the current target on the machine of an agent.
func (b *backends) target(machine int) *relaypath.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.targets[machine]
}

// remove removes a target before it ends, so that the ends of its flows do not count as violations.
func (b *backends) remove(machine int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.targets, machine)
}

// isRunning reports whether the target with the given name is running.
func (b *backends) isRunning(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.targets {
		if t.Name == name {
			return true
		}
	}
	return false
}

// checkCorruption records a violation if a target has received corrupted packets.
func (b *backends) checkCorruption(t *relaypath.Target) {
	if n := t.Counts().Corrupted; n > 0 {
		b.run.record.addViolation("unasked", fmt.Sprintf("%s received %d corrupted packets", t.Name, n))
	}
}

// stop checks and ends all targets.
func (b *backends) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.targets {
		b.checkCorruption(t)
		t.Stop()
	}
}

// serviceOfTarget returns the service of a target, which its name starts with.
func serviceOfTarget(target string) string {
	service, _, _ := strings.Cut(target, "-")
	return service
}
