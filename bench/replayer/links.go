package replayer

import (
	"math"
	"math/rand/v2"
	"net/netip"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/shaper"
)

// LinkPattern is a load of uploads and small requests on the links of entries.
type LinkPattern struct {
	// Entries is the number of entries, each of them with a link of Rate bytes a second.
	Entries int
	Rate    int64
	// FastEntries is the number of further entries with links of 100 Mbit/s. Callers choose among all entries alike.
	FastEntries int
	// Separate is true when the links carry Rate in each direction at the same time.
	Separate bool
	// Load is the sum of all packets, if each is sent once, relative to what as many links of Rate carry.
	Load float64
	// Duration is how long requests arrive.
	Duration cherviltide.Millis
	// ArrivalOrder makes entries forward all packets in the order of their arrival. It is the baseline for comparison.
	ArrivalOrder bool
	// Directions is what the entries know of Separate.
	Directions shaper.Directions
}

// ThinLinks returns a load on the links of 3.9 Mbit/s of four entries.
func ThinLinks(load float64, separate bool) LinkPattern {
	return LinkPattern{Entries: 4, Rate: 487_500, Load: load, Duration: 20_000, Separate: separate}
}

// MixedLinks returns a load on the entries of a failure domain of deployment A: five thin links and two fast ones.
func MixedLinks(load float64, separate bool) LinkPattern {
	p := ThinLinks(load, separate)
	p.Entries, p.FastEntries = 5, 2
	return p
}

// LinkReport is the outcome of a load on links.
type LinkReport struct {
	// PerSecond has the results by kind and second of arrival, and Kinds those of the whole run.
	PerSecond Results
	Kinds     map[string]*Result
	// Offered and Goodput are the payload of all requests and of those that were complete before their deadline, in bytes a second.
	Offered, Goodput float64
	// DataPackets counts the packets with data that targets received, and Copies those among them that they had already.
	DataPackets, Copies int
	// Lost counts packets that the full queue of a link lost.
	Lost int
	// LongestWaitMs is the longest time for which an opening packet waited at an entry, and Refusals the resets of entries.
	LongestWaitMs cherviltide.Millis
	Refusals      int
}

// linkKind is a kind of request that callers send over the links.
type linkKind struct {
	name              string
	class             cherviltide.Class
	bytes             int
	work              cherviltide.Millis
	goal, deadline    cherviltide.Millis
	requestsPerUpload float64
}

// linkKinds has the uploads and the small requests of deployment A in their proportion.
var linkKinds = []linkKind{
	{name: "upload", class: cherviltide.ClassUpload, bytes: 40_000, work: 4, goal: 800, deadline: 6_000, requestsPerUpload: 1},
	{name: "post", class: cherviltide.ClassNormal, bytes: 900, work: 33, goal: 300, deadline: 2_500, requestsPerUpload: 330.0 / 99},
}

// Sizes of packets, in bytes: the caller's header, the header between entry and agent, and the IPv4 and UDP headers.
const (
	linkPacketHeader   = 36
	linkForwardHeader  = 98
	linkDatagramHeader = 28
	// fastRate is the rate of a link of 100 Mbit/s, in bytes a second.
	fastRate = 12_500_000
	// linkQueue is the size of the queue of a link, which loses further packets.
	linkQueue = 256 << 10
	// linkWindow is the number of packets that a caller has in flight.
	linkWindow = 16
	// controlPackets is the number of packets of a flow without data: opening, acknowledgement of the answer, finish.
	controlPackets = 3
)

// Retransmission times of callers, in milliseconds.
const (
	firstRetransmission cherviltide.Millis = 200
	lastRetransmission  cherviltide.Millis = 1_600
)

// wire is one direction of a link, or both: a queue that is served at a rate and loses what it cannot hold.
type wire struct {
	perMilli  float64
	busyUntil float64
	lost      int
}

// carry returns when a packet has passed the wire, and false when it is lost.
func (w *wire) carry(now cherviltide.Millis, size int) (cherviltide.Millis, bool) {
	start := max(w.busyUntil, float64(now))
	if (start-float64(now))*w.perMilli+float64(size) > linkQueue {
		w.lost++
		return 0, false
	}
	w.busyUntil = start + float64(size)/w.perMilli
	return cherviltide.Millis(w.busyUntil + 0.999), true
}

// linkReplay is the state of a simulation of links.
type linkReplay struct {
	loop
	pattern  LinkPattern
	random   *rand.Rand
	entries  []*linkEntry
	lastPort int
	report   *LinkReport
}

// RunLinks plays a load on links. Runs with the same seed are equal.
func RunLinks(p LinkPattern, seed uint64) *LinkReport {
	r := &linkReplay{pattern: p, random: rand.New(rand.NewPCG(seed, 0)), report: &LinkReport{PerSecond: Results{}, Kinds: map[string]*Result{}}}
	for i := range p.Entries + p.FastEntries {
		rate := p.Rate
		if i >= p.Entries {
			rate = fastRate
		}
		r.entries = append(r.entries, newLinkEntry(r, rate))
	}
	perUpload := 0.0
	for _, k := range linkKinds {
		perUpload += k.requestsPerUpload * float64(k.linkBytes(p.Separate))
	}
	uploads := p.Load * float64(p.Entries+p.FastEntries) * float64(p.Rate) / perUpload
	for i := range linkKinds {
		// Each kind has its own random numbers, so that the requests arrive at the same times in all variants.
		random := rand.New(rand.NewPCG(seed, uint64(i+1)))
		r.scheduleRequests(&linkKinds[i], uploads*linkKinds[i].requestsPerUpload, random)
	}
	r.run(math.MaxInt64)
	for kind := range r.report.PerSecond {
		sum := r.report.PerSecond.Sum(0, r.report.PerSecond.Seconds(), kind)
		r.report.Kinds[kind] = &sum
	}
	for _, e := range r.entries {
		r.report.Lost += e.in.lost
		if e.out != e.in {
			r.report.Lost += e.out.lost
		}
	}
	seconds := float64(p.Duration) / 1000
	r.report.Offered /= seconds
	r.report.Goodput /= seconds
	return r.report
}

// linkBytes returns the bytes that a request takes on a link when each packet is sent once. With two directions, those of the
// busier one count.
func (k linkKind) linkBytes(separate bool) int {
	packets := k.packets() + controlPackets
	in := k.bytes + packets*(linkPacketHeader+linkDatagramHeader)
	out := in + packets*linkForwardHeader
	if separate {
		return out
	}
	return in + out
}

// packets returns the number of packets with data of a request.
func (k linkKind) packets() int { return (k.bytes + fullPacketPayload - 1) / fullPacketPayload }

// scheduleRequests schedules the arrivals of a kind as a Poisson process.
func (r *linkReplay) scheduleRequests(kind *linkKind, perSecond float64, random *rand.Rand) {
	at := 0.0
	var next func()
	next = func() {
		if r.now >= r.pattern.Duration {
			return
		}
		r.report.PerSecond.at(kind.name, r.now).Asked++
		r.report.Offered += float64(kind.bytes)
		r.openLinkFlow(&linkRequest{kind: kind, startedAt: r.now, entry: -1})
		at += random.ExpFloat64() * 1000 / perSecond
		r.after(max(cherviltide.Millis(at)-r.now, 0), next)
	}
	r.after(0, next)
}

// linkEntry is an entry with its link.
type linkEntry struct {
	replay *linkReplay
	// in and out are the same wire when both directions share the link.
	in, out *wire
	// shaper is nil with the baseline.
	shaper *shaper.Shaper
	// flows has the flows by their key, whose packets wait at the entry.
	flows              map[cherviltide.FlowKey]*linkFlow
	ticking, departing bool
}

func newLinkEntry(r *linkReplay, rate int64) *linkEntry {
	e := &linkEntry{replay: r, in: &wire{perMilli: float64(rate) / 1000}, flows: map[cherviltide.FlowKey]*linkFlow{}}
	e.out = e.in
	if r.pattern.Separate {
		e.out = &wire{perMilli: e.in.perMilli}
	}
	if r.pattern.ArrivalOrder {
		return e
	}
	config := shaper.Config{
		Rate: rate, Directions: r.pattern.Directions, PacketHeader: linkPacketHeader, ForwardHeader: linkForwardHeader,
		MaxPayload: fullPacketPayload, OpeningRetransmissions: openingRetransmissions, OpeningTimeout: openingTimeout,
	}
	e.shaper = shaper.New(config)
	return e
}

// receive handles a packet of a caller that has passed the link.
func (e *linkEntry) receive(f *linkFlow, p cherviltide.Packet) {
	if e.shaper == nil {
		e.transmit(f, p)
		return
	}
	now, size := e.replay.now, p.Length+linkPacketHeader
	e.flows[f.key] = f
	upload := f.request.kind.class == cherviltide.ClassUpload
	switch {
	case upload && p.OpensFlow():
		e.open(f, p)
		return
	case upload:
		e.shaper.Packet(now, f.key, p)
	default:
		e.shaper.CountOther(now, size)
	}
	e.depart(f, p)
	e.release()
}

func (e *linkEntry) open(f *linkFlow, p cherviltide.Packet) {
	k := f.request.kind
	o := shaper.Opening{Flow: f.key, Priority: 3, Goal: k.goal, Retransmission: p.Retransmission, Datagram: make([]byte, linkPacketHeader+linkForwardHeader)}
	switch e.shaper.Open(e.replay.now, o) {
	case shaper.VerdictForward:
		e.depart(f, p)
	case shaper.VerdictRefuse:
		e.refuse(f)
	default:
		e.tick()
	}
}

// tick examines waiting opening packets at intervals.
func (e *linkEntry) tick() {
	if e.ticking {
		return
	}
	e.ticking = true
	e.replay.after(tickInterval, func() {
		e.ticking = false
		if e.release(); e.shaper.Waiting() > 0 {
			e.tick()
		}
	})
}

// release forwards or refuses opening packets that wait no longer.
func (e *linkEntry) release() {
	for d, ok := e.shaper.Next(e.replay.now); ok; d, ok = e.shaper.Next(e.replay.now) {
		f := e.flows[d.Flow]
		if d.Refused {
			e.refuse(f)
			continue
		}
		e.replay.report.LongestWaitMs = max(e.replay.report.LongestWaitMs, d.Wait)
		e.depart(f, cherviltide.Packet{Flags: cherviltide.PacketOpen, Sequence: openingSequence, Retransmission: d.Retransmission})
	}
}

func (e *linkEntry) refuse(f *linkFlow) {
	e.replay.report.Refusals++
	e.replay.after(callerDelay, func() { f.fail(true) })
}

// depart sends a packet, or lets it wait for the link.
func (e *linkEntry) depart(f *linkFlow, p cherviltide.Packet) {
	size := p.Length + linkPacketHeader + linkForwardHeader
	if e.shaper.Exit.Pass(e.replay.now, size) {
		e.transmit(f, p)
		return
	}
	upload := f.request.kind.class == cherviltide.ClassUpload
	e.shaper.Exit.Add(e.replay.now, shaper.Outgoing{Packet: p, Flow: f.key, Upload: upload, Datagram: make([]byte, size)})
	e.sendWaiting()
}

// sendWaiting sends the packets whose turn it is, and again when the link can take the next one.
func (e *linkEntry) sendWaiting() {
	for p, ok := e.shaper.Exit.Next(e.replay.now); ok; p, ok = e.shaper.Exit.Next(e.replay.now) {
		e.transmit(e.flows[p.Flow], p.Packet)
	}
	wait, waits := e.shaper.Exit.Wait(e.replay.now)
	if !waits || e.departing {
		return
	}
	e.departing = true
	e.replay.after(max(wait, 1), func() {
		e.departing = false
		e.sendWaiting()
	})
}

// transmit sends a packet over the link to the target.
func (e *linkEntry) transmit(f *linkFlow, p cherviltide.Packet) {
	at, ok := e.out.carry(e.replay.now, p.Length+linkPacketHeader+linkForwardHeader+linkDatagramHeader)
	if ok {
		e.replay.after(at-e.replay.now+agentDelay, func() { f.arrive(p) })
	}
}

// nextKey returns the key of a new flow.
func (r *linkReplay) nextKey() cherviltide.FlowKey {
	r.lastPort++
	address := netip.AddrFrom4([4]byte{100, byte(r.lastPort >> 24), byte(r.lastPort >> 16), byte(r.lastPort >> 8)})
	return cherviltide.FlowKey{Caller: netip.AddrPortFrom(address, uint16(1024+r.lastPort&255)), Virtual: virtualAddress(0)}
}
