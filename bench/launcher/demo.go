package launcher

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/juju/errors"

	"cherviltide.example/cherviltide/bench/caller"
)

// demoTimeout bounds the whole demo.
const demoTimeout = 28 * time.Second

// DemoPlan returns the plan of the demo: two services of a small deployment.
func DemoPlan(dir, binary, bench string) Plan {
	fastService, slowService := 5*time.Millisecond, 20*time.Millisecond
	return Plan{
		Dir: dir, Binary: binary, Bench: bench,
		Controls: 3, Entries: 3, Seed: 1,
		FailureDomains: []string{"salt-lake", "rajarhat", "howrah"},
		Customer:       "air-bengal",
		Services: []ServicePlan{{
			Name: "advisory-desk", Address: netip.MustParseAddr("127.8.1.1"), Slots: 2,
			ServiceTimes: []time.Duration{fastService, fastService, slowService},
			Rules: "Kind advisory-desk fetch Path /advisories/ Class Urgent Priority 1 Deadline 2s Objective 99.9 # requested by demo\n" +
				"Kind advisory-desk acknowledge Method POST Path /acknowledgements/ Class Urgent Priority 1 Deadline 2s AtMostOnce true Objective 99.9 # requested by demo\n",
		}, {
			Name: "chart-store", Address: netip.MustParseAddr("127.8.2.1"), Slots: 2,
			ServiceTimes: []time.Duration{fastService, slowService},
			Rules:        "Kind chart-store chart Path /charts/ Class Bulky Priority 5 Deadline 20s Objective 99 # requested by demo\n",
		}},
	}
}

// Demo runs the whole system as separate processes, sends requests, prints the responses and fails unless every response
// was complete.
func Demo(ctx context.Context, out io.Writer, binary, bench string) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "cherviltide-demo-")
	if err != nil {
		return errors.Trace(err)
	}
	system, err := Start(ctx, DemoPlan(dir, binary, bench))
	if err != nil {
		return errors.Annotatef(err, "logs are in %s", dir)
	}
	defer system.Stop()
	_, _ = fmt.Fprintf(out, "%d processes run; revision 1 is in force at %d members\n", len(system.Processes), system.Members())
	if err := sendRequests(ctx, out, system); err != nil {
		return errors.Annotatef(err, "logs are in %s", dir)
	}
	if err := stopFabric(out, system); err != nil {
		return errors.Annotatef(err, "logs are in %s", dir)
	}
	_, _ = fmt.Fprintln(out, "every answer was whole")
	return errors.Trace(os.RemoveAll(dir))
}

// stopFabric stops the fabric and prints how many datagrams it sent to each entry. It fails when an entry received none.
func stopFabric(out io.Writer, system *System) error {
	fabric := system.Processes["fabric"]
	if err := fabric.Signal(syscall.SIGTERM); err != nil {
		return errors.Trace(err)
	}
	if err := fabric.Wait(); err != nil {
		return errors.Trace(err)
	}
	text, err := os.ReadFile(fabric.Log)
	if err != nil {
		return errors.Trace(err)
	}
	_, _ = out.Write(text)
	if bytes.Contains(text, []byte(" got 0 ")) || bytes.Count(text, []byte(" got ")) != system.Plan.Entries {
		return errors.New("an entry received no datagrams")
	}
	return nil
}

// sendRequests sends requests to both services and prints the responses.
func sendRequests(ctx context.Context, out io.Writer, system *System) error {
	config, err := system.CallerTLS(system.Plan.Customer)
	if err != nil {
		return errors.Trace(err)
	}
	requests := []struct {
		service int
		path    string
		size    int
	}{{0, "/advisories/VECC", 2_000}, {0, "/advisories/VIDP", 2_000}, {1, "/charts/world", 8 << 20}}
	for flow := range 4 {
		c := caller.New(config)
		for _, r := range requests {
			service := system.Plan.Services[r.service]
			response, err := c.Get(ctx, system.URL(service), r.path, r.size)
			if err != nil {
				return errors.Trace(err)
			}
			_, _ = fmt.Fprintf(out, "flow %d %s%s: status %d, %d bytes, whole %t, target %s, customer %s, %d ms\n",
				flow+1, service.Name, r.path, response.Status, response.Bytes, response.Complete, response.Target, response.Customer, response.Took.Milliseconds())
			if !response.Complete {
				return errors.Errorf("response of %s%s is incomplete", service.Name, r.path)
			}
		}
		if err := c.Close(); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
