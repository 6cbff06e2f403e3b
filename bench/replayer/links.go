package replayer

import (
	"slices"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/shaper"
)

// Links are the links of the entries that callers' packets pass. Without links, packets reach the agents at once.
type Links struct {
	// Rates has the rate of each entry's link in bytes a second. Callers choose among all entries alike.
	Rates []int64
	// Separate is true when the links carry their rate in each direction at the same time.
	Separate bool
	// ArrivalOrder makes entries forward all packets in the order of their arrival. It is the baseline for comparison.
	ArrivalOrder bool
	// Directions is what the entries know of Separate.
	Directions shaper.Directions
}

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
	// Kinds has the requests of the whole run by kind.
	Kinds     map[string]*Result
	PerSecond Results
	LinkCounts
}

// LinkCounts are the counts of a load on links.
type LinkCounts struct {
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

// linkKinds returns the uploads and the small requests of deployment A in their proportion.
func linkKinds() []Kind {
	upload := Kind{Name: "upload", Route: cherviltide.Route{Priority: 2, Goal: 800, Deadline: 6_000, Class: cherviltide.ClassUpload},
		PerSecond: 99, ServiceTime: 4.2, Packets: 1, Upload: Upload{Packets: 34, LastPayload: 400}}
	post := Kind{Name: "post", Route: cherviltide.Route{Priority: 2, Goal: 300, Deadline: 2_500, Class: cherviltide.ClassNormal},
		PerSecond: 330, ServiceTime: 33, Packets: 1, Upload: Upload{Packets: 1, LastPayload: 900}}
	return []Kind{upload, post}
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

// targetsOfEntry is the number of targets for each entry, about that of deployment A.
const targetsOfEntry = 2

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

// pattern returns the load as a pattern for Run.
func (p LinkPattern) pattern() Pattern {
	entries := p.Entries + p.FastEntries
	rates := append(slices.Repeat([]int64{p.Rate}, p.Entries), slices.Repeat([]int64{fastRate}, p.FastEntries)...)
	kinds, perSecond := linkKinds(), 0.0
	for _, k := range kinds {
		perSecond += k.PerSecond * float64(k.linkBytes(p.Separate))
	}
	for i := range kinds {
		kinds[i].PerSecond *= p.Load * float64(entries) * float64(p.Rate) / perSecond
	}
	return Pattern{
		Slots: 2, Queue: 8, Speeds: slices.Repeat([]float64{1}, targetsOfEntry*entries), Kinds: kinds, Duration: p.Duration,
		Links: Links{Rates: rates, Separate: p.Separate, ArrivalOrder: p.ArrivalOrder, Directions: p.Directions},
	}
}

// RunLinks plays a load on links. Runs with the same seed are equal.
func RunLinks(p LinkPattern, seed uint64) *LinkReport {
	report := Run(p.pattern(), seed)
	r := &LinkReport{Kinds: map[string]*Result{}, PerSecond: report.PerSecond, LinkCounts: report.Links}
	for kind := range r.PerSecond {
		sum := r.PerSecond.Sum(0, r.PerSecond.Seconds(), kind)
		r.Kinds[kind] = &sum
	}
	return r
}

// linkBytes returns the bytes that a request takes on a link when each packet is sent once. With two directions, those of the
// busier one count.
func (k *Kind) linkBytes(separate bool) int {
	packets := k.Upload.Packets + controlPackets
	in := k.Upload.bytes() + packets*(linkPacketHeader+linkDatagramHeader)
	out := in + packets*linkForwardHeader
	if separate {
		return out
	}
	return in + out
}
