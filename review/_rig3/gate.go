package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// gate has the address of a control process and forwards connections to it. While the caller's process is cut off, it holds the
// connection without a byte, as a silent partition does.
type gate struct {
	machine  *machine
	listener net.Listener
	mu       sync.Mutex
	cut      map[*machine]bool
	open     map[net.Conn]*machine
}

// newGate puts a gate in front of a machine that has not started.
func newGate(m *machine) (*gate, error) {
	l, err := net.Listen("tcp", m.address())
	if err != nil {
		return nil, err
	}
	g := &gate{machine: m, listener: l, cut: map[*machine]bool{}, open: map[net.Conn]*machine{}}
	m.gate = g
	go g.accept()
	return g, nil
}

// setCut cuts callers off, or lets them pass again; the connections that were held are then closed.
func (g *gate) setCut(callers []*machine, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range callers {
		g.cut[m] = cut
	}
	for conn, caller := range g.open {
		if caller != nil && !cut && !g.cut[caller] {
			_ = conn.Close()
		}
	}
}

func (g *gate) isCut(caller *machine) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cut[caller]
}

func (g *gate) accept() {
	for {
		conn, err := g.listener.Accept()
		if err != nil {
			return
		}
		go g.serve(conn)
	}
}

// serve forwards one connection.
func (g *gate) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	caller := g.callerOf(conn)
	g.mu.Lock()
	g.open[conn] = caller
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(g.open, conn)
		g.mu.Unlock()
	}()
	if caller != nil && g.isCut(caller) {
		// What the caller sends is lost.
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	to, err := net.Dial("tcp", g.machine.listenAddress())
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	done := make(chan struct{}, 2)
	pass := func(from, to net.Conn) {
		buffer := make([]byte, 64<<10)
		for {
			n, err := from.Read(buffer)
			if n > 0 && !(caller != nil && g.isCut(caller)) {
				if _, err := to.Write(buffer[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go pass(conn, to)
	go pass(to, conn)
	<-done
}

// callerOf returns the machine whose control process has opened a connection, or nil for any other caller. On loopback the
// address does not tell it, so it looks for the socket among the files of the processes.
func (g *gate) callerOf(conn net.Conn) *machine {
	for range 5 {
		if inode := socketInode(conn.RemoteAddr().(*net.TCPAddr), conn.LocalAddr().(*net.TCPAddr)); inode != "" {
			for _, m := range g.machine.site.machines {
				if m.pid() != 0 && hasSocket(m.pid(), inode) {
					return m
				}
			}
			return nil
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

// socketInode returns the inode of the socket with the given ends.
func socketInode(local, remote *net.TCPAddr) string {
	want := procAddress(local) + " " + procAddress(remote)
	for _, path := range []string{"/proc/self/net/tcp", "/proc/self/net/tcp6"} {
		file, err := os.Open(path)
		if err != nil {
			continue
		}
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			fields := strings.Fields(lines.Text())
			if len(fields) > 9 && strings.HasSuffix(path, "tcp") && fields[1]+" "+fields[2] == want {
				_ = file.Close()
				return fields[9]
			}
		}
		_ = file.Close()
	}
	return ""
}

// procAddress returns an address as the table of sockets has it.
func procAddress(a *net.TCPAddr) string {
	ip := a.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
}

// hasSocket reports whether a process has a socket open.
func hasSocket(pid int, inode string) bool {
	directory := "/proc/" + strconv.Itoa(pid) + "/fd"
	entries, err := os.ReadDir(directory)
	if err != nil {
		return false
	}
	for _, e := range entries {
		if target, err := os.Readlink(directory + "/" + e.Name()); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
