package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Fields of a packet.
const (
	headSize = 36
	flagSyn  = 64
	flagAck  = 128
	flagFin  = 32
	flagRst  = 2
)

// packet is a packet of a flow. Its checksum is that of a stand-in: the system doesn't know the key.
type packet struct {
	from, to netip.AddrPort
	flags    byte
	seq, ack uint32
	data     []byte
}

func (p packet) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	binary.BigEndian.PutUint16(b[4:], uint16(len(p.data)))
	binary.BigEndian.PutUint16(b[6:], p.from.Port())
	from, to := p.from.Addr().As4(), p.to.Addr().As4()
	copy(b[8:], from[:])
	copy(b[12:], to[:])
	binary.BigEndian.PutUint16(b[16:], p.to.Port())
	binary.BigEndian.PutUint32(b[18:], 0x5eed1234)
	b[22] = p.flags
	binary.BigEndian.PutUint32(b[28:], p.seq)
	binary.BigEndian.PutUint32(b[32:], p.ack)
	return append(b, p.data...)
}

func decode(b []byte) (packet, bool) {
	if len(b) < headSize {
		return packet{}, false
	}
	return packet{
		from:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[8:12])), binary.BigEndian.Uint16(b[6:])),
		to:    netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[12:16])), binary.BigEndian.Uint16(b[16:])),
		flags: b[22], seq: binary.BigEndian.Uint32(b[28:]), ack: binary.BigEndian.Uint32(b[32:]), data: b[headSize:],
	}, true
}

// daemon is an entry or an agent.
type daemon struct {
	site       *site
	name, role string
	starts     int
	command    *exec.Cmd
}

// startDaemon starts an entry or an agent with the command of the deploy file.
func (s *site) startDaemon(name, role string, settings map[string]any) (*daemon, error) {
	d := &daemon{site: s, name: name, role: role}
	if err := os.MkdirAll(d.directory(), 0o755); err != nil {
		return nil, err
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(d.directory(), "settings.json"), data, 0o644); err != nil {
		return nil, err
	}
	if err := d.start(); err != nil {
		return nil, err
	}
	s.daemons = append(s.daemons, d)
	return d, nil
}

func (d *daemon) directory() string { return filepath.Join(d.site.directory, d.role+"-"+d.name) }

func (d *daemon) start() error {
	d.starts++
	output, err := os.Create(filepath.Join(d.directory(), fmt.Sprintf("log-%d", d.starts)))
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	d.command = exec.Command(program, "platform", d.role, "--metrics-port", fmt.Sprint(d.site.metrics+100))
	d.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHERVILTIDE_SETTINGS=" + filepath.Join(d.directory(), "settings.json")}
	d.command.Stdout, d.command.Stderr = output, output
	if err := d.command.Start(); err != nil {
		return err
	}
	d.site.logf("%s %s started", d.role, d.name)
	return nil
}

// restart stops the process as planned, with SIGKILL after GraceS, and starts it again after a short delay.
func (d *daemon) restart() error {
	_ = d.command.Process.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(graceTime, func() { _ = d.command.Process.Signal(syscall.SIGKILL) })
	_ = d.command.Wait()
	kill.Stop()
	d.site.logf("%s %s has stopped", d.role, d.name)
	time.Sleep(restartDelay)
	return d.start()
}

func (d *daemon) kill() {
	_ = d.command.Process.Signal(syscall.SIGKILL)
	_ = d.command.Wait()
}

// startDataPath starts an entry on the machine of a control process and an agent beside a target, which it returns.
func (s *site) startDataPath(m *machine) (*target, error) {
	entry := m.settings()
	entry["Role"], entry["Tiers"] = "entry", []string{"edge"}
	delete(entry, "DataDir")
	if _, err := s.startDaemon(m.name, "entry", entry); err != nil {
		return nil, err
	}
	side := &machine{site: s, name: "side-muc-a-1", ip: fmt.Sprintf("127.%d.9.1", s.network), zone: "muc-a", seeds: m.seeds}
	t := &target{site: s, app: net.JoinHostPort(side.ip, fmt.Sprint(s.internal+10)), admin: side.address(), outbound: net.JoinHostPort(side.ip, fmt.Sprint(s.internal+11))}
	agent := side.settings()
	agent["Role"], agent["NodeClass"], agent["Tiers"] = "agent", "side", []string{"side"}
	agent["Service"], agent["app"] = "deposit-core", t.app
	agent["Listen"].(map[string]string)["outbound"] = t.outbound
	if _, err := s.startDaemon(side.name, "agent", agent); err != nil {
		return nil, err
	}
	return t, t.start()
}

// target is a stand-in of a target: it opens flows, answers one request a flow and sends heartbeats.
type target struct {
	site                 *site
	app, admin, outbound string
	conn                 net.PacketConn
	ran                  atomic.Int64
}

func (t *target) start() error {
	conn, err := net.ListenPacket("udp4", t.app)
	if err != nil {
		return err
	}
	t.conn = conn
	go t.beat()
	go t.receive()
	return nil
}

// beat sends heartbeats to the agent on the machine of the target.
func (t *target) beat() {
	client := &http.Client{Timeout: time.Second}
	born := time.Now().UnixMilli()
	for seq := 1; ; seq++ {
		body := fmt.Appendf(nil, `{"Service":"deposit-core","Addr":"%s","Zone":"muc-a","Version":"v1","Concurrency":3,"State":"ready","WarmupLeftMs":0,"Seq":%d,"born":%d}`,
			t.app, seq, born)
		if req, err := http.NewRequest(http.MethodPut, "http://"+t.admin+"/targets/i-1", bytes.NewReader(body)); err == nil {
			if res, err := client.Do(req); err == nil {
				_ = res.Body.Close()
			}
		}
		time.Sleep(770 * time.Millisecond)
	}
}

func (t *target) receive() {
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
		p, ok := decode(buffer[:n])
		if !ok {
			continue
		}
		answer := packet{from: p.to, to: p.from, flags: flagAck, seq: 7001, ack: p.seq + uint32(len(p.data))}
		switch {
		case p.flags&flagSyn != 0:
			answer.flags, answer.seq, answer.ack = flagSyn|flagAck, 7000, p.seq+1
		case len(p.data) > 0:
			t.ran.Add(1)
			answer.data = []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		default:
			continue
		}
		_, _ = t.conn.WriteTo(answer.encode(), outbound)
	}
}

// client is a stand-in of a client, with an address of its own.
type client struct {
	site *site
	conn net.PacketConn
	ip   netip.Addr
	mu   sync.Mutex
	// flows has the packets of each flow by the client's port.
	flows map[uint16]chan packet
	port  uint16
}

func (s *site) newClient() (*client, error) {
	ip := fmt.Sprintf("127.%d.200.1", s.network)
	conn, err := net.ListenPacket("udp4", net.JoinHostPort(ip, fmt.Sprint(s.udp)))
	if err != nil {
		return nil, err
	}
	c := &client{site: s, conn: conn, ip: netip.MustParseAddr(ip), flows: map[uint16]chan packet{}, port: 40000}
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		p, ok := decode(bytes.Clone(buffer[:n]))
		c.mu.Lock()
		flow := c.flows[p.to.Port()]
		c.mu.Unlock()
		if ok && flow != nil {
			select {
			case flow <- p:
			default:
			}
		}
	}
}

// request opens a flow through an entry, sends one request and reports whether it was answered before the deadline of 800 ms.
func (c *client) request(entry net.Addr) bool {
	c.mu.Lock()
	c.port++
	flow := make(chan packet, 16)
	port := c.port
	c.flows[port] = flow
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.flows, port)
		c.mu.Unlock()
	}()
	out := packet{from: netip.AddrPortFrom(c.ip, port), to: netip.MustParseAddrPort("127.0.18.1:8443"), flags: flagSyn, seq: 0x11223344}
	deadline := time.After(800 * time.Millisecond)
	again := time.NewTicker(200 * time.Millisecond)
	defer again.Stop()
	_, _ = c.conn.WriteTo(out.encode(), entry)
	for {
		select {
		case <-deadline:
			return false
		case <-again.C:
			_, _ = c.conn.WriteTo(out.encode(), entry)
		case p := <-flow:
			switch {
			case p.flags&flagRst != 0:
				return false
			case p.flags&flagSyn != 0:
				out.flags, out.seq, out.ack, out.data = flagAck, 0x11223345, p.seq+1, []byte("GET /status HTTP/1.1\r\nHost: a\r\nAttempt-Id: 1\r\n\r\n")
				_, _ = c.conn.WriteTo(out.encode(), entry)
			case len(p.data) > 0:
				return true
			}
		}
	}
}
