package launcher

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/juju/errors"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/messenger"
)

// Signal sends a signal to the process with the given name.
func (s *System) Signal(name string, signal os.Signal) error {
	p, ok := s.Processes[name]
	if !ok {
		return errors.Errorf("no process is named %s", name)
	}
	return p.Signal(signal)
}

// Ended returns a channel that is closed when the process with the given name has ended.
func (s *System) Ended(name string) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		_ = s.Processes[name].Wait()
		close(ended)
	}()
	return ended
}

// WaitFor polls the status until the condition holds.
func (s *System) WaitFor(ctx context.Context, what string, holds func(*messenger.StatusResponse) bool) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		res, err := s.Status(ctx)
		if err == nil && holds(res) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("no status in which %s: %v %v", what, res, err)
		case <-time.After(pollInterval):
		}
	}
}

// WaitForState waits until a member has a state. Control forgets dead members, so an unknown member counts as dead.
func (s *System) WaitForState(ctx context.Context, name string, state cherviltide.MemberState) error {
	return s.WaitFor(ctx, fmt.Sprintf("%s is %s", name, state), func(res *messenger.StatusResponse) bool {
		for _, m := range res.Members {
			if m.Member.Name == name {
				return m.State == state
			}
		}
		return state == cherviltide.StateDead
	})
}

// AddTarget starts a further target of a service with its agent.
func (s *System) AddTarget(service ServicePlan, number int, speed time.Duration) error {
	return s.startTarget(service, number, speed, s.callers[service.Name])
}
