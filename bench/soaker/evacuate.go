package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"cherviltide.example/cherviltide/bench/relaypath"
	"cherviltide.example/cherviltide/runner"
)

const (
	// evacuationPeriod is how long after its acknowledgement an order may still be unknown to the agents of the zone.
	evacuationPeriod = 3 * time.Second
	// withdrawalLimit bounds the attempts to withdraw an order.
	withdrawalLimit = 20 * time.Second
)

// zoneNames are the zones of the agents. Each service has agents in all of them.
var zoneNames = []string{"z1", "z2", "z3"}

// zonesOf returns the zones of the machines of agents.
func zonesOf(daemons []*daemon) map[int]string {
	zones := map[int]string{}
	for _, d := range withRole(daemons, relaypath.RoleAgent) {
		zones[d.Machine] = zoneNames[(d.Machine-firstAgent)/len(serviceNames)%len(zoneNames)]
	}
	return zones
}

// zoneLocks has a lock for each zone, which is held while the zone is evacuated.
type zoneLocks struct {
	mu    sync.Mutex
	locks map[string]bool
}

// tryLock reports whether the zone was free and is locked now.
func (l *zoneLocks) tryLock(zone string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.locks == nil {
		l.locks = map[string]bool{}
	}
	free := !l.locks[zone]
	l.locks[zone] = true
	return free
}

func (l *zoneLocks) unlock(zone string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.locks[zone] = false
}

// evacuate evacuates the zone of an agent for a duration. A target of the zone that gets a new flow after evacuationPeriod is
// recorded as a violation.
func (r *soakRun) evacuate(ctx context.Context, d *daemon, duration time.Duration) error {
	zone := r.site.FailureDomainOf(d.Machine)
	if !r.zones.tryLock(zone) {
		r.record.updateCounts(func(c *Counts) { c.Skipped++ })
		return nil
	}
	defer r.zones.unlock(zone)
	acknowledged := r.order(ctx, zone, false, acknowledgementLimit)
	orderedAt := time.Now()
	_ = runner.Sleep(ctx, evacuationPeriod+duration)
	if acknowledged && r.record.isFaultFree(orderedAt, time.Now(), isUnplanned) {
		r.checkEvacuated(zone, orderedAt.Add(evacuationPeriod))
	}
	r.record.updateCounts(func(c *Counts) { c.Evacuations++ })
	r.order(ctx, zone, true, withdrawalLimit)
	return nil
}

// checkEvacuated records a violation for each target of a zone that has got a new flow after the given time.
func (r *soakRun) checkEvacuated(zone string, limit time.Time) {
	for machine, name := range r.site.FailureDomains {
		target := r.backends.target(machine)
		if name != zone || target == nil {
			continue
		}
		if late := target.LastOpened().Sub(limit); late > 0 {
			r.record.addViolation("evacuate", fmt.Sprintf("%s in %s received a new flow %v after the period of the order", target.Name, zone, late.Round(time.Millisecond)))
		}
	}
}

// order sends an order to random instances until it is acknowledged or the limit has passed. A final refusal, and without a
// fault at control an order that is not acknowledged in time, are recorded as violations.
func (r *soakRun) order(ctx context.Context, zone string, withdraw bool, limit time.Duration) bool {
	started := time.Now()
	for time.Since(started) < limit && ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		status, err := r.site.OrderEvacuation(callCtx, firstControl+rand.IntN(r.config.Controls), zone, withdraw)
		cancel()
		switch {
		case err == nil && status == http.StatusOK:
			return true
		case err == nil && status < http.StatusInternalServerError:
			r.record.addViolation("evacuate", fmt.Sprintf("an order about %s was refused with status %d", zone, status))
			return false
		}
		_ = runner.Sleep(ctx, pollInterval)
	}
	if ctx.Err() == nil && r.record.isFaultFree(started, time.Now(), isControlFault) {
		r.record.addViolation("evacuate", fmt.Sprintf("an order about %s was not acknowledged within %v", zone, limit))
	}
	return false
}
