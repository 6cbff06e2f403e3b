package relaypath

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Retransmission of packets, as the platform specifies it for callers.
const (
	// initialResendInterval is the time until a packet without a response is sent again. It doubles up to
	// maxResendInterval.
	initialResendInterval = 200 * time.Millisecond
	maxResendInterval     = 1_600 * time.Millisecond
	// maxSendAttempts bounds how often an opening or closing packet is sent; the exchange fails when the last one gets no
	// response.
	maxSendAttempts = 3
)

// Errors of a flow.
var (
	ErrReset         = errors.New("flow was reset")
	ErrNoResponse    = errors.New("no response to the opening or closing packets")
	ErrCorrupted     = errors.New("a received packet was corrupted")
	ErrWrongResponse = errors.New("response belongs to another request")
)

// Callers simulates a machine with callers, and the router in front of the entries: each packet goes to a random entry.
type Callers struct {
	conn      *net.UDPConn
	entries   []netip.AddrPort
	mu        sync.Mutex
	flows     map[uint16]chan Packet
	nextPort  uint16
	corrupted bool
	done      chan struct{}
}

// StartCallers listens on the address at which the callers receive packets, and sends to the given entries.
func StartCallers(address netip.AddrPort, entries []netip.AddrPort) (*Callers, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	c := &Callers{conn: conn, entries: entries, flows: map[uint16]chan Packet{}, nextPort: 1024, done: make(chan struct{})}
	go func() { c.receive(); close(c.done) }()
	return c, nil
}

// Stop closes the socket and waits until the receiver has ended.
func (c *Callers) Stop() {
	_ = c.conn.Close()
	<-c.done
}

func (c *Callers) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, valid := Decode(buffer[:n])
		c.mu.Lock()
		c.corrupted = c.corrupted || !valid
		flow := c.flows[p.Destination.Port()]
		c.mu.Unlock()
		select {
		case flow <- p:
		default:
		}
	}
}

// Flow is an open flow of a caller.
type Flow struct {
	callers  *Callers
	source   netip.AddrPort
	virtual  netip.AddrPort
	received chan Packet
	sequence uint32
	ack      uint32
	requests int
}

// Port returns the source port of the flow, which is unique among the flows of these callers.
func (f *Flow) Port() uint16 { return f.source.Port() }

// Open opens a flow to a virtual address. It fails with ErrNoResponse when no opening packet gets a response.
func (c *Callers) Open(ctx context.Context, virtual netip.AddrPort) (*Flow, error) {
	c.mu.Lock()
	c.nextPort++
	f := &Flow{
		callers: c, virtual: virtual, received: make(chan Packet, 16), sequence: rand.Uint32(),
		source: netip.AddrPortFrom(c.conn.LocalAddr().(*net.UDPAddr).AddrPort().Addr(), c.nextPort),
	}
	c.flows[c.nextPort] = f.received
	c.mu.Unlock()
	p, err := f.exchange(ctx, maxSendAttempts, func(attempt uint32) Packet { return Packet{Flags: Syn, Ack: attempt} },
		func(p Packet) bool { return p.Flags == Syn|Ack })
	if err != nil {
		f.remove()
		return nil, err
	}
	f.sequence, f.ack = f.sequence+1, p.Sequence+1
	return f, nil
}

// Request sends a payload and returns the name of the target that responded. Each request carries the flow's port and a
// number, so that a response to another request is detected.
func (f *Flow) Request(ctx context.Context, payload string) (string, error) {
	f.requests++
	requestID := fmt.Sprintf(" %d/%d ", f.Port(), f.requests)
	p, err := f.exchange(ctx, math.MaxInt, func(uint32) Packet { return Packet{Flags: Ack, Ack: f.ack, Data: []byte(requestID + payload)} },
		func(p Packet) bool { return len(p.Data) > 0 && !f.isEarlierResponse(p) })
	if err != nil {
		return "", err
	}
	name, ok := strings.CutSuffix(string(p.Data), requestID+payload)
	if !ok {
		return "", fmt.Errorf("%w: %q to %q", ErrWrongResponse, p.Data, requestID+payload)
	}
	return name, nil
}

// isEarlierResponse reports whether a packet repeats the response to an earlier request of the flow.
func (f *Flow) isEarlierResponse(p Packet) bool {
	var name string
	var port uint16
	var number int
	n, _ := fmt.Sscanf(string(p.Data), "%s %d/%d ", &name, &port, &number)
	return n == 3 && port == f.Port() && number < f.requests
}

// Close closes the flow and removes it, also when the target does not respond.
func (f *Flow) Close(ctx context.Context) error {
	defer f.remove()
	_, err := f.exchange(ctx, maxSendAttempts, func(uint32) Packet { return Packet{Flags: Fin | Ack, Ack: f.ack} },
		func(p Packet) bool { return p.Flags&(Fin|Rst) != 0 || p.Flags == Ack && len(p.Data) == 0 })
	return err
}

func (f *Flow) remove() {
	f.callers.mu.Lock()
	defer f.callers.mu.Unlock()
	delete(f.callers.flows, f.Port())
}

// exchange sends a packet, at most the given number of times, until the expected response arrives.
func (f *Flow) exchange(ctx context.Context, attempts int, newPacket func(attempt uint32) Packet, isExpected func(Packet) bool) (Packet, error) {
	interval := initialResendInterval
	for attempt := range attempts {
		p := newPacket(uint32(attempt))
		p.Source, p.Destination, p.Sequence = f.source, f.virtual, f.sequence
		entry := f.callers.entries[rand.IntN(len(f.callers.entries))]
		// A packet to an entry that is down is lost, and is sent again.
		_, _ = f.callers.conn.WriteToUDPAddrPort(p.Encode(), entry)
		timer := time.NewTimer(interval)
		interval = min(2*interval, maxResendInterval)
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				timer.Stop()
				return Packet{}, ctx.Err()
			case got := <-f.received:
				if got.Flags == Rst {
					return Packet{}, ErrReset
				}
				if isExpected(got) {
					timer.Stop()
					return got, f.callers.checkCorruption()
				}
			case <-timer.C:
				waiting = false
			}
		}
	}
	return Packet{}, ErrNoResponse
}

func (c *Callers) checkCorruption() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.corrupted {
		return ErrCorrupted
	}
	return nil
}
