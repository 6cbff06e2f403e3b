package soaker

import (
	"fmt"
	"strings"
	"sync"

	"cherviltide.example/cherviltide/bench/relaypath"
)

// Services of a run.
var serviceNames = []string{"desk", "archive"}

// backends are the targets of a run, one beside each agent. It is safe for concurrent use.
type backends struct {
	world   *world
	mu      sync.Mutex
	current map[int]*relaypath.Target
	starts  map[int]int
}

func newBackends(w *world) *backends {
	return &backends{world: w, current: map[int]*relaypath.Target{}, starts: map[int]int{}}
}

// begin starts a new target beside an agent.
func (b *backends) begin(d *daemon) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.starts[d.Machine]++
	t, err := b.world.site.StartTarget(fmt.Sprintf("%s-%d-%d", d.Service, d.Machine, b.starts[d.Machine]), d.Daemon)
	if err != nil {
		return err
	}
	b.current[d.Machine] = t
	return nil
}

// at returns the target beside an agent.
func (b *backends) at(machine int) *relaypath.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current[machine]
}

// remove forgets a target before it ends, so that the ends of its flows are not held against the system.
func (b *backends) remove(machine int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.current, machine)
}

// alive reports whether a target with a name runs.
func (b *backends) alive(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.current {
		if t.Name == name {
			return true
		}
	}
	return false
}

// inspect reports a target that got packets which somebody has changed.
func (b *backends) inspect(t *relaypath.Target) {
	if n := t.Counts().Damaged; n > 0 {
		b.world.record.violate("unasked", fmt.Sprintf("%s got %d changed packets", t.Name, n))
	}
}

// stop ends all targets.
func (b *backends) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.current {
		b.inspect(t)
		t.Stop()
	}
}

// serviceOf returns the service of a target by its name.
func serviceOf(target string) string {
	service, _, _ := strings.Cut(target, "-")
	return service
}
