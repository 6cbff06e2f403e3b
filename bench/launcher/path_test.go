package launcher_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/bench/caller"
	"cherviltide.example/cherviltide/bench/launcher"
	"cherviltide.example/cherviltide/bench/responder"
)

const (
	// advisory and charts are the indexes of the services in the demo's plan.
	advisory = 0
	charts   = 1
	// chartSize is larger than QUIC's flow control windows, so the target is still sending while the test reads.
	chartSize = 48 << 20
	readSize  = 1 << 20
)

// buildBinaries builds the programs once and returns their directory.
var buildBinaries = sync.OnceValues(func() (string, error) {
	dir, err := filepath.Abs(filepath.Join("..", "..", "bin"))
	if err != nil {
		return "", err
	}
	cmd := exec.Command("go", "build", "-o", dir+"/", "./cmd/cherviltide", "./cmd/cherviltide-bench")
	cmd.Dir = filepath.Join("..", "..")
	out, err := cmd.CombinedOutput()
	if err != nil {
		return string(out), err
	}
	return dir, nil
})

// startSystem starts the demo's plan for one test.
func startSystem(t *testing.T) *launcher.System {
	t.Helper()
	return startPlan(t, func(*launcher.Plan) {})
}

// startPlan changes the demo's plan and starts it.
func startPlan(t *testing.T, change func(*launcher.Plan)) *launcher.System {
	t.Helper()
	dir, err := buildBinaries()
	require.NoError(t, err, dir)
	plan := launcher.DemoPlan(t.TempDir(), filepath.Join(dir, "cherviltide"), filepath.Join(dir, "cherviltide-bench"))
	change(&plan)
	system, err := launcher.Start(t.Context(), plan)
	require.NoError(t, err)
	t.Cleanup(system.Stop)
	return system
}

func newCaller(t *testing.T, s *launcher.System, customer string) *caller.Caller {
	t.Helper()
	config, err := s.CallerTLS(customer)
	require.NoError(t, err)
	c := caller.New(config)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against a download that is interrupted by a joining target, a stopping entry, a leaving target or a killed entry.
func TestDownloadSurvivesChanges(t *testing.T) {
	s := startSystem(t)
	service := s.Plan.Services[charts]
	c := newCaller(t, s, s.Plan.Customer)
	res, err := c.Open(t.Context(), s.URL(service)+"/charts/world?bytes="+"50331648")
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	target := res.Header.Get(responder.HeaderTarget)
	firstBytes := make([]byte, readSize)
	_, err = io.ReadFull(res.Body, firstBytes)
	require.NoError(t, err)

	require.NoError(t, s.AddTarget(service, len(service.ServiceTimes), 5*time.Millisecond))
	require.NoError(t, s.Signal("entry-1", syscall.SIGTERM))
	require.NoError(t, s.Signal(target, syscall.SIGTERM))
	require.NoError(t, s.WaitForState(t.Context(), target, cherviltide.StateLeaving))
	<-s.Ended("entry-1")
	require.NoError(t, s.Signal("entry-2", syscall.SIGKILL))
	<-s.Ended("entry-2")

	rest := readEvenly(t, res.Body, downloadTime(t))
	require.True(t, bytes.Equal(responder.Body("/charts/world", chartSize), append(firstBytes, rest...)), "download is corrupted")
	waitEnded(t, s, target)
}

// Guards against requests that fail while a target leaves, or that reach a target that has been leaving for more than 3 s.
func TestLeavingTargetGetsNothingNew(t *testing.T) {
	s := startSystem(t)
	service := s.Plan.Services[advisory]
	leaving := service.Name + "-1"
	signalledAt := time.Now()
	require.NoError(t, s.Signal(leaving, syscall.SIGTERM))
	ended := s.Ended(leaving)
	for running := true; running; {
		select {
		case <-ended:
			running = false
		default:
		}
		started := time.Now()
		response, err := newCaller(t, s, s.Plan.Customer).Get(t.Context(), s.URL(service), "/advisories/VECC", 2000)
		require.NoError(t, err)
		require.True(t, response.Complete, "response %+v", response)
		if started.Sub(signalledAt) > 3*time.Second {
			require.NotEqual(t, leaving, response.Target)
		}
	}
}

// Guards against new flows that are sent to a target whose agent was killed, once control considers the agent dead.
func TestCrashedTargetIsReplaced(t *testing.T) {
	s := startSystem(t)
	service := s.Plan.Services[advisory]
	killed := service.Name + "-1"
	require.NoError(t, s.Signal(killed, syscall.SIGKILL))
	require.NoError(t, s.WaitForState(t.Context(), killed, cherviltide.StateDead))
	for range 20 {
		response, err := newCaller(t, s, s.Plan.Customer).Get(t.Context(), s.URL(service), "/advisories/VECC", 2000)
		require.NoError(t, err)
		require.True(t, response.Complete)
		require.NotEqual(t, killed, response.Target)
	}
}

// Guards against callers that reach a target although the rules do not allow their customer.
func TestUnknownCustomerIsRefused(t *testing.T) {
	s := startSystem(t)
	response, err := newCaller(t, s, "stranger").Get(t.Context(), s.URL(s.Plan.Services[advisory]), "/advisories/VECC", 10)
	require.NoError(t, err)
	require.Equal(t, 403, response.Status)
	require.Equal(t, string(cherviltide.OutcomeRefused), response.Outcome)
	require.Empty(t, response.Target)
}

// Guards against packets of one service that reach a target of another.
func TestServicesAreIsolated(t *testing.T) {
	s := startSystem(t)
	for i, path := range map[int]string{advisory: "/advisories/VECC", charts: "/charts/world"} {
		service := s.Plan.Services[i]
		for range 10 {
			response, err := newCaller(t, s, s.Plan.Customer).Get(t.Context(), s.URL(service), path, 2000)
			require.NoError(t, err)
			require.True(t, strings.HasPrefix(response.Target, service.Name), "request to service %s was answered by target %s", service.Name, response.Target)
		}
	}
}

// downloadTime returns how long the rest of a download takes: DOWNLOAD_TIME, or 0 for as fast as possible. The variable
// lacks the prefix of the settings, since the processes reject unknown settings in the environment.
func downloadTime(t *testing.T) time.Duration {
	t.Helper()
	value := os.Getenv("DOWNLOAD_TIME")
	if value == "" {
		return 0
	}
	d, err := time.ParseDuration(value)
	require.NoError(t, err)
	return d
}

// readEvenly reads the rest of a chart evenly over a duration.
func readEvenly(t *testing.T, body io.Reader, duration time.Duration) []byte {
	t.Helper()
	var rest bytes.Buffer
	interval := max(duration*readSize/chartSize, time.Nanosecond)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		n, err := io.CopyN(&rest, body, readSize)
		if errors.Is(err, io.EOF) {
			return rest.Bytes()
		}
		require.NoError(t, err, "after %d bytes", rest.Len()+int(n))
		if duration > 0 {
			<-ticker.C
		}
	}
}

func waitEnded(t *testing.T, s *launcher.System, name string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	select {
	case <-s.Ended(name):
	case <-ctx.Done():
		require.Fail(t, name+" did not end")
	}
}
