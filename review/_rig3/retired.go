package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// flagBounced marks a packet that a target returns.
const flagBounced = 16

// server is a stand-in of a target that keeps its flows and returns packets of others, as the protocol says.
type server struct {
	site                 *site
	name, service        string
	app, admin, outbound string
	conn                 net.PacketConn
	mu                   sync.Mutex
	flows                map[flowEnds]*serverFlow
	// own is the number of packets of flows that this target holds, foreign that of packets that it returned.
	own, foreign int
}

type flowEnds struct{ caller, virtual netip.AddrPort }

type serverFlow struct {
	seq, next uint32
	request   []byte
	answered  int
}

// startServer starts a target of a service with the agent on its machine.
func (s *site) startServer(number int, service string, seeds []string) (*server, *daemon, error) {
	side := &machine{site: s, name: fmt.Sprintf("side-%d", number), ip: fmt.Sprintf("127.%d.9.%d", s.network, number), zone: "muc-a", seeds: seeds}
	t := &server{
		site: s, name: side.name, service: service, app: net.JoinHostPort(side.ip, fmt.Sprint(s.internal+10)), admin: side.address(),
		outbound: net.JoinHostPort(side.ip, fmt.Sprint(s.internal+11)), flows: map[flowEnds]*serverFlow{},
	}
	agent := side.settings()
	agent["Role"], agent["NodeClass"], agent["Tiers"] = "agent", "side", []string{"side"}
	agent["Service"], agent["app"] = service, t.app
	agent["Listen"].(map[string]string)["outbound"] = t.outbound
	d, err := s.startDaemon(side.name, "agent", agent)
	if err != nil {
		return nil, nil, err
	}
	if t.conn, err = net.ListenPacket("udp4", t.app); err != nil {
		return nil, nil, err
	}
	go t.beat()
	go t.receive()
	return t, d, nil
}

func (t *server) beat() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	born := time.Now().UnixMilli()
	for seq := 1; ; seq++ {
		body := fmt.Appendf(nil, `{"Service":"%s","Addr":"%s","Zone":"muc-a","Version":"v1","Concurrency":3,"State":"ready","WarmupLeftMs":0,"Seq":%d,"born":%d}`,
			t.service, t.app, seq, born)
		if req, err := http.NewRequest(http.MethodPut, "http://"+t.admin+"/targets/i-"+t.name, bytes.NewReader(body)); err == nil {
			if res, err := client.Do(req); err == nil {
				_ = res.Body.Close()
			}
		}
		time.Sleep(770 * time.Millisecond)
	}
}

func (t *server) receive() {
	outbound, err := net.ResolveUDPAddr("udp4", t.outbound)
	if err != nil {
		return
	}
	buffer := make([]byte, 2048)
	for {
		n, _, err := t.conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		if answer := t.handle(bytes.Clone(buffer[:n])); answer != nil {
			_, _ = t.conn.WriteTo(answer, outbound)
		}
	}
}

// handle returns the packet with which the target answers another one, or nil.
func (t *server) handle(raw []byte) []byte {
	p, ok := decode(raw)
	if !ok {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	ends := flowEnds{p.from, p.to}
	f := t.flows[ends]
	if p.flags&flagSyn != 0 {
		if f == nil {
			f = &serverFlow{seq: rand.Uint32(), next: p.seq + 1}
			t.flows[ends] = f
		}
		return packet{from: p.to, to: p.from, flags: flagSyn | flagAck, seq: f.seq, ack: f.next}.encode()
	}
	if f == nil {
		t.foreign++
		raw[22] |= flagBounced
		clear(raw[23:28])
		return raw
	}
	t.own++
	answer := packet{from: p.to, to: p.from, flags: flagAck, seq: f.seq + 1 + uint32(f.answered*len(okAnswer)), ack: f.next}
	if len(p.data) == 0 {
		return nil
	}
	if p.seq == f.next {
		f.next += uint32(len(p.data))
		f.request = append(f.request, p.data...)
	}
	answer.ack = f.next
	if bytes.HasSuffix(f.request, []byte(requestEnd)) {
		f.request = nil
		answer.data = []byte(okAnswer)
		f.answered++
	}
	return answer.encode()
}

const (
	okAnswer   = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	requestEnd = "-end-of-body-"
	bodySize   = 4_000
	maxData    = 1_200
)

// longFlow is a flow of a client that stays open for several requests.
type longFlow struct {
	client   *client
	entry    net.Addr
	port     uint16
	packets  chan packet
	next     uint32
	ack      uint32
	requests int
}

// open opens a flow.
func (c *client) open(entry net.Addr) (*longFlow, bool) {
	c.mu.Lock()
	c.port++
	f := &longFlow{client: c, entry: entry, port: c.port, packets: make(chan packet, 64), next: rand.Uint32()}
	c.flows[c.port] = f.packets
	c.mu.Unlock()
	syn := f.packet(flagSyn, nil)
	for copies, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		syn.ack = uint32(copies)
		_, _ = c.conn.WriteTo(syn.encode(), entry)
		select {
		case p := <-f.packets:
			if p.flags&flagSyn == 0 {
				return nil, false
			}
			f.next++
			f.ack = p.seq + 1
			_, _ = c.conn.WriteTo(f.packet(flagAck, nil).encode(), entry)
			return f, true
		case <-time.After(wait):
		}
	}
	return nil, false
}

func (f *longFlow) packet(flags byte, data []byte) packet {
	return packet{
		from: netip.AddrPortFrom(f.client.ip, f.port), to: netip.MustParseAddrPort("127.0.18.1:8443"), flags: flags, seq: f.next, ack: f.ack, data: data,
	}
}

// request sends one request of several packets and reports whether it was answered before the deadline. Packets that are not
// acknowledged are sent again after 200 ms, and the interval doubles up to 1.6 s.
func (f *longFlow) request(deadline time.Duration) bool {
	f.requests++
	head := fmt.Sprintf("POST /lodge HTTP/1.1\r\nHost: a\r\nAttempt-Id: a-%d\r\nContent-Length: %d\r\n\r\n", f.requests, bodySize)
	body := []byte(head + strings.Repeat("x", bodySize-len(requestEnd)) + requestEnd)
	end := time.After(deadline)
	interval := 200 * time.Millisecond
	f.sendFrom(body, 0)
	again := time.NewTimer(interval)
	defer again.Stop()
	acknowledged := 0
	for {
		select {
		case <-end:
			return false
		case <-again.C:
			f.sendFrom(body, acknowledged)
			interval = min(2*interval, 1600*time.Millisecond)
			again.Reset(interval)
		case p := <-f.packets:
			if n := int(int32(p.ack - f.next)); n > acknowledged && n <= len(body) {
				acknowledged = n
			}
			if len(p.data) > 0 && p.seq == f.ack {
				f.next += uint32(len(body))
				f.ack += uint32(len(p.data))
				_, _ = f.client.conn.WriteTo(f.packet(flagAck, nil).encode(), f.entry)
				return true
			}
		}
	}
}

// sendFrom sends the packets of a request from an offset on.
func (f *longFlow) sendFrom(body []byte, offset int) {
	for ; offset < len(body); offset += maxData {
		p := f.packet(flagAck, body[offset:min(offset+maxData, len(body))])
		p.seq += uint32(offset)
		_, _ = f.client.conn.WriteTo(p.encode(), f.entry)
	}
}

// retiredConfiguration returns a configuration in which a service takes the route. services are those that it defines.
func retiredConfiguration(version int, service string, services ...string) []byte {
	var list []string
	for _, name := range services {
		list = append(list, fmt.Sprintf(`{"Name":"%s","HealthPath":"/healthz","MaxConns":2000,"Proto":"h1","Tls":false}`, name))
	}
	return fmt.Appendf(nil, `{"Version":%d,"Routes":[{"Name":"r-lodge","Host":"127.0.18.1","Prefix":"/8443/","Kind":"ingest","TimeoutMs":6000,`+
		`"GoalMs":800,"Priority":2,"Service":"%s","Attempts":2}],"Services":[%s],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,`+
		`"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`, version, service, strings.Join(list, ","))
}

// retiredService moves a route to another service and takes the former one out of the configuration while a flow is open there, and
// then stops and starts the daemons beside the targets in turn.
func retiredService(s *site, trouble bool) (int, error) {
	a := s.newMachine("edge-muc-a-1", "muc-a", 1, 1, true)
	b := s.newMachine("edge-muc-b-1", "muc-b", 2, 1, true)
	c := s.newMachine("edge-nue-a-1", "nue-a", 3, 1, true)
	seeds := []string{a.address(), b.address(), c.address()}
	for _, m := range s.machines {
		m.seeds = seeds
		if err := m.start(); err != nil {
			return couldNot, err
		}
	}
	settings := a.settings()
	settings["Role"], settings["Tiers"] = "entry", []string{"edge"}
	delete(settings, "DataDir")
	if _, err := s.startDaemon(a.name, "entry", settings); err != nil {
		return couldNot, err
	}
	var servers []*server
	var agents []*daemon
	for i, service := range []string{"old-registry", "new-registry", "new-registry", "new-registry", "new-registry"} {
		t, d, err := s.startServer(i+1, service, seeds)
		if err != nil {
			return couldNot, err
		}
		servers, agents = append(servers, t), append(agents, d)
	}
	client, err := s.newClient()
	if err != nil {
		return couldNot, err
	}
	if !s.putText(10, retiredConfiguration(10, "old-registry", "old-registry", "new-registry"), s.machines) {
		return couldNot, fmt.Errorf("version 10 was not acknowledged")
	}
	time.Sleep(propagationTime + time.Second)
	entry, err := net.ResolveUDPAddr("udp4", net.JoinHostPort(a.ip, fmt.Sprint(s.udp)))
	if err != nil {
		return couldNot, err
	}
	flow, ok := client.open(entry)
	if !ok {
		return couldNot, fmt.Errorf("the flow did not open")
	}
	opened := time.Now()
	s.logf("client: flow open; first request served: %v", flow.request(6*time.Second))
	if !s.putText(11, retiredConfiguration(11, "new-registry", "new-registry"), s.machines) {
		return couldNot, fmt.Errorf("version 11 was not acknowledged")
	}
	time.Sleep(propagationTime + time.Second)
	if !flow.request(6 * time.Second) {
		s.logf("the request after the change of the configuration was not served")
	} else {
		s.logf("client: the request on the open flow after the change was served by its target")
	}
	if trouble {
		for _, d := range agents {
			if err := d.restart(); err != nil {
				return couldNot, err
			}
			time.Sleep(500 * time.Millisecond)
		}
	}
	time.Sleep(contactTime)
	own, foreign := counts(servers)
	started := time.Now()
	served := flow.request(6 * time.Second)
	ownAfter, foreignAfter := counts(servers)
	s.logf("client: the next request on the open flow served: %v, after %.1f s; packets at its own target: %d, at others: %d; the flow is %.1f s old",
		served, time.Since(started).Seconds(), ownAfter-own, foreignAfter-foreign, time.Since(opened).Seconds())
	if ownAfter == own && foreignAfter-foreign >= 3 && time.Since(started) >= reorderTime {
		s.logf("BROKEN: FLOW: for more than ReorderMs three or more packets of the flow reached other targets and none its own")
		return broken, nil
	}
	if !served {
		s.logf("the request was not served")
	}
	return held, nil
}

// counts returns the packets of open flows at the targets that hold them, and those that reached other targets.
func counts(servers []*server) (own, foreign int) {
	for _, t := range servers {
		t.mu.Lock()
		own, foreign = own+t.own, foreign+t.foreign
		t.mu.Unlock()
	}
	return own, foreign
}

// putText sends a configuration to the machines in turn until it is acknowledged.
func (s *site) putText(version int, text []byte, to []*machine) bool {
	for i := 0; i < 50; i++ {
		m := to[i%len(to)]
		a := call(http.MethodPut, m.address(), "/config", text, time.Second)
		s.logf("operator: PUT /config version %d to %s: %d", version, m.name, a.status)
		if a.status == http.StatusOK {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}
