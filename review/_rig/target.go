package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPayload is the largest payload of a packet.
const maxPayload = 1200

// flowKey identifies a flow by its two ends.
type flowKey struct{ client, virtual netip.AddrPort }

// arrival is a packet of a client that reached a target.
type arrival struct {
	at     time.Time
	target string
	key    flowKey
	flags  byte
	seq    uint32
	length int
	// held is false when the target returned the packet because it does not hold the flow.
	held bool
}

// run is a request that a target began to work on.
type run struct {
	at     time.Time
	target string
	id     string
}

// ledger records what targets receive and run.
type ledger struct {
	mu       sync.Mutex
	arrivals []arrival
	runs     []run
	opened   map[flowKey]openFlow
	ended    map[string]time.Time
	// disruptions has the times in which the daemon on a target's machine was stopped or down, by the name of the target.
	disruptions map[string][]interval
}

// interval is a span of time.
type interval struct{ from, to time.Time }

// openFlow is a flow that is open at a target since a time.
type openFlow struct {
	target string
	at     time.Time
}

// disrupted reports whether there was a disruption beside a target from contactMs before a time until reorderMs after it.
func (l *ledger) disrupted(target string, at time.Time) bool {
	for _, d := range l.disruptions[target] {
		if at.Add(reorderMs*time.Millisecond).After(d.from) && at.Before(d.to.Add(contactMs*time.Millisecond)) {
			return true
		}
	}
	return false
}

func newLedger() *ledger {
	return &ledger{opened: map[flowKey]openFlow{}, ended: map[string]time.Time{}, disruptions: map[string][]interval{}}
}

// target is a back end. It follows the platform's protocol: slots, a queue, flows, heartbeats and a planned end.
type target struct {
	name, service   string
	site            *site
	machine         int
	slots           int
	work            func() time.Duration
	ledger          *ledger
	conn            *net.UDPConn
	outbound, admin netip.AddrPort
	born            int64
	waiting         chan func()
	stop            chan struct{}

	mu       sync.Mutex
	flows    map[flowKey]*targetFlow
	ended    map[flowKey]bool
	draining bool
	sequence uint64
	gone     bool
	ackedAt  time.Time // first acknowledgement of the state draining
}

type targetFlow struct {
	key              flowKey
	irs, iss         uint32
	open, finishing  bool
	rcvNext, sndNext uint32
	early            map[uint32][]byte
	received         []byte
	unacked          []packet
	tries            int
	finReceived      bool
}

func startTarget(s *site, machine int, name, service string, slots int, work func() time.Duration, l *ledger) (*target, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.address(machine, s.p.app)))
	if err != nil {
		return nil, err
	}
	t := &target{
		name: name, service: service, site: s, machine: machine, slots: slots, work: work, ledger: l, conn: conn,
		outbound: s.address(machine, s.p.outbound), admin: s.address(machine, s.p.admin), born: time.Now().UnixMilli(),
		waiting: make(chan func(), 64), stop: make(chan struct{}), flows: map[flowKey]*targetFlow{}, ended: map[flowKey]bool{},
	}
	go t.receive()
	go t.heartbeats()
	for range slots {
		go func() {
			for {
				select {
				case <-t.stop:
					return
				case f := <-t.waiting:
					f()
				}
			}
		}()
	}
	return t, nil
}

func (t *target) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, valid := decodePacket(buffer[:n])
		if !valid {
			continue
		}
		t.mu.Lock()
		t.handle(p)
		t.mu.Unlock()
	}
}

func (t *target) send(p packet) {
	_, _ = t.conn.WriteToUDPAddrPort(p.encode(), t.outbound)
}

// handle handles a packet with t.mu held.
func (t *target) handle(p packet) {
	key := flowKey{p.Source, p.Destination}
	f := t.flows[key]
	held := true
	defer func() {
		t.ledger.mu.Lock()
		t.ledger.arrivals = append(t.ledger.arrivals, arrival{time.Now(), t.name, key, p.Flags, p.Sequence, len(p.Data), held})
		t.ledger.mu.Unlock()
	}()
	if p.Flags == flagSyn {
		if f != nil && f.irs == p.Sequence {
			if !f.open {
				t.send(t.packet(f, flagSyn|flagAck, f.iss, nil))
			}
			return
		}
		f = &targetFlow{key: key, irs: p.Sequence, iss: rand.Uint32(), rcvNext: p.Sequence + 1, early: map[uint32][]byte{}}
		f.sndNext = f.iss + 1
		t.flows[key] = f
		delete(t.ended, key)
		t.send(t.packet(f, flagSyn|flagAck, f.iss, nil))
		t.resendOpening(f, 200*time.Millisecond)
		return
	}
	if f == nil && t.ended[key] {
		switch {
		case p.Flags&flagFin != 0:
			t.send(packet{Source: key.virtual, Destination: key.client, Flags: flagAck, Sequence: p.Ack, Ack: p.Sequence + 1})
		case len(p.Data) > 0:
			t.send(packet{Source: key.virtual, Destination: key.client, Flags: flagRst, Sequence: p.Ack})
		}
		return
	}
	if f == nil || (!f.open && p.Ack != f.iss+1) {
		held = false
		p.Flags |= flagReturned
		t.send(p)
		return
	}
	if p.Flags&flagRst != 0 {
		t.end(f)
		return
	}
	if !f.open {
		f.open = true
		t.ledger.mu.Lock()
		t.ledger.opened[key] = openFlow{t.name, time.Now()}
		t.ledger.mu.Unlock()
	}
	if p.Flags&flagAck != 0 {
		kept := f.unacked[:0]
		for _, u := range f.unacked {
			end := u.Sequence + uint32(len(u.Data))
			if u.Flags&flagFin != 0 {
				end++
			}
			if int32(end-p.Ack) > 0 {
				kept = append(kept, u)
			}
		}
		if len(kept) < len(f.unacked) {
			f.tries = 0
		}
		f.unacked = kept
	}
	if len(p.Data) > 0 {
		if int32(p.Sequence-f.rcvNext) >= 0 {
			f.early[p.Sequence] = p.Data
		}
		for data, ok := f.early[f.rcvNext]; ok; data, ok = f.early[f.rcvNext] {
			delete(f.early, f.rcvNext)
			f.rcvNext += uint32(len(data))
			f.received = append(f.received, data...)
		}
		t.send(t.packet(f, flagAck, f.sndNext, nil))
		t.takeRequests(f)
	}
	if p.Flags&flagFin != 0 && p.Sequence == f.rcvNext {
		f.rcvNext++
		f.finReceived = true
		t.send(t.packet(f, flagAck, f.sndNext, nil))
		t.sendFin(f)
	}
	if f.finReceived && f.finishing && len(f.unacked) == 0 {
		t.end(f)
	}
}

func (t *target) packet(f *targetFlow, flags byte, sequence uint32, data []byte) packet {
	return packet{Source: f.key.virtual, Destination: f.key.client, Flags: flags, Sequence: sequence, Ack: f.rcvNext, Data: data}
}

func (t *target) end(f *targetFlow) {
	delete(t.flows, f.key)
	t.ended[f.key] = true
}

// resendOpening repeats the answer to an opening packet, and forgets a flow that is not opened.
func (t *target) resendOpening(f *targetFlow, after time.Duration) {
	time.AfterFunc(after, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if f.open || t.flows[f.key] != f || t.gone {
			return
		}
		if after > 1600*time.Millisecond {
			delete(t.flows, f.key)
			return
		}
		t.send(t.packet(f, flagSyn|flagAck, f.iss, nil))
		t.resendOpening(f, 2*after)
	})
}

// takeRequests queues the complete requests of a flow. A request is "REQ id size\n" followed by size bytes.
func (t *target) takeRequests(f *targetFlow) {
	for {
		line, rest, ok := strings.Cut(string(f.received), "\n")
		if !ok {
			return
		}
		parts := strings.Fields(line)
		size, _ := strconv.Atoi(parts[2])
		if len(rest) < size {
			return
		}
		f.received = []byte(rest[size:])
		id := parts[1]
		job := func() {
			t.ledger.mu.Lock()
			t.ledger.runs = append(t.ledger.runs, run{time.Now(), t.name, id})
			t.ledger.mu.Unlock()
			time.Sleep(t.work())
			t.mu.Lock()
			defer t.mu.Unlock()
			if t.gone || t.flows[f.key] != f {
				return
			}
			answer := fmt.Sprintf("ANS %s %s ", id, t.name)
			t.transmit(f, flagAck, []byte(answer+strings.Repeat("x", 600-len(answer)-1)+"\n"))
			if t.draining {
				t.sendFin(f)
			}
		}
		select {
		case t.waiting <- job:
		default:
		}
	}
}

func (t *target) sendFin(f *targetFlow) {
	if !f.finishing {
		f.finishing = true
		t.transmit(f, flagFin|flagAck, nil)
	}
}

// transmit sends a packet and repeats it until it is acknowledged, at most 8 times.
func (t *target) transmit(f *targetFlow, flags byte, data []byte) {
	p := t.packet(f, flags, f.sndNext, data)
	f.sndNext += uint32(len(data))
	if flags&flagFin != 0 {
		f.sndNext++
	}
	f.unacked = append(f.unacked, p)
	t.send(p)
	if len(f.unacked) == 1 {
		f.tries = 0
		t.resend(f, 200*time.Millisecond)
	}
}

func (t *target) resend(f *targetFlow, after time.Duration) {
	time.AfterFunc(after, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if len(f.unacked) == 0 || t.flows[f.key] != f || t.gone {
			return
		}
		f.tries++
		if f.tries > 8 {
			t.end(f)
			return
		}
		for _, u := range f.unacked {
			u.Ack = f.rcvNext
			t.send(u)
		}
		t.resend(f, min(2*after, 1600*time.Millisecond))
	})
}

// heartbeats reports the target to the daemon on its machine. A call without an answer is repeated soon.
func (t *target) heartbeats() {
	for {
		ok := t.heartbeat()
		wait := heartbeatMs * time.Millisecond
		if !ok {
			wait = 250 * time.Millisecond
		}
		select {
		case <-t.stop:
			return
		case <-time.After(wait):
		}
	}
}

func (t *target) heartbeat() bool {
	t.mu.Lock()
	t.sequence++
	state, draining := "ready", t.draining
	if draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"Service": t.service, "Addr": t.site.address(t.machine, t.site.p.app).String(), "Zone": "salt-lake", "Version": "v1", "Concurrency": t.slots,
		"State": state, "WarmupLeftMs": 0, "Seq": t.sequence, "born": t.born,
	})
	t.mu.Unlock()
	status, _ := call(http.MethodPut, t.admin, "/targets/"+t.name, body, time.Second)
	if status == 200 && draining {
		t.mu.Lock()
		if t.ackedAt.IsZero() {
			t.ackedAt = time.Now()
		}
		t.mu.Unlock()
	}
	return status == 200
}

// drainAndEnd announces that the target leaves, serves on for the drain time after the acknowledgement, and ends.
func (t *target) drainAndEnd() {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	for i := 0; i < 10 && !t.heartbeat(); i++ {
		time.Sleep(250 * time.Millisecond)
	}
	time.Sleep(drainMs*time.Millisecond + 500*time.Millisecond)
	call(http.MethodDelete, t.admin, "/targets/"+t.name, nil, time.Second)
	t.close()
}

func (t *target) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.gone {
		return
	}
	t.gone = true
	close(t.stop)
	_ = t.conn.Close()
	t.ledger.mu.Lock()
	t.ledger.ended[t.name] = time.Now()
	t.ledger.mu.Unlock()
}
