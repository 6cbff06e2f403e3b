package measurer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/bench/throttler"
	"cherviltide.example/cherviltide/distributor"
	"cherviltide.example/cherviltide/follower"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/runner"
)

const (
	// thinLinkLines is the number of lines of the rules, about those of the target size.
	thinLinkLines = 12_000
	// manyNewLines is the number of lines that a large change adds.
	manyNewLines = 1_500
	// inForceTimeout bounds the wait for a revision.
	inForceTimeout = time.Minute
)

// thinLinkRates has the bandwidths in bits a second.
var thinLinkRates = []int{1_500_000, 5_000_000, 100_000_000}

// thinLinks measures how long a process on a thin link takes to have a new revision in its view, from the publication on: the whole text,
// as at a start and as was sent for each change of a numbered file before, a change of one line and a change that adds many.
func thinLinks(ctx context.Context, seed uint64, emit func(Line)) error {
	for _, rate := range thinLinkRates {
		if err := measureThinLink(ctx, rate, seed, emit); err != nil {
			return errors.Annotatef(err, "%d bit/s", rate)
		}
	}
	return nil
}

func measureThinLink(ctx context.Context, rate int, seed uint64, emit func(Line)) error {
	text := newNumberedRules(seed, thinLinkLines)
	d := distributor.New()
	mux := http.NewServeMux()
	messenger.Follow.Handle(mux, d.Serve)
	messenger.Announce.Handle(mux, func(context.Context, *messenger.AnnounceRequest) (*messenger.AnnounceResponse, error) {
		return &messenger.AnnounceResponse{Lease: cherviltide.MillisOf(inForceTimeout)}, nil
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Trace(err)
	}
	server := messenger.NewServer(mux, nil)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	link := throttler.New(rate / 8)
	f := follower.New(follower.Config{
		Member: cherviltide.Member{Name: "entry-1", Role: cherviltide.RoleEntry}, Control: []string{"http://" + listener.Addr().String()},
		NewClient: link.Client, FillAnnouncement: func(*messenger.AnnounceRequest) {}, Log: zap.NewNop(),
	})
	group := runner.NewGroup(ctx, 2)
	group.Go("serve", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return errors.Trace(err)
		}
		return nil
	})
	group.Go("follow", f.Run)
	for i, change := range []struct {
		variant string
		apply   func()
	}{
		{"WholeText", func() {}},
		{"OneLine", func() { text.changeLine(thinLinkLines / 2) }},
		{"ManyLines", func() { text.addLines(manyNewLines) }},
	} {
		change.apply()
		content := text.next()
		received, published := link.Received(), time.Now()
		d.Publish(distributor.State{Revision: uint64(i) + 1, Text: content, Base: 1, Position: 1, EventsSince: 1})
		if err := waitForRevision(ctx, f, uint64(i)+1); err != nil {
			return err
		}
		emit(Line{
			Variant: change.variant, InForceMaxMs: Ptr(float64(time.Since(published).Microseconds()) / 1000),
			Note: fmt.Sprintf("%.1f Mbit/s, rules of %d bytes, %d bytes received", float64(rate)/1e6, len(content), link.Received()-received),
		})
	}
	cancel()
	return errors.Trace(group.Wait())
}

// waitForRevision waits until a follower's view has a revision.
func waitForRevision(ctx context.Context, f *follower.Follower, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for f.View().Rules.Revision < revision {
		select {
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "revision %d", revision)
		case <-ticker.C:
		}
	}
	return nil
}

// numberedRules is a rules file whose first line has its number.
type numberedRules struct {
	random *rand.Rand
	number int
	lines  []string
}

func newNumberedRules(seed uint64, lines int) *numberedRules {
	r := &numberedRules{random: rand.New(rand.NewPCG(seed, 1))}
	r.addLines(lines)
	return r
}

func (r *numberedRules) changeLine(i int) { r.lines[i] = r.newLine() }

func (r *numberedRules) addLines(n int) {
	for range n {
		r.lines = append(r.lines, r.newLine())
	}
}

func (r *numberedRules) newLine() string {
	return fmt.Sprintf("Customer customer-%016x Services desk # requested by operator-%d", r.random.Uint64(), r.random.IntN(100))
}

// next returns the text under the next number.
func (r *numberedRules) next() string {
	r.number++
	return fmt.Sprintf("# number %d\nService desk Address 127.9.0.1:443 Buckets 64 # requested by operator-1\n%s\n", r.number, strings.Join(r.lines, "\n"))
}
