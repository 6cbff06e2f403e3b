package main

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// router is the platform's router in front of the entries: it hashes the addresses and ports of a packet over the
// entries that are in rotation. It asks each entry twice a second whether it is ready; after two misses the entry is out.
type router struct {
	site    *site
	entries []int
	mu      sync.Mutex
	misses  map[int]int
}

func newRouter(s *site, entries []int) *router {
	r := &router{site: s, entries: entries, misses: map[int]int{}}
	for _, n := range entries {
		r.misses[n] = 2
		go r.check(n)
	}
	return r
}

func (r *router) check(n int) {
	for {
		status, _ := call(http.MethodGet, r.site.address(n, r.site.p.ready), "/readyz", nil, 450*time.Millisecond)
		r.mu.Lock()
		if status == 200 {
			r.misses[n] = 0
		} else {
			r.misses[n]++
		}
		r.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
}

// ready returns the entries in rotation; all of them when fewer than half are.
func (r *router) ready() []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []int
	for _, n := range r.entries {
		if r.misses[n] < 2 {
			list = append(list, n)
		}
	}
	if 2*len(list) < len(r.entries) {
		return r.entries
	}
	return list
}

func (r *router) entryFor(p packet) netip.AddrPort {
	list := r.ready()
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, p.Source, p.Destination)
	return r.site.address(list[h.Sum64()%uint64(len(list))], r.site.p.udp)
}

// clients is a machine with clients.
type clients struct {
	router   *router
	conn     *net.UDPConn
	ip       netip.Addr
	nextPort atomic.Uint32
	mu       sync.Mutex
	flows    map[netip.AddrPort]map[uint16]chan packet
	requests atomic.Uint64
}

func startClients(r *router, machine int) (*clients, error) {
	address := r.site.address(machine, r.site.p.udp)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(4 << 20)
	c := &clients{router: r, conn: conn, ip: address.Addr(), flows: map[netip.AddrPort]map[uint16]chan packet{}}
	c.nextPort.Store(2000)
	go c.receive()
	return c, nil
}

func (c *clients) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, valid := decodePacket(buffer[:n])
		if !valid {
			continue
		}
		c.mu.Lock()
		received := c.flows[p.Source][p.Destination.Port()]
		c.mu.Unlock()
		if received != nil {
			select {
			case received <- p:
			default:
			}
		}
	}
}

func (c *clients) send(p packet) {
	_, _ = c.conn.WriteToUDPAddrPort(p.encode(), c.router.entryFor(p))
}

var (
	errReset    = errors.New("reset")
	errNoAnswer = errors.New("no answer")
	errEnded    = errors.New("ended by the target")
	errDeadline = errors.New("deadline")
)

// clientFlow is a client's end of a flow.
type clientFlow struct {
	c              *clients
	key            flowKey
	received       chan packet
	next, expected uint32
	early          map[uint32]packet
	data           []byte
	finished       bool
	openedAt       time.Time
	// resets counts the resets that the flow got after it was open.
	resets int
}

// open opens a flow: an opening packet, copies after 200 and 600 ms, and an end after 1.4 s.
func (c *clients) open(virtual netip.AddrPort) (*clientFlow, error) {
	port := uint16(2000 + c.nextPort.Add(1)%60000)
	f := &clientFlow{c: c, key: flowKey{netip.AddrPortFrom(c.ip, port), virtual}, received: make(chan packet, 64),
		next: rand.Uint32(), early: map[uint32]packet{}}
	c.mu.Lock()
	if c.flows[virtual] == nil {
		c.flows[virtual] = map[uint16]chan packet{}
	}
	c.flows[virtual][port] = f.received
	c.mu.Unlock()
	start := time.Now()
	for i, wait := range []time.Duration{200, 600, 1400} {
		c.send(f.packet(flagSyn, f.next, uint32(i), nil))
		timer := time.NewTimer(time.Until(start.Add(wait * time.Millisecond)))
		for waiting := true; waiting; {
			select {
			case p := <-f.received:
				switch {
				case p.Flags&flagRst != 0:
					f.forget()
					return nil, errReset
				case p.Flags == flagSyn|flagAck:
					f.next++
					f.expected = p.Sequence + 1
					f.openedAt = time.Now()
					f.c.send(f.packet(flagAck, f.next, f.expected, nil))
					return f, nil
				}
			case <-timer.C:
				waiting = false
			}
		}
	}
	f.forget()
	return nil, errNoAnswer
}

func (f *clientFlow) packet(flags byte, sequence, ack uint32, data []byte) packet {
	return packet{Source: f.key.client, Destination: f.key.virtual, Flags: flags, Sequence: sequence, Ack: ack, Data: data}
}

func (f *clientFlow) forget() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	delete(f.c.flows[f.key.virtual], f.key.client.Port())
}

// accept handles a packet of the target and reports the acknowledged sequence number.
func (f *clientFlow) accept(p packet) (acked uint32, err error) {
	if p.Flags&flagRst != 0 {
		if int32(p.Sequence-f.expected) > 76800 || int32(f.expected-p.Sequence) > 76800 {
			return 0, nil
		}
		f.resets++
		return 0, errReset
	}
	if p.Flags == flagSyn|flagAck {
		if p.Sequence+1 == f.expected {
			f.c.send(f.packet(flagAck, f.next, f.expected, nil))
		}
		return 0, nil
	}
	// Packets of another target than the one whose opening answer was acknowledged are not part of the flow.
	if int32(p.Sequence-f.expected) > 76800 || int32(f.expected-p.Sequence) > 76800 {
		return 0, nil
	}
	if len(p.Data) > 0 || p.Flags&flagFin != 0 {
		if int32(p.Sequence-f.expected) >= 0 {
			f.early[p.Sequence] = p
		}
		for q, ok := f.early[f.expected]; ok && !f.finished; q, ok = f.early[f.expected] {
			delete(f.early, f.expected)
			f.data = append(f.data, q.Data...)
			f.expected += uint32(len(q.Data))
			if q.Flags&flagFin != 0 {
				f.expected++
				f.finished = true
			}
		}
		f.c.send(f.packet(flagAck, f.next, f.expected, nil))
	}
	return p.Ack, nil
}

// request sends a request with a body of the given size in packets of the largest size, and waits for the answer. Packets
// that are not acknowledged are sent again after 200 ms, 400 ms and so on up to 1.6 s.
func (f *clientFlow) request(size int, deadline time.Duration) (id, target string, err error) {
	id = fmt.Sprintf("a%d", f.c.requests.Add(1))
	body := fmt.Sprintf("REQ %s %d\n%s", id, size, strings.Repeat("b", size))
	first := f.next
	var segments []packet
	for at := 0; at < len(body); at += maxPayload {
		segments = append(segments, f.packet(flagAck, first+uint32(at), 0, []byte(body[at:min(at+maxPayload, len(body))])))
	}
	f.next += uint32(len(body))
	acked := first
	f.data = nil
	end := time.After(deadline)
	interval := 200 * time.Millisecond
	transmit := func() {
		for _, s := range segments {
			if int32(s.Sequence+uint32(len(s.Data))-acked) > 0 {
				s.Ack = f.expected
				f.c.send(s)
			}
		}
	}
	transmit()
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case p := <-f.received:
			ack, err := f.accept(p)
			if err != nil {
				return id, "", err
			}
			if ack != 0 && int32(ack-acked) > 0 && int32(f.next-ack) >= 0 {
				acked = ack
			}
			if line, _, ok := strings.Cut(string(f.data), "\n"); ok {
				parts := strings.Fields(line)
				if parts[1] != id {
					return id, parts[2], fmt.Errorf("answer to %s", parts[1])
				}
				return id, parts[2], nil
			}
			if f.finished {
				return id, "", errEnded
			}
		case <-timer.C:
			transmit()
			interval = min(2*interval, 1600*time.Millisecond)
			timer.Reset(interval)
		case <-end:
			return id, "", errDeadline
		}
	}
}

// idle handles packets for a time, and reports whether the flow is still usable.
func (f *clientFlow) idle(pause time.Duration) bool {
	end := time.After(pause)
	for {
		select {
		case p := <-f.received:
			if _, err := f.accept(p); err != nil || f.finished {
				return false
			}
		case <-end:
			return !f.finished
		}
	}
}

// close closes the flow: a FIN, at most three times.
func (f *clientFlow) close() {
	defer f.forget()
	for i := range 3 {
		f.c.send(f.packet(flagFin|flagAck, f.next, f.expected, nil))
		timer := time.NewTimer(time.Duration(200<<i) * time.Millisecond)
		for waiting := true; waiting; {
			select {
			case p := <-f.received:
				ack, err := f.accept(p)
				if err != nil || ack == f.next+1 {
					if f.finished {
						f.c.send(f.packet(flagAck, f.next+1, f.expected, nil))
					}
					return
				}
			case <-timer.C:
				waiting = false
			}
		}
	}
}
