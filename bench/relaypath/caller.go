package relaypath

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// resendInterval is the time until a caller sends a packet again that nobody answered.
const resendInterval = 200 * time.Millisecond

// Errors of a flow.
var (
	ErrReset   = errors.New("the flow was reset")
	ErrDamaged = errors.New("a packet was changed on the way")
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
}

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
	p, err := f.exchange(ctx, func(try uint32) Packet { return Packet{Flags: Syn, Ack: try} }, func(p Packet) bool { return p.Flags == Syn|Ack })
	if err != nil {
		return nil, err
	}
	f.sequence, f.ack = f.sequence+1, p.Sequence+1
	return f, nil
}

// Ask sends a payload and returns the answer.
func (f *Flow) Ask(ctx context.Context, text string) (string, error) {
	p, err := f.exchange(ctx, func(uint32) Packet { return Packet{Flags: Ack, Ack: f.ack, Data: []byte(text)} },
		func(p Packet) bool { return len(p.Data) > 0 })
	return string(p.Data), err
}

// exchange sends a packet until the wanted one arrives.
func (f *Flow) exchange(ctx context.Context, make func(try uint32) Packet, wanted func(Packet) bool) (Packet, error) {
	for try := uint32(0); ; try++ {
		p := make(try)
		p.Source, p.Destination, p.Sequence = f.source, f.virtual, f.sequence
		entry := f.callers.entries[rand.IntN(len(f.callers.entries))]
		// An entry that is down loses the packet; it is sent again.
		_, _ = f.callers.conn.WriteToUDPAddrPort(p.Encode(), entry)
		timer := time.NewTimer(resendInterval)
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
}

func (c *Callers) check() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.damaged {
		return ErrDamaged
	}
	return nil
}
