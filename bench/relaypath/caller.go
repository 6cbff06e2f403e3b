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

// Times of a caller, from the platform's pages.
const (
	// resendFirst is the time until a packet is sent again that nobody answered. It doubles up to resendMost.
	resendFirst = 200 * time.Millisecond
	resendMost  = 1_600 * time.Millisecond
	// openingTries is how often the first packet is sent. An attempt to open ends when the last one is not answered.
	openingTries = 3
)

// Errors of a flow.
var (
	ErrReset      = errors.New("the flow was reset")
	ErrUnanswered = errors.New("nobody answered the first packets")
	ErrDamaged    = errors.New("a packet was changed on the way")
	ErrForeign    = errors.New("the answer belongs to another question")
)

// Callers is a machine with callers. The router in front of the entries sends each packet to any of them.
type Callers struct {
	conn    *net.UDPConn
	entries []netip.AddrPort
	mu      sync.Mutex
	flows   map[uint16]chan Packet
	next    uint16
	damaged bool
	ended   chan struct{}
}

// StartCallers opens the address at which the callers' machine receives packets.
func StartCallers(address netip.AddrPort, entries []netip.AddrPort) (*Callers, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	c := &Callers{conn: conn, entries: entries, flows: map[uint16]chan Packet{}, next: 1024, ended: make(chan struct{})}
	go func() { c.receive(); close(c.ended) }()
	return c, nil
}

// Stop ends the machine.
func (c *Callers) Stop() {
	_ = c.conn.Close()
	<-c.ended
}

func (c *Callers) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, whole := Decode(buffer[:n])
		c.mu.Lock()
		c.damaged = c.damaged || !whole
		to := c.flows[p.Destination.Port()]
		c.mu.Unlock()
		select {
		case to <- p:
		default:
		}
	}
}

// Flow is an open flow of a caller.
type Flow struct {
	callers  *Callers
	source   netip.AddrPort
	virtual  netip.AddrPort
	packets  chan Packet
	sequence uint32
	ack      uint32
	asked    int
}

// Port returns the caller's port of the flow, which no other flow has.
func (f *Flow) Port() uint16 { return f.source.Port() }

// Open opens a flow to a virtual address.
func (c *Callers) Open(ctx context.Context, virtual netip.AddrPort) (*Flow, error) {
	c.mu.Lock()
	c.next++
	f := &Flow{
		callers: c, virtual: virtual, packets: make(chan Packet, 16), sequence: rand.Uint32(),
		source: netip.AddrPortFrom(c.conn.LocalAddr().(*net.UDPAddr).AddrPort().Addr(), c.next),
	}
	c.flows[c.next] = f.packets
	c.mu.Unlock()
	p, err := f.exchange(ctx, openingTries, func(try uint32) Packet { return Packet{Flags: Syn, Ack: try} },
		func(p Packet) bool { return p.Flags == Syn|Ack })
	if err != nil {
		f.forget()
		return nil, err
	}
	f.sequence, f.ack = f.sequence+1, p.Sequence+1
	return f, nil
}

// Ask sends a payload and returns the name of the target that answered. Each question carries the flow's port and a number,
// so that the answer to another one is found out.
func (f *Flow) Ask(ctx context.Context, text string) (string, error) {
	f.asked++
	mark := fmt.Sprintf(" %d/%d ", f.Port(), f.asked)
	p, err := f.exchange(ctx, math.MaxInt, func(uint32) Packet { return Packet{Flags: Ack, Ack: f.ack, Data: []byte(mark + text)} },
		func(p Packet) bool { return len(p.Data) > 0 && !f.earlier(p) })
	if err != nil {
		return "", err
	}
	name, ok := strings.CutSuffix(string(p.Data), mark+text)
	if !ok {
		return "", fmt.Errorf("%w: %q to %q", ErrForeign, p.Data, mark+text)
	}
	return name, nil
}

// earlier reports whether a packet is a copy of the answer to an earlier question.
func (f *Flow) earlier(p Packet) bool {
	var name string
	var port uint16
	var number int
	n, _ := fmt.Sscanf(string(p.Data), "%s %d/%d ", &name, &port, &number)
	return n == 3 && port == f.Port() && number < f.asked
}

// Close ends the flow.
func (f *Flow) Close(ctx context.Context) error {
	defer f.forget()
	_, err := f.exchange(ctx, openingTries, func(uint32) Packet { return Packet{Flags: Fin | Ack, Ack: f.ack} },
		func(p Packet) bool { return p.Flags&(Fin|Rst) != 0 || p.Flags == Ack && len(p.Data) == 0 })
	return err
}

func (f *Flow) forget() {
	f.callers.mu.Lock()
	defer f.callers.mu.Unlock()
	delete(f.callers.flows, f.Port())
}

// exchange sends a packet until the wanted one arrives, at most a number of times.
func (f *Flow) exchange(ctx context.Context, tries int, make func(try uint32) Packet, wanted func(Packet) bool) (Packet, error) {
	interval := resendFirst
	for try := range tries {
		p := make(uint32(try))
		p.Source, p.Destination, p.Sequence = f.source, f.virtual, f.sequence
		entry := f.callers.entries[rand.IntN(len(f.callers.entries))]
		// An entry that is down loses the packet; it is sent again.
		_, _ = f.callers.conn.WriteToUDPAddrPort(p.Encode(), entry)
		timer := time.NewTimer(interval)
		interval = min(2*interval, resendMost)
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				timer.Stop()
				return Packet{}, ctx.Err()
			case got := <-f.packets:
				if got.Flags == Rst {
					return Packet{}, ErrReset
				}
				if wanted(got) {
					timer.Stop()
					return got, f.callers.check()
				}
			case <-timer.C:
				waiting = false
			}
		}
	}
	return Packet{}, ErrUnanswered
}

func (c *Callers) check() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.damaged {
		return ErrDamaged
	}
	return nil
}
