package relaypath

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// heartbeatInterval is the time between two heartbeats of a target.
const heartbeatInterval = 200 * time.Millisecond

// Target is a back end that echoes each payload with its own name in front.
type Target struct {
	Name, Service string
	// Outbound and Admin are the addresses at which the agent receives the target's packets and its heartbeats.
	Outbound, Admin netip.AddrPort
	conn            *net.UDPConn
	startedMs       int64
	mu              sync.Mutex
	// flows has the initial sequence number of each open flow, by its addresses.
	flows map[string]uint32
	// closed has the flows that callers have closed.
	closed   map[string]bool
	draining bool
	hung     bool
	// lastOpened is the time at which the newest flow was opened.
	lastOpened time.Time
	// opened counts flows, notHeld packets of flows that the target does not hold, and corrupted those with a wrong
	// checksum.
	opened, notHeld, corrupted int
	// openings has the times of all opening packets of the last second, and mostOpenings the most in a second.
	openings     []time.Time
	mostOpenings int
	sequence     uint64
	stop         context.CancelFunc
	done         chan struct{}
	stopOnce     sync.Once
}

// Counts has the number of opened flows, of packets of flows that the target does not hold, and of corrupted packets.
type Counts struct{ Opened, NotHeld, Corrupted int }

// StartTarget starts a target that receives packets at an address.
func StartTarget(name, service string, address, outbound, admin netip.AddrPort) (*Target, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Target{
		Name: name, Service: service, Outbound: outbound, Admin: admin, conn: conn, startedMs: time.Now().UnixMilli(),
		flows: map[string]uint32{}, closed: map[string]bool{}, stop: cancel, done: make(chan struct{}, 2),
	}
	go func() { t.receive(); t.done <- struct{}{} }()
	go func() { t.sendHeartbeats(ctx); t.done <- struct{}{} }()
	return t, nil
}

// Stop ends the target without notice to its agent.
func (t *Target) Stop() {
	t.stopOnce.Do(func() {
		t.stop()
		_ = t.conn.Close()
		<-t.done
		<-t.done
	})
}

// Drain announces that the target leaves, and returns after its agent has acknowledged that.
func (t *Target) Drain(ctx context.Context) error {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	return t.sendHeartbeat(ctx)
}

// Deregister tells the agent that the target has ended, and stops it.
func (t *Target) Deregister(ctx context.Context) error {
	err := t.callAgent(ctx, http.MethodDelete, nil)
	t.Stop()
	return err
}

// SetHung makes the target hang, so that it sends neither packets nor heartbeats, or ends that.
func (t *Target) SetHung(hung bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hung = hung
}

// Counts returns the current counts.
func (t *Target) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Counts{Opened: t.opened, NotHeld: t.notHeld, Corrupted: t.corrupted}
}

// LastOpened returns the time at which the newest flow was opened.
func (t *Target) LastOpened() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastOpened
}

// MostOpenings returns the highest number of opening packets, also copies, that the target got in any second.
func (t *Target) MostOpenings() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mostOpenings
}

func (t *Target) recordOpening(now time.Time) {
	t.openings = append(t.openings, now)
	for now.Sub(t.openings[0]) > time.Second {
		t.openings = t.openings[1:]
	}
	t.mostOpenings = max(t.mostOpenings, len(t.openings))
}

func (t *Target) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, valid := Decode(buffer[:n])
		if reply, ok := t.respond(p, valid); ok {
			// If the agent is down, the caller sends its packet again.
			_, _ = t.conn.WriteToUDPAddrPort(reply.Encode(), t.Outbound)
		}
	}
}

// respond returns the packet that the target sends for a received one, and false when it sends none. A packet of a flow
// that the target does not hold goes back to the agent with the flag Returned.
func (t *Target) respond(p Packet, valid bool) (Packet, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hung {
		return Packet{}, false
	}
	if !valid {
		t.corrupted++
		return Packet{}, false
	}
	key := p.Source.String() + p.Destination.String()
	h := fnv.New32()
	_, _ = fmt.Fprint(h, t.Name, key)
	initialSequence := h.Sum32()
	reply := Packet{Source: p.Destination, Destination: p.Source, Sequence: initialSequence, Ack: p.Sequence + 1}
	storedSequence, held := t.flows[key]
	switch {
	case p.Flags == Syn:
		t.recordOpening(time.Now())
		if !held {
			t.opened++
			t.flows[key] = initialSequence
			t.lastOpened = time.Now()
		}
		reply.Flags = Syn | Ack
		return reply, true
	case p.Flags&Fin != 0 && (held || t.closed[key]):
		t.closed[key] = true
		delete(t.flows, key)
		reply.Flags, reply.Sequence = Fin|Ack, initialSequence+1
		return reply, true
	case t.closed[key] && len(p.Data) == 0:
		return Packet{}, false
	case !held || p.Ack-storedSequence-1 > 1<<16:
		t.notHeld++
		p.Flags |= Returned
		return p, true
	case len(p.Data) == 0:
		return Packet{}, false
	}
	reply.Flags, reply.Sequence = Ack, initialSequence+1
	reply.Data = []byte(t.Name + string(p.Data))
	return reply, true
}

func (t *Target) sendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		if !t.isHung() {
			// A failed heartbeat is not repeated; the next one follows.
			_ = t.sendHeartbeat(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (t *Target) isHung() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hung
}

func (t *Target) sendHeartbeat(ctx context.Context) error {
	t.mu.Lock()
	t.sequence++
	state := "ready"
	if t.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"Service": t.Service, "Addr": t.conn.LocalAddr().String(), "Zone": "z", "Version": "v1", "Concurrency": 4,
		"State": state, "WarmupLeftMs": 0, "Seq": t.sequence, "born": t.startedMs,
	})
	t.mu.Unlock()
	if err != nil {
		return err
	}
	return t.callAgent(ctx, http.MethodPut, body)
}

// callAgent sends a request about this target to the agent.
func (t *Target) callAgent(ctx context.Context, method string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+t.Admin.String()+"/targets/"+t.Name, bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s of %s: status %d", method, t.Name, res.StatusCode)
	}
	return nil
}
