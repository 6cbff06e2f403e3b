// Package subscriber runs many followers in one process and measures their traffic, memory and processor time.
package subscriber

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/follower"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/runner"
)

// AcceptedAtPrefix is the prefix of the name of a customer in each rules file. The rest of the name is the Unix time in
// nanoseconds at which the file was accepted.
const AcceptedAtPrefix = "at-"

// sampleInterval is the time between two samples of the views. It limits the precision of the measured delays.
const sampleInterval = 2 * time.Millisecond

// Usage is the traffic, memory and processor time of the followers of one process, and the delay of revisions.
type Usage struct {
	Subscribers int
	// Samples is the number of measured delays of all followers together.
	Samples            int
	P99, Max           time.Duration
	BytesPerSecond     float64
	CPUPercent         float64
	MemoryBytes        uint64
	AnnouncesPerSecond float64
}

// Run runs followers until all have a first state, then for the warm-up, and then for the given duration. It returns the
// usage of each follower in that duration.
func Run(ctx context.Context, control string, count int, warmUp, duration time.Duration) (Usage, error) {
	before := liveMemory()
	counter := &trafficCounter{}
	followers := make([]*follower.Follower, count)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group := runner.NewGroup(ctx, count)
	for i := range followers {
		followers[i] = newFollower(i, control, counter)
		group.Go("follower", followers[i].Run)
	}
	if err := waitForFirstState(ctx, followers); err != nil {
		return Usage{}, err
	}
	if _, err := measureDelays(ctx, followers, warmUp); err != nil {
		return Usage{}, err
	}
	bytes, announces, cpu, started := counter.bytes.Load(), counter.announces.Load(), CPU(), time.Now()
	delays, err := measureDelays(ctx, followers, duration)
	if err != nil {
		return Usage{}, err
	}
	seconds := time.Since(started).Seconds()
	followerSeconds := seconds * float64(count)
	u := Usage{
		Subscribers: count, Samples: len(delays),
		BytesPerSecond:     float64(counter.bytes.Load()-bytes) / followerSeconds,
		AnnouncesPerSecond: float64(counter.announces.Load()-announces) / followerSeconds,
		CPUPercent:         100 * (CPU() - cpu).Seconds() / followerSeconds,
		MemoryBytes:        (liveMemory() - before) / uint64(count),
	}
	runtime.KeepAlive(followers)
	if len(delays) > 0 {
		slices.Sort(delays)
		u.P99, u.Max = delays[len(delays)*99/100], delays[len(delays)-1]
	}
	cancel()
	return u, errors.Trace(group.Wait())
}

func newFollower(i int, control string, counter *trafficCounter) *follower.Follower {
	return follower.New(follower.Config{
		Member: cherviltide.Member{
			Name: fmt.Sprintf("entry-%d", i), Role: cherviltide.RoleEntry, Incarnation: uint64(time.Now().UnixNano()),
		},
		Control:          []string{control},
		NewClient:        counter.client,
		FillAnnouncement: func(*messenger.AnnounceRequest) { counter.announces.Add(1) },
		Log:              zap.NewNop(),
	})
}

// waitForFirstState waits until every follower has rules and tables.
func waitForFirstState(ctx context.Context, followers []*follower.Follower) error {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for _, f := range followers {
		for f.View().Rules.Revision == 0 || f.View().Base == 0 {
			select {
			case <-ctx.Done():
				return errors.Trace(ctx.Err())
			case <-ticker.C:
			}
		}
	}
	return nil
}

// measureDelays returns, for each follower and each revision that it applies within the duration, the time from the
// acceptance of the revision until it is in the follower's view.
func measureDelays(ctx context.Context, followers []*follower.Follower, duration time.Duration) ([]time.Duration, error) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	revisions := make([]uint64, len(followers))
	for i, f := range followers {
		revisions[i] = f.View().Rules.Revision
	}
	var delays []time.Duration
	for end := time.Now().Add(duration); time.Now().Before(end); {
		select {
		case <-ctx.Done():
			return nil, errors.Trace(ctx.Err())
		case <-ticker.C:
		}
		for i, f := range followers {
			rules := f.View().Rules
			if rules.Revision == revisions[i] {
				continue
			}
			if at, ok := acceptedAt(rules); ok && revisions[i] > 0 {
				delays = append(delays, time.Since(at))
			}
			revisions[i] = rules.Revision
		}
	}
	return delays, nil
}

// acceptedAt returns the time at which a rules file was accepted.
func acceptedAt(rules cherviltide.Rules) (time.Time, bool) {
	for _, c := range rules.Customers {
		if text, ok := strings.CutPrefix(c.Name, AcceptedAtPrefix); ok {
			n, err := strconv.ParseInt(text, 10, 64)
			return time.Unix(0, n), err == nil
		}
	}
	return time.Time{}, false
}

// liveMemory returns the number of live bytes on the heap and of the bytes in stacks.
func liveMemory() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// CPU returns the processor time that this process has used.
func CPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// trafficCounter counts announcements, and the bytes of connections in both directions without the headers of TCP and IP.
type trafficCounter struct {
	bytes, announces atomic.Uint64
}

// client returns a client whose connections are counted.
func (c *trafficCounter) client() *http.Client {
	return messenger.WrapConnections(messenger.NewClient(nil), func(conn net.Conn) net.Conn {
		return &countedConn{Conn: conn, count: &c.bytes}
	})
}

// countedConn is a connection that counts its bytes.
type countedConn struct {
	net.Conn
	count *atomic.Uint64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count.Add(uint64(n))
	return n, err
}
