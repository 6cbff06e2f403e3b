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
	advisory = 0
	charts   = 1
	// chartBytes is larger than QUIC's flow control windows, so the target is still sending when the test reads.
	chartBytes = 48 << 20
	firstRead  = 1 << 20
)

var buildOnce = sync.OnceValues(func() (string, error) {
	folder, err := filepath.Abs(filepath.Join("..", "..", "bin"))
	if err != nil {
		return "", err
	}
	cmd := exec.Command("go", "build", "-o", folder+"/", "./cmd/cherviltide", "./cmd/cherviltide-bench")
	cmd.Dir = filepath.Join("..", "..")
	out, err := cmd.CombinedOutput()
	if err != nil {
		return string(out), err
	}
	return folder, nil
})

// startSystem runs the demo's plan for one test.
func startSystem(t *testing.T) *launcher.System {
	t.Helper()
	return startPlan(t, func(*launcher.Plan) {})
}

// startPlan runs the demo's plan with a change.
func startPlan(t *testing.T, change func(*launcher.Plan)) *launcher.System {
	t.Helper()
	folder, err := buildOnce()
	require.NoError(t, err, folder)
	plan := launcher.DemoPlan(t.TempDir(), filepath.Join(folder, "cherviltide"), filepath.Join(folder, "cherviltide-bench"))
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

// Guards against a planned stop, a join or an entry's crash that cuts a download under way.
func TestDownloadSurvivesChanges(t *testing.T) {
	s := startSystem(t)
	service := s.Plan.Services[charts]
	c := newCaller(t, s, s.Plan.Customer)
	res, err := c.Open(t.Context(), s.URL(service)+"/charts/world?bytes="+"50331648")
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	holder := res.Header.Get(responder.HeaderTarget)
	head := make([]byte, firstRead)
	_, err = io.ReadFull(res.Body, head)
	require.NoError(t, err)

	require.NoError(t, s.AddTarget(service, len(service.Speeds), 5*time.Millisecond))
	require.NoError(t, s.Signal("entry-1", syscall.SIGTERM))
	require.NoError(t, s.Signal(holder, syscall.SIGTERM))
	require.NoError(t, s.WaitForState(t.Context(), holder, cherviltide.StateLeaving))
	<-s.Ended("entry-1")
	require.NoError(t, s.Signal("entry-2", syscall.SIGKILL))
	<-s.Ended("entry-2")

	rest := readFor(t, res.Body, downloadTime(t))
	require.True(t, bytes.Equal(responder.Body("/charts/world", chartBytes), append(head, rest...)), "download is damaged")
	waitEnded(t, s, holder)
}

// Guards against requests that are lost or reach a target that has been leaving for more than 3 s.
func TestLeavingTargetGetsNothingNew(t *testing.T) {
	s := startSystem(t)
	service := s.Plan.Services[advisory]
	leaving := service.Name + "-1"
	left := time.Now()
	require.NoError(t, s.Signal(leaving, syscall.SIGTERM))
	ended := s.Ended(leaving)
	for running := true; running; {
		select {
		case <-ended:
			running = false
		default:
		}
		started := time.Now()
		a, err := newCaller(t, s, s.Plan.Customer).Get(t.Context(), s.URL(service), "/advisories/VECC", 2000)
		require.NoError(t, err)
		require.True(t, a.Whole, "answer %+v", a)
		if started.Sub(left) > 3*time.Second {
			require.NotEqual(t, leaving, a.Target)
		}
	}
}

// Guards against a crashed target that keeps receiving new flows.
func TestCrashedTargetIsReplaced(t *testing.T) {
	s := startSystem(t)
	service := s.Plan.Services[advisory]
	dead := service.Name + "-1"
	require.NoError(t, s.Signal(dead, syscall.SIGKILL))
	require.NoError(t, s.WaitForState(t.Context(), dead, cherviltide.StateDead))
	for range 20 {
		a, err := newCaller(t, s, s.Plan.Customer).Get(t.Context(), s.URL(service), "/advisories/VECC", 2000)
		require.NoError(t, err)
		require.True(t, a.Whole)
		require.NotEqual(t, dead, a.Target)
	}
}

// Guards against callers that reach a service without being allowed to.
func TestUnknownCustomerIsRefused(t *testing.T) {
	s := startSystem(t)
	a, err := newCaller(t, s, "stranger").Get(t.Context(), s.URL(s.Plan.Services[advisory]), "/advisories/VECC", 10)
	require.NoError(t, err)
	require.Equal(t, 403, a.Status)
	require.Equal(t, string(cherviltide.OutcomeRefused), a.Outcome)
	require.Empty(t, a.Target)
}

// Guards against packets of one service that reach a target of another.
func TestServicesStayApart(t *testing.T) {
	s := startSystem(t)
	for i, path := range map[int]string{advisory: "/advisories/VECC", charts: "/charts/world"} {
		service := s.Plan.Services[i]
		for range 10 {
			a, err := newCaller(t, s, s.Plan.Customer).Get(t.Context(), s.URL(service), path, 2000)
			require.NoError(t, err)
			require.True(t, strings.HasPrefix(a.Target, service.Name), "service %s answered by %s", service.Name, a.Target)
		}
	}
}

// downloadTime returns how long the rest of a download is to take: DOWNLOAD_TIME, or as fast as it comes. The name has not
// the prefix of settings, since the processes refuse unknown settings in the environment.
func downloadTime(t *testing.T) time.Duration {
	t.Helper()
	text := os.Getenv("DOWNLOAD_TIME")
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	require.NoError(t, err)
	return d
}

// readFor reads the rest of a chart evenly over a time.
func readFor(t *testing.T, body io.Reader, over time.Duration) []byte {
	t.Helper()
	var rest bytes.Buffer
	pause := max(over*firstRead/chartBytes, time.Nanosecond)
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for {
		n, err := io.CopyN(&rest, body, firstRead)
		if errors.Is(err, io.EOF) {
			return rest.Bytes()
		}
		require.NoError(t, err, "after %d bytes", rest.Len()+int(n))
		if over > 0 {
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
