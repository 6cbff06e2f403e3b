package measurer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/bench/subscriber"
	"cherviltide.example/cherviltide/distributor"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/tracker"
)

// Load of the distribution cases. The target size has 0.15 changes of the rules and 0.02 member events a second.
const (
	changeInterval = time.Second
	// memberEvery is how many changes of the rules come with a suspicion or its end, and the release that follows.
	memberEvery = 4
	warmUp      = 2 * time.Second
	observed    = 5 * time.Second
	bucketsEach = 1024
)

// serving is a control instance reduced to distribution. One goroutine changes it.
type serving struct {
	tracker     *tracker.Tracker
	distributor *distributor.Distributor
	index       uint64
	revision    uint64
	services    int
	url         string
	close       func() error
}

func newServing(services, targets int) (*serving, error) {
	s := &serving{tracker: tracker.New(), distributor: distributor.New(), services: services}
	mux := http.NewServeMux()
	messenger.Follow.Handle(mux, s.distributor.Serve)
	messenger.Announce.Handle(mux, func(context.Context, *messenger.AnnounceRequest) (*messenger.AnnounceResponse, error) {
		return &messenger.AnnounceResponse{Lease: tracker.LeaseDuration}, nil
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	server := messenger.NewServer(mux, nil)
	go func() { _ = server.Serve(listener) }()
	s.url, s.close = "http://"+listener.Addr().String(), server.Close
	s.commit(tracker.NewFoundedEvent(cherviltide.Millis(time.Now().UnixMilli())))
	for i := range services {
		s.commit(cherviltide.MemberEvent{
			Type: cherviltide.EventDefined, Member: cherviltide.Member{Service: serviceName(i)}, Buckets: bucketsEach,
		})
	}
	for i := range targets {
		s.commit(cherviltide.MemberEvent{Type: cherviltide.EventJoined, Member: s.member(i)})
	}
	for i := range targets {
		s.release(i)
	}
	s.change()
	return s, nil
}

func serviceName(i int) string { return fmt.Sprintf("service-%d", i) }

// member returns the target with the given number; targets are given to services in turn.
func (s *serving) member(i int) cherviltide.Member {
	service := serviceName(i % s.services)
	return cherviltide.Member{
		Name: fmt.Sprintf("%s-%d", service, i/s.services), Role: cherviltide.RoleAgent, Service: service,
		Incarnation: 1_800_000_000_000_000_000 + uint64(i), Weight: 1000, FailureDomain: "muc-a", Region: "munich",
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000),
		Peer:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7001),
	}
}

func (s *serving) commit(events ...cherviltide.MemberEvent) {
	for _, e := range events {
		if entry, err := tracker.Encode(e); err == nil {
			s.index++
			s.tracker.Apply(s.index, entry)
		}
	}
}

// release drops the history of a target, as an agent without flows allows it.
func (s *serving) release(i int) {
	s.commit(cherviltide.MemberEvent{Type: cherviltide.EventReleased, Member: s.member(i), Generation: s.tracker.Position()})
}

// change accepts a rules file that differs from the one before in one line, and publishes the state.
func (s *serving) change() {
	s.revision++
	var text strings.Builder
	for i := range s.services {
		fmt.Fprintf(&text, "Service %s Address 10.9.%d.%d:443 # requested by measurer\n", serviceName(i), i>>8, i&255)
	}
	fmt.Fprintf(&text, "Customer %s%d Services %s # requested by measurer\n", subscriber.Stamp, time.Now().UnixNano(), serviceName(0))
	events, oldest := s.tracker.Events()
	s.distributor.Publish(distributor.State{
		Revision: s.revision, Text: text.String(), Base: s.tracker.Base(), Position: s.tracker.Position(),
		EventsSince: oldest, Events: events, Tables: s.tracker.Tables(),
	})
}

// size is the size of a system whose distribution is measured.
type size struct{ services, targets, subscribers int }

// distributionTargets and distributionServices measure followers in a process of their own at two sizes each. A first
// state costs a follower one placement for each service, so the larger sizes have fewer followers.
func distributionTargets(ctx context.Context, _ uint64, emit func(Line)) error {
	return distributeAll(ctx, emit, size{10, 100, 300}, size{10, 400, 100})
}

func distributionServices(ctx context.Context, _ uint64, emit func(Line)) error {
	return distributeAll(ctx, emit, size{10, 400, 100}, size{40, 400, 100})
}

func distributeAll(ctx context.Context, emit func(Line), sizes ...size) error {
	for _, x := range sizes {
		if err := distribute(ctx, x, emit); err != nil {
			return err
		}
	}
	return nil
}

func distribute(ctx context.Context, x size, emit func(Line)) error {
	before := liveBytes()
	s, err := newServing(x.services, x.targets)
	if err != nil {
		return err
	}
	defer func() { _ = s.close() }()
	memory := max(liveBytes(), before) - before
	self, err := os.Executable()
	if err != nil {
		return errors.Trace(err)
	}
	var out bytes.Buffer
	child := exec.CommandContext(ctx, self, "subscribe", "--control", s.url, "--count", strconv.Itoa(x.subscribers),
		"--warm", warmUp.String(), "--span", observed.String())
	child.Stdout, child.Stderr = &out, os.Stderr
	cpu, started := subscriber.CPU(), time.Now()
	if err := child.Start(); err != nil {
		return errors.Trace(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- child.Wait() }()
	ticker := time.NewTicker(changeInterval)
	defer ticker.Stop()
	for i, running := 0, true; running; i++ {
		select {
		case err = <-ended:
			running = false
		case <-ticker.C:
			if i%memberEvery == 0 {
				kind := []cherviltide.EventType{cherviltide.EventSuspected, cherviltide.EventCleared}[i/memberEvery%2]
				s.commit(cherviltide.MemberEvent{Type: kind, Member: s.member(0)})
				s.release(0)
			}
			s.change()
		}
	}
	share := 100 * (subscriber.CPU() - cpu).Seconds() / time.Since(started).Seconds()
	var u subscriber.Usage
	if err == nil {
		err = json.Unmarshal(out.Bytes(), &u)
	}
	if err != nil {
		return errors.Annotate(err, "subscribers")
	}
	report(u, fmt.Sprintf("%d services, %d targets", x.services, x.targets), share, memory, emit)
	return nil
}

// report prints the usage of a subscriber and of the serving instance.
func report(u subscriber.Usage, size string, share float64, memory uint64, emit func(Line)) {
	emit(Line{
		Variant: "Subscriber, " + size, Subscribers: Of(u.Subscribers),
		InForceP99Ms: Of(float64(u.P99.Microseconds()) / 1000), InForceMaxMs: Of(float64(u.Max.Microseconds()) / 1000),
		BytesPerSecond: Of(u.BytesPerSecond), CPUPercent: Of(u.CPUPercent), MemoryBytes: Of(u.MemoryBytes),
		Note: fmt.Sprintf("each of the subscribers, with 1 rules change, 0.25 to 0.5 member events and %.2f announcements a second; "+
			"bytes in both directions without TLS and TCP headers; %d times in force", u.AnnouncesPerSecond, u.Samples),
	})
	emit(Line{
		Variant: "Serving instance, " + size, Subscribers: Of(u.Subscribers), CPUPercent: Of(share), MemoryBytes: Of(memory),
		Note: "processor time includes start and end of the subscribers; memory is before they connect",
	})
}

// catchUp measures a follower that returns after 1,000 missed changes.
func catchUp(ctx context.Context, _ uint64, emit func(Line)) error {
	for _, variant := range []string{"1,000 member events", "1,000 rules changes"} {
		s, err := newServing(10, 400)
		if err != nil {
			return err
		}
		r, err := subscriber.NewReturner(ctx, s.url)
		if err == nil {
			err = r.Until(ctx, s.revision, s.tracker.Position())
		}
		if err != nil {
			_ = s.close()
			return errors.Trace(err)
		}
		r.Stop()
		for i := range 1_000 {
			if variant == "1,000 rules changes" {
				s.change()
				continue
			}
			kind := []cherviltide.EventType{cherviltide.EventSuspected, cherviltide.EventCleared}[i%2]
			s.commit(cherviltide.MemberEvent{Type: kind, Member: s.member(i / 2 % 400)})
		}
		s.change()
		started, cpu := time.Now(), subscriber.CPU()
		received, err := r.Return(ctx, s.revision, s.tracker.Position())
		took := float64(time.Since(started).Microseconds()) / 1000
		_ = s.close()
		if err != nil {
			return errors.Trace(err)
		}
		emit(Line{Variant: variant, Subscribers: Of(1), InForceMaxMs: Of(took), Note: fmt.Sprintf(
			"%d bytes in both directions, %d ms of processor time of the follower and the instance; 10 services, 400 targets",
			received, (subscriber.CPU() - cpu).Milliseconds())})
	}
	return nil
}

// liveBytes returns the live bytes of the heap. Two collections also free what is kept in pools.
func liveBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
