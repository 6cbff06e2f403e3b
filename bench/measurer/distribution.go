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

// Load of the distribution cases. A system of the target size has 0.15 rule changes and 0.02 member events a second.
const (
	changeInterval = time.Second
	// changesPerMemberEvent is the number of rule changes for each Suspected or Cleared event and the Released event after
	// it.
	changesPerMemberEvent = 4
	warmUp                = 2 * time.Second
	observationTime       = 5 * time.Second
	bucketsPerService     = 1024
)

// distributionServer is the part of a control instance that distributes state. Only one goroutine changes it.
type distributionServer struct {
	tracker     *tracker.Tracker
	distributor *distributor.Distributor
	index       uint64
	revision    uint64
	services    int
	url         string
	close       func() error
}

func newDistributionServer(services, targets int) (*distributionServer, error) {
	s := &distributionServer{tracker: tracker.New(), distributor: distributor.New(), services: services}
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
			Type: cherviltide.EventDefined, Member: cherviltide.Member{Service: serviceName(i)}, Buckets: bucketsPerService,
		})
	}
	for i := range targets {
		s.commit(cherviltide.MemberEvent{Type: cherviltide.EventJoined, Member: s.member(i)})
	}
	for i := range targets {
		s.release(i)
	}
	s.changeRules()
	return s, nil
}

func serviceName(i int) string { return fmt.Sprintf("service-%d", i) }

// member returns the agent of the target with the given number; targets are assigned to services in rotation.
func (s *distributionServer) member(i int) cherviltide.Member {
	service := serviceName(i % s.services)
	return cherviltide.Member{
		Name: fmt.Sprintf("%s-%d", service, i/s.services), Role: cherviltide.RoleAgent, Service: service,
		Incarnation: 1_800_000_000_000_000_000 + uint64(i), Weight: 1000, FailureDomain: "muc-a", Region: "munich",
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000),
		Peer:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7001),
	}
}

func (s *distributionServer) commit(events ...cherviltide.MemberEvent) {
	for _, e := range events {
		if entry, err := tracker.Encode(e); err == nil {
			s.index++
			s.tracker.Apply(s.index, entry)
		}
	}
}

// release appends the Released event of an agent without flows, which drops it from the history.
func (s *distributionServer) release(i int) {
	s.commit(cherviltide.MemberEvent{Type: cherviltide.EventReleased, Member: s.member(i), Generation: s.tracker.Position()})
}

// changeRules publishes the state with a new rules file that differs from the previous one in one line.
func (s *distributionServer) changeRules() {
	s.revision++
	var text strings.Builder
	for i := range s.services {
		fmt.Fprintf(&text, "Service %s Address 10.9.%d.%d:443 # requested by measurer\n", serviceName(i), i>>8, i&255)
	}
	fmt.Fprintf(&text, "Customer %s%d Services %s # requested by measurer\n", subscriber.AcceptedAtPrefix, time.Now().UnixNano(), serviceName(0))
	events, oldest := s.tracker.Events()
	s.distributor.Publish(distributor.State{
		Revision: s.revision, Text: text.String(), Base: s.tracker.Base(), Position: s.tracker.Position(),
		EventsSince: oldest, Events: events, Tables: s.tracker.Tables(),
	})
}

// systemSize is the size of a system whose distribution is measured.
type systemSize struct{ services, targets, subscribers int }

// distributionTargets and distributionServices measure followers in a separate process, at two sizes each. A follower
// computes the placement of each service for its first state, so the larger sizes have fewer followers.
func distributionTargets(ctx context.Context, _ uint64, emit func(Line)) error {
	return measureDistributions(ctx, emit, systemSize{10, 100, 300}, systemSize{10, 400, 100})
}

func distributionServices(ctx context.Context, _ uint64, emit func(Line)) error {
	return measureDistributions(ctx, emit, systemSize{10, 400, 100}, systemSize{40, 400, 100})
}

func measureDistributions(ctx context.Context, emit func(Line), sizes ...systemSize) error {
	for _, size := range sizes {
		if err := measureDistribution(ctx, size, emit); err != nil {
			return err
		}
	}
	return nil
}

func measureDistribution(ctx context.Context, size systemSize, emit func(Line)) error {
	before := liveHeapBytes()
	s, err := newDistributionServer(size.services, size.targets)
	if err != nil {
		return err
	}
	defer func() { _ = s.close() }()
	memory := max(liveHeapBytes(), before) - before
	self, err := os.Executable()
	if err != nil {
		return errors.Trace(err)
	}
	var out bytes.Buffer
	child := exec.CommandContext(ctx, self, "subscribe", "--control", s.url, "--count", strconv.Itoa(size.subscribers),
		"--warm", warmUp.String(), "--span", observationTime.String())
	child.Stdout, child.Stderr = &out, os.Stderr
	cpuBefore, started := subscriber.CPU(), time.Now()
	if err := child.Start(); err != nil {
		return errors.Trace(err)
	}
	exited := make(chan error, 1)
	go func() { exited <- child.Wait() }()
	ticker := time.NewTicker(changeInterval)
	defer ticker.Stop()
	for i, running := 0, true; running; i++ {
		select {
		case err = <-exited:
			running = false
		case <-ticker.C:
			if i%changesPerMemberEvent == 0 {
				eventType := []cherviltide.EventType{cherviltide.EventSuspected, cherviltide.EventCleared}[i/changesPerMemberEvent%2]
				s.commit(cherviltide.MemberEvent{Type: eventType, Member: s.member(0)})
				s.release(0)
			}
			s.changeRules()
		}
	}
	cpuPercent := 100 * (subscriber.CPU() - cpuBefore).Seconds() / time.Since(started).Seconds()
	var usage subscriber.Usage
	if err == nil {
		err = json.Unmarshal(out.Bytes(), &usage)
	}
	if err != nil {
		return errors.Annotate(err, "subscribers")
	}
	emitUsage(usage, fmt.Sprintf("%d services, %d targets", size.services, size.targets), cpuPercent, memory, emit)
	return nil
}

// emitUsage emits the usage of a subscriber and of the serving instance.
func emitUsage(usage subscriber.Usage, description string, cpuPercent float64, memory uint64, emit func(Line)) {
	emit(Line{
		Variant: "Subscriber, " + description, Subscribers: Ptr(usage.Subscribers),
		InForceP99Ms: Ptr(float64(usage.P99.Microseconds()) / 1000), InForceMaxMs: Ptr(float64(usage.Max.Microseconds()) / 1000),
		BytesPerSecond: Ptr(usage.BytesPerSecond), CPUPercent: Ptr(usage.CPUPercent), MemoryBytes: Ptr(usage.MemoryBytes),
		Note: fmt.Sprintf("each of the subscribers, with 1 rules change, 0.25 to 0.5 member events and %.2f announcements a second; "+
			"bytes in both directions without TLS and TCP headers; %d times in force", usage.AnnouncesPerSecond, usage.Samples),
	})
	emit(Line{
		Variant: "Serving instance, " + description, Subscribers: Ptr(usage.Subscribers), CPUPercent: Ptr(cpuPercent), MemoryBytes: Ptr(memory),
		Note: "processor time includes start and end of the subscribers; memory is before they connect",
	})
}

// measureCatchUp measures a follower that reconnects after 1,000 missed changes.
func measureCatchUp(ctx context.Context, _ uint64, emit func(Line)) error {
	for _, variant := range []string{"1,000 member events", "1,000 rules changes"} {
		s, err := newDistributionServer(10, 400)
		if err != nil {
			return err
		}
		follower, err := subscriber.NewReconnectingFollower(ctx, s.url)
		if err == nil {
			err = follower.WaitFor(ctx, s.revision, s.tracker.Position())
		}
		if err != nil {
			_ = s.close()
			return errors.Trace(err)
		}
		follower.Stop()
		for i := range 1_000 {
			if variant == "1,000 rules changes" {
				s.changeRules()
				continue
			}
			eventType := []cherviltide.EventType{cherviltide.EventSuspected, cherviltide.EventCleared}[i%2]
			s.commit(cherviltide.MemberEvent{Type: eventType, Member: s.member(i / 2 % 400)})
		}
		s.changeRules()
		started, cpuBefore := time.Now(), subscriber.CPU()
		bytesTransferred, err := follower.Reconnect(ctx, s.revision, s.tracker.Position())
		took := float64(time.Since(started).Microseconds()) / 1000
		_ = s.close()
		if err != nil {
			return errors.Trace(err)
		}
		emit(Line{Variant: variant, Subscribers: Ptr(1), InForceMaxMs: Ptr(took), Note: fmt.Sprintf(
			"%d bytes in both directions, %d ms of processor time of the follower and the instance; 10 services, 400 targets",
			bytesTransferred, (subscriber.CPU() - cpuBefore).Milliseconds())})
	}
	return nil
}

// liveHeapBytes returns the number of live bytes on the heap. It collects garbage twice, which also frees the objects in
// pools.
func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
