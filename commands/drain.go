package commands

import (
	"context"
	"fmt"
	"time"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/messenger"
)

type drainCommand struct {
	controlFlags
	Name     string        `arg:"positional,required" help:"name of the member that is to leave"`
	Operator string        `arg:"--operator,env:USER" help:"who drains the member"`
	Wait     time.Duration `arg:"--wait" help:"wait until the member has ended, at most this long"`
}

func (c *drainCommand) examples() string {
	return "cherviltide drain advisory-desk-1 --control 127.0.0.1:7400 --wait 10m"
}

func (c *drainCommand) execute(ctx context.Context, console console) error {
	s, err := c.newSession()
	if err != nil {
		return err
	}
	res, err := callControl(ctx, s, messenger.Drain, &messenger.DrainRequest{Member: c.Name, Operator: c.Operator})
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(console.Out, "%s is %s\n", c.Name, res.State)
	if c.Wait == 0 {
		return nil
	}
	return pollStatus(ctx, console, s, c.Wait, func(res *messenger.StatusResponse) (bool, string) {
		if !res.Confirmed {
			return false, "control has no leader"
		}
		for _, m := range res.Members {
			if m.Member.Name == c.Name {
				return m.State == cherviltide.StateDead, fmt.Sprintf("%s is %s", c.Name, m.State)
			}
		}
		return true, fmt.Sprintf("%s has ended", c.Name)
	})
}
