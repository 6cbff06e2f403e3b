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
	// operators is the number of operators, who edit at the same time.
	operators = 2
	// callLimit is how long an operator waits for an answer before another instance is asked.
	callLimit = time.Second
	// editPause and readPause are the longest pauses between two calls.
	editPause, readPause = 2 * time.Second, 300 * time.Millisecond
	// movePeriod is how long the moving address stays with a service; longer than the bound on older configurations.
	movePeriod = 10 * time.Second
)

// virtual is an address that callers use. Its service moves when it has none.
type virtual struct {
	address netip.AddrPort
	service string
}

var virtuals = []virtual{
	{netip.MustParseAddrPort("198.18.0.1:443"), serviceNames[0]},
	{netip.MustParseAddrPort("198.18.0.2:443"), serviceNames[1]},
	{netip.MustParseAddrPort("198.18.0.3:443"), ""},
}

// operator changes and reads the configuration. It is safe for concurrent use.
type operator struct {
	world *world
	start time.Time
	mu    sync.Mutex
	// moving has the service of the moving address in each version that was sent.
	moving map[uint64]string
	next   uint64
	// acknowledged has the newest acknowledged version since each time, in order.
	acknowledged []acknowledged
}

type acknowledged struct {
	version uint64
	at      time.Time
}

func newOperator(w *world) *operator {
	return &operator{world: w, start: time.Now(), moving: map[uint64]string{}}
}

// create makes the next version. Versions grow in uneven steps.
func (o *operator) create() (uint64, []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.next += 1 + o.next%3
	o.moving[o.next] = serviceNames[int(time.Since(o.start)/movePeriod)%len(serviceNames)]
	return o.next, body(o.next, o.moving[o.next])
}

// body returns a configuration.
func body(version uint64, moving string) []byte {
	var routes, services []string
	for i, v := range virtuals {
		service := v.service
		if service == "" {
			service = moving
		}
		routes = append(routes, fmt.Sprintf(`{"Name":"r%d","Host":"%s","Prefix":"/%d/","Kind":"idempotent","TimeoutMs":%d,"GoalMs":100,"Priority":1,"Service":"%s"}`,
			i, v.address.Addr(), v.address.Port(), 1000+version, service))
	}
	for _, name := range serviceNames {
		services = append(services, fmt.Sprintf(`{"Name":"%s","MaxConns":2000}`, name))
	}
	return fmt.Appendf(nil, `{"Version":%d,"Routes":[%s],"Services":[%s],"Limits":{"IdleTimeoutMs":15000}}`,
		version, strings.Join(routes, ","), strings.Join(services, ","))
}

// put sends a new version once to some instance and reports whether it was acknowledged.
func (o *operator) put(ctx context.Context) bool {
	version, text := o.create()
	return o.send(ctx, version, text, rand.IntN(o.world.config.Controls))
}

// send sends a version to an instance. A valid version must never be refused.
func (o *operator) send(ctx context.Context, version uint64, text []byte, instance int) bool {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	status, err := o.world.site.Put(ctx, firstControl+instance, text)
	if err != nil {
		return false
	}
	if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		o.world.record.violate("configuration", fmt.Sprintf("valid version %d was refused with status %d", version, status))
	}
	if status != http.StatusOK {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.newest() < version {
		o.acknowledged = append(o.acknowledged, acknowledged{version: version, at: time.Now()})
	}
	return true
}

// newest returns the newest acknowledged version. The caller holds the lock.
func (o *operator) newest() uint64 {
	if len(o.acknowledged) == 0 {
		return 0
	}
	return o.acknowledged[len(o.acknowledged)-1].version
}

// edit sends one version after the other until ctx ends, each until it is acknowledged or its time is over. Some are sent
// again later, and some are not valid.
func (o *operator) edit(ctx context.Context, random *rand.Rand) error {
	for runner.Sleep(ctx, time.Duration(random.Int64N(int64(editPause)))) {
		version, text := o.create()
		began := time.Now()
		done := false
		for !done && time.Since(began) < acknowledgement && ctx.Err() == nil {
			if done = o.send(ctx, version, text, random.IntN(o.world.config.Controls)); !done {
				_ = runner.Sleep(ctx, pollPause)
			}
		}
		o.world.record.count(func(c *Counts) {
			c.Edits++
			if done {
				c.EditsAcknowledged++
			}
		})
		if !done && ctx.Err() == nil && o.world.record.calm(began, time.Now(), ofControl) {
			o.world.record.violate("configuration", fmt.Sprintf("version %d was not acknowledged within %v", version, acknowledgement))
		}
		o.repeat(ctx, random)
	}
	return nil
}

// ofControl reports whether a disturbance is one of control.
func ofControl(d disturbance) bool {
	return strings.Contains(d.subject, "control") || d.subject == "power"
}

// repeat sends an older version again, or one that is not valid.
func (o *operator) repeat(ctx context.Context, random *rand.Rand) {
	instance := random.IntN(o.world.config.Controls)
	o.mu.Lock()
	older := o.newest()
	service := o.moving[older]
	o.mu.Unlock()
	switch random.IntN(3) {
	case 0:
		o.send(ctx, older, body(older, service), instance)
	case 1:
		ctx, cancel := context.WithTimeout(ctx, callLimit)
		defer cancel()
		text := body(older+1_000_000, "no-such-service")
		if status, err := o.world.site.Put(ctx, firstControl+instance, text); err == nil && status == http.StatusOK {
			o.world.record.violate("configuration", "a route to an unknown service was acknowledged")
		}
	}
}

// read reads the configuration until ctx ends.
func (o *operator) read(ctx context.Context, random *rand.Rand) error {
	for runner.Sleep(ctx, time.Duration(random.Int64N(int64(readPause)))) {
		o.look(ctx, firstControl+random.IntN(o.world.config.Controls))
	}
	return nil
}

// look reads the configuration from an instance once and reports whether it was shown. Any instance, disturbed or not, must
// show a version that is not older than the newest one acknowledged before.
func (o *operator) look(ctx context.Context, machine int) bool {
	o.mu.Lock()
	before := o.newest()
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	status, text, err := o.world.site.GetConfig(ctx, machine)
	shown := err == nil && status == http.StatusOK
	o.world.record.count(func(c *Counts) {
		c.Reads++
		if !shown {
			c.ReadsRefused++
		}
	})
	if !shown {
		return false
	}
	var got, want any
	var head struct{ Version uint64 }
	if err := json.Unmarshal(text, &head); err != nil {
		o.world.record.violate("configuration", fmt.Sprintf("configuration cannot be read: %v", err))
		return true
	}
	o.mu.Lock()
	service, sent := o.moving[head.Version]
	o.mu.Unlock()
	switch {
	case head.Version < before:
		o.world.record.violate("configuration", fmt.Sprintf("control-%d showed version %d after version %d was acknowledged", machine, head.Version, before))
	case !sent:
		o.world.record.violate("configuration", fmt.Sprintf("control-%d showed version %d, which nobody sent", machine, head.Version))
	case json.Unmarshal(text, &got) != nil || json.Unmarshal(body(head.Version, service), &want) != nil || !contains(got, want):
		o.world.record.violate("configuration", fmt.Sprintf("control-%d showed other content for version %d", machine, head.Version))
	}
	return true
}

// contains reports whether a value of JSON has all of another one; it may have more fields.
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

// check compares the service of a new flow with the configurations that may have decided about it.
func (o *operator) check(v virtual, started time.Time, target string) {
	service := serviceOf(target)
	if v.service != "" {
		if v.service != service {
			o.world.record.violate("route", fmt.Sprintf("a flow to %s went to %s", v.address, target))
		}
		return
	}
	if !o.world.record.calm(started, time.Now(), anything) {
		return
	}
	o.mu.Lock()
	oldest := uint64(0)
	for _, a := range o.acknowledged {
		if a.at.Before(started.Add(-propagation)) {
			oldest = a.version
		}
	}
	allowed := false
	for version, moving := range o.moving {
		allowed = allowed || version >= oldest && moving == service
	}
	o.mu.Unlock()
	o.world.record.count(func(c *Counts) { c.ConfigsChecked++ })
	if !allowed {
		o.world.record.violate("configuration", fmt.Sprintf("a flow went to %s as only versions before %d allow, which was acknowledged %v earlier", target, oldest, propagation))
	}
}

// final checks that nothing that was acknowledged is lost, and that changes are accepted again.
func (o *operator) final(ctx context.Context) {
	for i := range o.world.config.Controls {
		if err := until(ctx, fmt.Sprintf("control-%d shows the configuration", firstControl+i), func() bool { return o.look(ctx, firstControl+i) }); err != nil {
			o.world.record.violate("recover", err.Error())
		}
	}
	if err := until(ctx, "a change is acknowledged", func() bool { return o.put(ctx) }); err != nil {
		o.world.record.violate("recover", err.Error())
	}
}
