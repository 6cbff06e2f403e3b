package commands

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"cherviltide.example/cherviltide/messenger"
)

type evacuateCommand struct {
	controlFlags
	Domain   string        `arg:"positional,required" help:"name of the failure domain"`
	Withdraw bool          `arg:"--withdraw" help:"let the targets of the domain take new flows again"`
	Operator string        `arg:"--operator,env:USER" help:"who gives the order"`
	Wait     time.Duration `arg:"--wait" help:"wait until no flow is open in the domain, at most this long"`
}

func (c *evacuateCommand) examples() string {
	return "cherviltide evacuate muc-a --control 127.0.0.1:7400 --wait 2m"
}

func (c *evacuateCommand) execute(ctx context.Context, console console) error {
	if c.Withdraw && c.Wait > 0 {
		return &usageError{errors.New("--wait waits for the end of open flows and is not given with --withdraw")}
	}
	s, err := c.newSession()
	if err != nil {
		return err
	}
	req := &messenger.EvacuateRequest{FailureDomain: c.Domain, Withdraw: c.Withdraw, Operator: c.Operator}
	res, err := callControl(ctx, s, messenger.Evacuate, req)
	if err != nil {
		return err
	}
	state := "evacuated"
	if c.Withdraw {
		state = "restored"
	}
	_, _ = fmt.Fprintf(console.Out, "%s is %s at membership position %d\n", c.Domain, state, res.Position)
	if c.Wait == 0 {
		return nil
	}
	return pollStatus(ctx, console, s, c.Wait, func(res *messenger.StatusResponse) (bool, string) { return c.isEmpty(res) })
}

// isEmpty reports whether no flow is open in the domain, and describes the state.
func (c *evacuateCommand) isEmpty(res *messenger.StatusResponse) (bool, string) {
	if !res.Confirmed {
		return false, "control has no leader"
	}
	for _, e := range res.Evacuations {
		if e.FailureDomain == c.Domain {
			return e.OpenFlows == 0, fmt.Sprintf("%s: %d open flows at %d agents", c.Domain, e.OpenFlows, e.Agents)
		}
	}
	return true, fmt.Sprintf("%s is not evacuated any more", c.Domain)
}

// writeEvacuations writes a table of the evacuated failure domains, or nothing if there are none.
func writeEvacuations(out io.Writer, list []messenger.EvacuationStatus) error {
	if len(list) == 0 {
		return nil
	}
	t := newTable("Evacuated", "Since", "Operator", "Agents", "OpenFlows")
	for _, e := range list {
		t.addRow(e.FailureDomain, formatTime(e.Since), e.Operator, e.Agents, e.OpenFlows)
	}
	if err := t.write(out); err != nil {
		return err
	}
	_, err := fmt.Fprintln(out)
	return err
}
