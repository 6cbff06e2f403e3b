package launcher

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/juju/errors"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/bench/responder"
	"cherviltide.example/cherviltide/messenger"
)

// Signal sends a signal to the process with the given name.
func (s *System) Signal(name string, signal os.Signal) error {
	p, ok := s.Processes[name]
	if !ok {
		return errors.Errorf("process %s does not exist", name)
	}
	return p.Signal(signal)
}

// Ended returns a channel that is closed when the process with the given name has ended. The process must exist.
func (s *System) Ended(name string) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		_ = s.Processes[name].Wait()
		close(ended)
	}()
	return ended
}

// WaitFor polls the status until the condition holds. The description is for the error message.
func (s *System) WaitFor(ctx context.Context, description string, condition func(*messenger.StatusResponse) bool) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		res, err := s.Status(ctx)
		if err == nil && condition(res) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("timed out waiting until %s: last status %v, last error %v", description, res, err)
		case <-time.After(pollInterval):
		}
	}
}

// WaitForState waits until a member has a state. Control removes dead members, so an unknown member counts as dead.
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

// Executions returns how often the request with an idempotency key was executed, by the name of the agent of each target
// that executed it.
func (s *System) Executions(ctx context.Context, key string) (map[string]int, error) {
	executions := map[string]int{}
	for name, address := range s.Targets {
		url := "http://" + address.String() + responder.ExecutionsPath + "?key=" + key
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return nil, errors.Trace(err)
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return nil, errors.Trace(err)
		}
		body, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err != nil {
			return nil, errors.Trace(err)
		}
		n, err := strconv.Atoi(string(body))
		if err != nil {
			return nil, errors.Trace(err)
		}
		if n > 0 {
			executions[name] = n
		}
	}
	return executions, nil
}

// AddTarget starts an additional target of a service and its agent, and waits until the target listens.
func (s *System) AddTarget(service ServicePlan, number int, serviceTime time.Duration) error {
	if err := s.startTarget(service, number, serviceTime, s.callerIdentities[service.Name]); err != nil {
		return err
	}
	return awaitListener(s.Targets[fmt.Sprintf("%s-%d", service.Name, number+1)])
}

// awaitListener waits until a process listens at an address, so that it can be asked for its executions.
func awaitListener(address netip.AddrPort) error {
	for deadline := time.Now().Add(startTimeout); ; {
		conn, err := net.DialTimeout("tcp", address.String(), startTimeout)
		if err == nil {
			return errors.Trace(conn.Close())
		}
		if time.Now().After(deadline) {
			return errors.Annotatef(err, "no process listens at %s", address)
		}
		time.Sleep(pollInterval)
	}
}
