// Command cherviltide-bench simulates the systems around cherviltide, and runs the demo, the soak test and the measurements.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"cherviltide.example/cherviltide/bench/launcher"
	"cherviltide.example/cherviltide/bench/measurer"
	"cherviltide.example/cherviltide/bench/responder"
	"cherviltide.example/cherviltide/bench/soaker"
	"cherviltide.example/cherviltide/bench/sprayer"
	"cherviltide.example/cherviltide/bench/subscriber"
	"cherviltide.example/cherviltide/proxier"
)

type fabricCommand struct {
	Virtual []netip.AddrPort `arg:"required" help:"virtual addresses"`
	Entry   []uint16         `arg:"required" help:"listening ports of the entries"`
	Seed    uint64           `default:"1" help:"seed of the random choice of entries"`
}

func (c *fabricCommand) run(ctx context.Context) error {
	s, err := sprayer.Listen(c.Virtual, c.Entry, c.Seed)
	if err != nil {
		return err
	}
	err = s.Run(ctx)
	for i := range s.DatagramsSent {
		fmt.Printf("entry on port %d got %d datagrams\n", c.Entry[i], s.DatagramsSent[i].Load())
	}
	return err
}

type targetCommand struct {
	Name    string         `arg:"required" help:"name in the responses"`
	Listen  netip.AddrPort `arg:"required" help:"listening address"`
	Slots   int            `default:"2" help:"requests that are executed concurrently"`
	Service time.Duration  `default:"10ms" help:"time that the execution of a request takes"`
	Cold    time.Duration  `help:"time after the start in which requests take longer"`
	Drain   time.Duration  `help:"time after the start at which the target begins to reject all new requests; 0 means never"`
	Load    float64        `default:"-1" help:"load that the load endpoint reports; if negative, the measured load"`
	Fault   string         `help:"fault of all requests: cut, early, silent, stall, shed, busy, crossed, slow or endless"`
}

func (c *targetCommand) run(ctx context.Context) error {
	r := responder.New(responder.Config{
		Name: c.Name, Listen: c.Listen, Slots: c.Slots, ServiceTime: c.Service, CustomerHeader: proxier.HeaderCustomer,
		SlowStart: c.Cold, ReportedLoad: c.Load, Fault: responder.Fault(c.Fault),
	})
	if c.Drain > 0 {
		timer := time.AfterFunc(c.Drain, r.Drain)
		defer timer.Stop()
	}
	return r.Run(ctx)
}

type demoCommand struct {
	Binary string `default:"bin/cherviltide" help:"path of cherviltide"`
}

func (c *demoCommand) run(ctx context.Context) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	return launcher.Demo(ctx, os.Stdout, c.Binary, self)
}

type measureCommand struct {
	Case string `help:"run only this case"`
	Seed uint64 `default:"1" help:"seed of all random choices"`
	Plot string `help:"file for an SVG image of the share within the goal over time, with the case hard-load"`
}

func (c *measureCommand) run(ctx context.Context) error {
	var plot measurer.Plot
	if err := measurer.Run(ctx, os.Stdout, c.Case, c.Seed, &plot); err != nil || c.Plot == "" {
		return err
	}
	var image bytes.Buffer
	if err := plot.Write(&image); err != nil {
		return err
	}
	return os.WriteFile(c.Plot, image.Bytes(), 0o644)
}

type subscribeCommand struct {
	Control string        `arg:"required" help:"base URL of the control instance"`
	Count   int           `arg:"required" help:"number of followers"`
	Warm    time.Duration `default:"2s" help:"duration of the warm-up before the measurement"`
	Span    time.Duration `default:"5s" help:"duration of the measurement"`
}

func (c *subscribeCommand) run(ctx context.Context) error {
	usage, err := subscriber.Run(ctx, c.Control, c.Count, c.Warm, c.Span)
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(usage)
}

type soakCommand struct {
	Seed     uint64        `default:"1" help:"first seed"`
	Runs     uint64        `default:"1" help:"number of successive seeds, one for each run"`
	Duration time.Duration `default:"60s" help:"time in which faults are injected in each run"`
	Schedule []string      `help:"files with schedules to run instead of seeds, such as reports of earlier runs"`
	Binary   string        `default:"bin/cherviltide" help:"path of cherviltide"`
	Controls int           `default:"3" help:"control instances"`
	Entries  int           `default:"3" help:"entries"`
	Agents   int           `default:"6" help:"agents, each with a target"`
	Callers  int           `default:"40" help:"flows that are open concurrently"`
}

var errGuaranteeViolated = errors.New("a guarantee was violated")

// run runs schedules and prints a JSON line for each. The logs of a run with violations are kept.
func (c *soakCommand) run(ctx context.Context) error {
	if err := c.config(c.Seed).Check(); err != nil {
		return err
	}
	schedules, err := c.schedules()
	if err != nil {
		return err
	}
	failed := false
	for _, s := range schedules {
		held, err := c.runSchedule(ctx, s)
		if err != nil {
			return err
		}
		failed = failed || !held
	}
	if failed {
		return errGuaranteeViolated
	}
	return nil
}

func (c *soakCommand) config(seed uint64) soaker.Config {
	return soaker.Config{
		Seed: seed, Duration: c.Duration, Binary: c.Binary,
		Controls: c.Controls, Entries: c.Entries, Agents: c.Agents, Callers: c.Callers,
	}
}

// schedules returns the schedules in the files or, if there are no files, those of the seeds.
func (c *soakCommand) schedules() ([]soaker.Schedule, error) {
	var schedules []soaker.Schedule
	for _, path := range c.Schedule {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		var s soaker.Schedule
		if err := json.Unmarshal(data, &s); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		schedules = append(schedules, s)
	}
	for seed := c.Seed; len(c.Schedule) == 0 && seed < c.Seed+c.Runs; seed++ {
		schedules = append(schedules, soaker.GenerateSchedule(c.config(seed)))
	}
	return schedules, nil
}

// runSchedule runs one schedule and reports whether all guarantees held.
func (c *soakCommand) runSchedule(ctx context.Context, s soaker.Schedule) (bool, error) {
	config := c.config(s.Seed)
	var err error
	if config.Dir, err = os.MkdirTemp("", "cherviltide-soak-"); err != nil {
		return false, err
	}
	report, err := soaker.Run(ctx, config, s)
	if err != nil {
		return false, err
	}
	if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
		return false, err
	}
	if len(report.Violations) > 0 {
		return false, nil
	}
	return true, os.RemoveAll(config.Dir)
}

type command interface {
	run(ctx context.Context) error
}

var arguments struct {
	Fabric    *fabricCommand    `arg:"subcommand:fabric" help:"forward datagrams to random entries"`
	Target    *targetCommand    `arg:"subcommand:target" help:"serve requests as a simulated target"`
	Demo      *demoCommand      `arg:"subcommand:demo" help:"run callers, fabric, entries, agents and targets on this machine"`
	Subscribe *subscribeCommand `arg:"subcommand:subscribe" help:"run followers in one process and print their usage as JSON"`
	Soak      *soakCommand      `arg:"subcommand:soak" help:"inject faults that a seed determines and check the guarantees"`
	Measure   *measureCommand   `arg:"subcommand:measure" help:"run measurements and print JSON lines"`
}

func main() {
	parser := arg.MustParse(&arguments)
	c, ok := parser.Subcommand().(command)
	if !ok {
		parser.Fail("missing subcommand")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := c.run(ctx); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}
