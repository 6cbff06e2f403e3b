// Package subscriber runs many followers in one process and measures what they receive and use.
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

// Stamp is the prefix of the customer in each rules file whose name carries the time of its acceptance in nanoseconds.
const Stamp = "at-"

// sampleInterval is the time between two looks at the views; it bounds the precision of the times in force.
const sampleInterval = 2 * time.Millisecond

// Usage is what the followers of one process received and used.
type Usage struct {
	Subscribers int
	// Samples is the number of revisions seen by all followers together.
	Samples            int
	P99, Max           time.Duration
	BytesPerSecond     float64
	CPUPercent         float64
	MemoryBytes        uint64
	AnnouncesPerSecond float64
}

// Run runs count followers until all have a first state, then for the warm-up and the span after it, and returns the usage
// of each in the span.
func Run(ctx context.Context, control string, count int, warm, span time.Duration) (Usage, error) {
	before := heap()
	counted := &counter{}
	followers := make([]*follower.Follower, count)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group := runner.NewGroup(ctx, count)
	for i := range followers {
		followers[i] = newFollower(i, control, counted)
		group.Go("follower", followers[i].Run)
	}
	if err := settle(ctx, followers); err != nil {
		return Usage{}, err
	}
	if _, err := observe(ctx, followers, warm); err != nil {
		return Usage{}, err
	}
	bytes, announces, cpu, started := counted.bytes.Load(), counted.announces.Load(), CPU(), time.Now()
	times, err := observe(ctx, followers, span)
	if err != nil {
		return Usage{}, err
	}
	seconds := time.Since(started).Seconds()
	each := seconds * float64(count)
	u := Usage{
		Subscribers: count, Samples: len(times),
		BytesPerSecond:     float64(counted.bytes.Load()-bytes) / each,
		AnnouncesPerSecond: float64(counted.announces.Load()-announces) / each,
		CPUPercent:         100 * (CPU() - cpu).Seconds() / each,
		MemoryBytes:        (heap() - before) / uint64(count),
	}
	runtime.KeepAlive(followers)
	if len(times) > 0 {
		slices.Sort(times)
		u.P99, u.Max = times[len(times)*99/100], times[len(times)-1]
	}
	cancel()
	return u, errors.Trace(group.Wait())
}

func newFollower(i int, control string, counted *counter) *follower.Follower {
	return follower.New(follower.Config{
		Member: cherviltide.Member{
			Name: fmt.Sprintf("entry-%d", i), Role: cherviltide.RoleEntry, Incarnation: uint64(time.Now().UnixNano()),
		},
		Control:          []string{control},
		NewClient:        counted.client,
		FillAnnouncement: func(*messenger.AnnounceRequest) { counted.announces.Add(1) },
		Log:              zap.NewNop(),
	})
}

// settle waits until every follower has rules and tables.
func settle(ctx context.Context, followers []*follower.Follower) error {
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

// observe returns how long after its acceptance each revision was seen in each follower's view during the span.
func observe(ctx context.Context, followers []*follower.Follower, span time.Duration) ([]time.Duration, error) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	seen := make([]uint64, len(followers))
	for i, f := range followers {
		seen[i] = f.View().Rules.Revision
	}
	var times []time.Duration
	for end := time.Now().Add(span); time.Now().Before(end); {
		select {
		case <-ctx.Done():
			return nil, errors.Trace(ctx.Err())
		case <-ticker.C:
		}
		for i, f := range followers {
			rules := f.View().Rules
			if rules.Revision == seen[i] {
				continue
			}
			if at, ok := stampOf(rules); ok && seen[i] > 0 {
				times = append(times, time.Since(at))
			}
			seen[i] = rules.Revision
		}
	}
	return times, nil
}

// stampOf returns when a rules file was accepted.
func stampOf(rules cherviltide.Rules) (time.Time, bool) {
	for _, c := range rules.Customers {
		if text, ok := strings.CutPrefix(c.Name, Stamp); ok {
			n, err := strconv.ParseInt(text, 10, 64)
			return time.Unix(0, n), err == nil
		}
	}
	return time.Time{}, false
}

// heap returns the live bytes of the heap and the stacks.
func heap() uint64 {
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

// counter counts the bytes of connections in both directions, without the headers of TCP and IP.
type counter struct {
	bytes, announces atomic.Uint64
}

// client returns a client whose connections are counted.
func (c *counter) client() *http.Client {
	client := messenger.NewClient(nil)
	transport := client.Transport.(*http.Transport)
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, count: &c.bytes}, nil
	}
	return client
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
