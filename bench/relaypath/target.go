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

// beatInterval is the time between two heartbeats of a target.
const beatInterval = 200 * time.Millisecond

// Target is a back end that answers each payload with the same payload under its own name.
type Target struct {
	Name, Service string
	// Outbound receives all that the target sends; Admin its heartbeats.
	Outbound, Admin netip.AddrPort
	conn            *net.UDPConn
	born            int64
	mu              sync.Mutex
	flows           map[string]uint32
	// closed has the flows that callers have ended.
	closed   map[string]bool
	draining bool
	muted    bool
	// lastOpened is when the newest flow was opened.
	lastOpened time.Time
	// Opened counts flows, Foreign packets of flows that the target does not hold, Damaged those that were changed.
	opened, foreign, damaged int
	sequence                 uint64
	stop                     context.CancelFunc
	ended                    chan struct{}
	once                     sync.Once
}

// Counts are what a target has seen.
type Counts struct{ Opened, Foreign, Damaged int }

// StartTarget starts a target at an address.
func StartTarget(name, service string, address, outbound, admin netip.AddrPort) (*Target, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Target{
		Name: name, Service: service, Outbound: outbound, Admin: admin, conn: conn, born: time.Now().UnixMilli(),
		flows: map[string]uint32{}, closed: map[string]bool{}, stop: cancel, ended: make(chan struct{}, 2),
	}
	go func() { t.receive(); t.ended <- struct{}{} }()
	go func() { t.beats(ctx); t.ended <- struct{}{} }()
	return t, nil
}

// Stop ends the target.
func (t *Target) Stop() {
	t.once.Do(func() {
		t.stop()
		_ = t.conn.Close()
		<-t.ended
		<-t.ended
	})
}

// Drain makes the target say that it leaves, and returns after its agent has acknowledged that.
func (t *Target) Drain(ctx context.Context) error {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	return t.beat(ctx)
}

// Leave says that the target has ended, and stops it.
func (t *Target) Leave(ctx context.Context) error {
	err := t.call(ctx, http.MethodDelete, nil)
	t.Stop()
	return err
}

// Mute makes the target answer nothing and send no heartbeats, or answer again.
func (t *Target) Mute(muted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.muted = muted
}

// Counts returns what the target has seen.
func (t *Target) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Counts{Opened: t.opened, Foreign: t.foreign, Damaged: t.damaged}
}

// LastOpened returns when the newest flow was opened.
func (t *Target) LastOpened() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastOpened
}

func (t *Target) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, whole := Decode(buffer[:n])
		if reply, ok := t.answer(p, whole); ok {
			// The agent may be down; the caller sends again then.
			_, _ = t.conn.WriteToUDPAddrPort(reply.Encode(), t.Outbound)
		}
	}
}

// answer returns what the target sends for a packet.
func (t *Target) answer(p Packet, whole bool) (Packet, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.muted {
		return Packet{}, false
	}
	if !whole {
		t.damaged++
		return Packet{}, false
	}
	key := p.Source.String() + p.Destination.String()
	h := fnv.New32()
	_, _ = fmt.Fprint(h, t.Name, key)
	own := h.Sum32()
	reply := Packet{Source: p.Destination, Destination: p.Source, Sequence: own, Ack: p.Sequence + 1}
	opened, held := t.flows[key]
	switch {
	case p.Flags == Syn:
		if !held {
			t.opened++
			t.flows[key] = own
			t.lastOpened = time.Now()
		}
		reply.Flags = Syn | Ack
		return reply, true
	case p.Flags&Fin != 0 && (held || t.closed[key]):
		t.closed[key] = true
		delete(t.flows, key)
		reply.Flags, reply.Sequence = Fin|Ack, own+1
		return reply, true
	case t.closed[key] && len(p.Data) == 0:
		return Packet{}, false
	case !held || p.Ack-opened-1 > 1<<16:
		t.foreign++
		p.Flags |= Returned
		return p, true
	case len(p.Data) == 0:
		return Packet{}, false
	}
	reply.Flags, reply.Sequence = Ack, own+1
	reply.Data = []byte(t.Name + string(p.Data))
	return reply, true
}

func (t *Target) beats(ctx context.Context) {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		if !t.silent() {
			// A heartbeat that fails is followed by the next one.
			_ = t.beat(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (t *Target) silent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.muted
}

func (t *Target) beat(ctx context.Context) error {
	t.mu.Lock()
	t.sequence++
	state := "ready"
	if t.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"Service": t.Service, "Addr": t.conn.LocalAddr().String(), "Zone": "z", "Version": "v1", "Concurrency": 4,
		"State": state, "WarmupLeftMs": 0, "Seq": t.sequence, "born": t.born,
	})
	t.mu.Unlock()
	if err != nil {
		return err
	}
	return t.call(ctx, http.MethodPut, body)
}

// call sends a call to the agent.
func (t *Target) call(ctx context.Context, method string, body []byte) error {
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
