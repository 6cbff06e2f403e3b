package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"cherviltide.example/cherviltide/runner"
)

const (
	// operatorCount is the number of operators, who edit concurrently.
	operatorCount = 2
	// callTimeout is how long an operator waits for a response before it calls another instance.
	callTimeout = time.Second
	// maxEditPause and maxReadPause bound the random pauses between two calls.
	maxEditPause, maxReadPause = 2 * time.Second, 300 * time.Millisecond
	// movePeriod is how long the moving address stays with a service. It is longer than propagationTime.
	movePeriod = 10 * time.Second
)

// virtualAddress is an address that callers use, and its service. An empty service means that the address moves between
// the services.
type virtualAddress struct {
	address netip.AddrPort
	service string
}

var virtualAddresses = []virtualAddress{
	{netip.MustParseAddrPort("198.18.0.1:443"), serviceNames[0]},
	{netip.MustParseAddrPort("198.18.0.2:443"), serviceNames[1]},
	{netip.MustParseAddrPort("198.18.0.3:443"), ""},
}

// operator changes and reads the configuration, and checks the services of new flows against it. It is safe for concurrent
// use.
type operator struct {
	run   *soakRun
	start time.Time
	mu    sync.Mutex
	// movingServices has the service of the moving address in each version that was sent.
	movingServices map[uint64]string
	lastVersion    uint64
	// acknowledged has each version that was the newest acknowledged one, and the time of its acknowledgement, in order.
	acknowledged []acknowledgedVersion
}

type acknowledgedVersion struct {
	version uint64
	at      time.Time
}

func newOperator(run *soakRun) *operator {
	return &operator{run: run, start: time.Now(), movingServices: map[uint64]string{}}
}

// newVersion creates the next version and its configuration. Versions grow in uneven steps.
func (o *operator) newVersion() (uint64, []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastVersion += 1 + o.lastVersion%3
	o.movingServices[o.lastVersion] = serviceNames[int(time.Since(o.start)/movePeriod)%len(serviceNames)]
	return o.lastVersion, configBody(o.lastVersion, o.movingServices[o.lastVersion])
}

// configBody returns the configuration of a version, in which the moving address has the given service.
func configBody(version uint64, moving string) []byte {
	var routes, services []string
	for i, virtual := range virtualAddresses {
		service := virtual.service
		if service == "" {
			service = moving
		}
		routes = append(routes, fmt.Sprintf(`{"Name":"r%d","Host":"%s","Prefix":"/%d/","Kind":"idempotent","TimeoutMs":%d,"GoalMs":100,"Priority":1,"Service":"%s"}`,
			i, virtual.address.Addr(), virtual.address.Port(), 1000+version, service))
	}
	for _, name := range serviceNames {
		services = append(services, fmt.Sprintf(`{"Name":"%s","MaxConns":2000}`, name))
	}
	return fmt.Appendf(nil, `{"Version":%d,"Routes":[%s],"Services":[%s],"Limits":{"IdleTimeoutMs":15000}}`,
		version, strings.Join(routes, ","), strings.Join(services, ","))
}

// putNewVersion sends a new version once to a random instance and reports whether it was acknowledged.
func (o *operator) putNewVersion(ctx context.Context) bool {
	version, config := o.newVersion()
	return o.sendVersion(ctx, version, config, rand.IntN(o.run.config.Controls))
}

// sendVersion sends a valid version to an instance and reports whether it was acknowledged. A refusal is recorded as a
// violation.
func (o *operator) sendVersion(ctx context.Context, version uint64, config []byte, instance int) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, err := o.run.site.PutConfig(ctx, firstControl+instance, config)
	if err != nil {
		return false
	}
	if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		o.run.record.addViolation("configuration", fmt.Sprintf("valid version %d was refused with status %d", version, status))
	}
	if status != http.StatusOK {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.newestAcknowledged() < version {
		o.acknowledged = append(o.acknowledged, acknowledgedVersion{version: version, at: time.Now()})
	}
	return true
}

// newestAcknowledged returns the newest acknowledged version, or 0. The caller holds the lock.
func (o *operator) newestAcknowledged() uint64 {
	if len(o.acknowledged) == 0 {
		return 0
	}
	return o.acknowledged[len(o.acknowledged)-1].version
}

// sendEdits sends one version after the other until ctx ends, each until it is acknowledged or its time limit is over. In
// between it sends older and invalid versions.
func (o *operator) sendEdits(ctx context.Context, random *rand.Rand) error {
	for runner.Sleep(ctx, time.Duration(random.Int64N(int64(maxEditPause)))) {
		version, config := o.newVersion()
		started := time.Now()
		isAcknowledged := false
		for !isAcknowledged && time.Since(started) < acknowledgementLimit && ctx.Err() == nil {
			if isAcknowledged = o.sendVersion(ctx, version, config, random.IntN(o.run.config.Controls)); !isAcknowledged {
				_ = runner.Sleep(ctx, pollInterval)
			}
		}
		o.run.record.updateCounts(func(c *Counts) {
			c.Edits++
			if isAcknowledged {
				c.EditsAcknowledged++
			}
		})
		if !isAcknowledged && ctx.Err() == nil && o.run.record.isFaultFree(started, time.Now(), isControlFault) {
			o.run.record.addViolation("configuration", fmt.Sprintf("version %d was not acknowledged within %v", version, acknowledgementLimit))
		}
		o.sendRepeatedOrInvalid(ctx, random)
	}
	return nil
}

// isControlFault reports whether a fault affects control instances.
func isControlFault(p faultPeriod) bool {
	return strings.Contains(p.subject, "control") || p.subject == "power"
}

// sendRepeatedOrInvalid sends at random the newest acknowledged version again, an invalid version, or nothing.
func (o *operator) sendRepeatedOrInvalid(ctx context.Context, random *rand.Rand) {
	instance := random.IntN(o.run.config.Controls)
	o.mu.Lock()
	version := o.newestAcknowledged()
	service := o.movingServices[version]
	o.mu.Unlock()
	switch random.IntN(3) {
	case 0:
		o.sendVersion(ctx, version, configBody(version, service), instance)
	case 1:
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		config := configBody(version+1_000_000, "no-such-service")
		if status, err := o.run.site.PutConfig(ctx, firstControl+instance, config); err == nil && status == http.StatusOK {
			o.run.record.addViolation("configuration", "a route to an unknown service was acknowledged")
		}
	}
}

// readRepeatedly reads the configuration from random instances until ctx ends.
func (o *operator) readRepeatedly(ctx context.Context, random *rand.Rand) error {
	for runner.Sleep(ctx, time.Duration(random.Int64N(int64(maxReadPause)))) {
		o.readOnce(ctx, firstControl+random.IntN(o.run.config.Controls))
	}
	return nil
}

// readOnce reads the configuration from an instance once and reports whether the instance returned it. An instance, also
// one with a fault, must not return a version that is older than the newest one acknowledged before the read.
func (o *operator) readOnce(ctx context.Context, machine int) bool {
	o.mu.Lock()
	newestBefore := o.newestAcknowledged()
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, config, err := o.run.site.GetConfig(ctx, machine)
	returned := err == nil && status == http.StatusOK
	o.run.record.updateCounts(func(c *Counts) {
		c.Reads++
		if !returned {
			c.ReadsRefused++
		}
	})
	if !returned {
		return false
	}
	var got, want any
	var header struct{ Version uint64 }
	if err := json.Unmarshal(config, &header); err != nil {
		o.run.record.addViolation("configuration", fmt.Sprintf("configuration is not valid JSON: %v", err))
		return true
	}
	o.mu.Lock()
	service, known := o.movingServices[header.Version]
	o.mu.Unlock()
	switch {
	case header.Version < newestBefore:
		o.run.record.addViolation("configuration", fmt.Sprintf("control-%d returned version %d after version %d was acknowledged", machine, header.Version, newestBefore))
	case !known:
		o.run.record.addViolation("configuration", fmt.Sprintf("control-%d returned version %d, which no operator sent", machine, header.Version))
	case json.Unmarshal(config, &got) != nil || json.Unmarshal(configBody(header.Version, service), &want) != nil || !contains(got, want):
		o.run.record.addViolation("configuration", fmt.Sprintf("control-%d returned other content for version %d", machine, header.Version))
	}
	return true
}

// contains reports whether a JSON value has all the contents of another one. Objects may have more fields.
func contains(got, want any) bool {
	switch want := want.(type) {
	case map[string]any:
		object, ok := got.(map[string]any)
		for key, value := range want {
			ok = ok && contains(object[key], value)
		}
		return ok
	case []any:
		list, ok := got.([]any)
		ok = ok && len(list) == len(want)
		for i := 0; ok && i < len(want); i++ {
			ok = contains(list[i], want[i])
		}
		return ok
	}
	return got == want
}

// checkService checks that the service of a new flow is the one of a configuration that may have been in force when it
// opened.
func (o *operator) checkService(virtual virtualAddress, started time.Time, target string) {
	service := serviceOfTarget(target)
	if virtual.service != "" {
		if virtual.service != service {
			o.run.record.addViolation("route", fmt.Sprintf("a flow to %s went to %s", virtual.address, target))
		}
		return
	}
	if !o.run.record.isFaultFree(started, time.Now(), anyFault) {
		return
	}
	o.mu.Lock()
	oldestAllowed := uint64(0)
	for _, a := range o.acknowledged {
		if a.at.Before(started.Add(-propagationTime)) {
			oldestAllowed = a.version
		}
	}
	allowed := false
	for version, moving := range o.movingServices {
		allowed = allowed || version >= oldestAllowed && moving == service
	}
	o.mu.Unlock()
	o.run.record.updateCounts(func(c *Counts) { c.ConfigsChecked++ })
	if !allowed {
		o.run.record.addViolation("configuration", fmt.Sprintf("a flow went to %s, which only versions before %d allow, although that version was acknowledged more than %v earlier", target, oldestAllowed, propagationTime))
	}
}

// checkFinalState checks that no acknowledged version is lost, and that changes are accepted again.
func (o *operator) checkFinalState(ctx context.Context) {
	for i := range o.run.config.Controls {
		if err := waitUntil(ctx, fmt.Sprintf("control-%d returns the configuration", firstControl+i), func() bool { return o.readOnce(ctx, firstControl+i) }); err != nil {
			o.run.record.addViolation("recover", err.Error())
		}
	}
	if err := waitUntil(ctx, "a change is acknowledged", func() bool { return o.putNewVersion(ctx) }); err != nil {
		o.run.record.addViolation("recover", err.Error())
	}
}
