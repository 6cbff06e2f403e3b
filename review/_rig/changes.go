package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// changeRoutes is the number of routes that the configuration grows by, changeVersions the number of versions.
	changeRoutes   = 240 + 1400 + 1320
	changeVersions = 900
	changesFor     = 88 * time.Second
	changePause    = 5 * time.Millisecond
	restartDelay   = time.Second
)

// anonymousMb returns the memory of a process without mapped files, in units of 2^20 bytes.
func anonymousMb(id int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", id))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// diskMb returns the size of the files of a control instance, in units of 2^20 bytes.
func (s *site) diskMb(machine int) float64 {
	var total int64
	_ = filepath.Walk(filepath.Join(s.dir, fmt.Sprintf("control-%d.data", machine)), func(_ string, info os.FileInfo, err error) error {
		if err == nil && !info.IsDir() {
			total += info.Size()
		}
		return nil
	})
	return float64(total) / (1 << 20)
}

// memoryLimit is the platform's limit of the memory of a process: it kills a control instance that uses more, and starts
// it again after a delay.
type memoryLimit struct {
	e      *environment
	stop   chan struct{}
	wg     sync.WaitGroup
	mu     sync.Mutex
	kills  map[int]int
	peaks  map[int]float64
	failed error
}

func (m *memoryLimit) watch(p *process) {
	defer m.wg.Done()
	for {
		select {
		case <-m.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		used := anonymousMb(p.ID())
		m.mu.Lock()
		m.peaks[p.machine] = max(m.peaks[p.machine], used)
		m.mu.Unlock()
		if used <= ramMb {
			continue
		}
		m.e.note(m.kills[p.machine] < 3, "control on machine %d uses %.0f MB of %d MB and is killed; its files have %.0f MB", p.machine, used, ramMb, m.e.site.diskMb(p.machine))
		_ = p.Signal(syscall.SIGKILL)
		p.Wait()
		m.mu.Lock()
		m.kills[p.machine]++
		m.mu.Unlock()
		time.Sleep(restartDelay)
		next, err := m.e.site.start("control", p.machine, "", false)
		if err != nil {
			m.failed = err
			return
		}
		p = next
	}
}

// ended returns on how many machines the control process was killed three times or more.
func (m *memoryLimit) ended() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, kills := range m.kills {
		if kills >= 3 {
			n++
		}
	}
	return n
}

// report notes what the limit did, and returns whether rule Fault held: processes did not end three times on half of the core.
func (m *memoryLimit) report() bool {
	for _, n := range m.e.site.seeds {
		m.e.note(true, "control on machine %d was killed %d times for its memory; peak %.0f MB of %d MB; files %.0f MB", n, m.kills[n], m.peaks[n], ramMb, m.e.site.diskMb(n))
	}
	n := m.ended()
	if n >= 2 {
		m.e.note(true, "Fault: on %d of 3 machines of the core a process ended three times or more", n)
	}
	return n < 2
}

// manyRoutes returns the routes of a version. The time-out of the last route differs between versions; with all, that of each
// route that the configuration has grown by does.
func manyRoutes(version, count int, all bool) []route {
	list := []route{{virtual.Addr().String(), int(virtual.Port()), "non_idempotent", service, 5000, 500}}
	for i := range count {
		timeout := 1000
		if all || i == count-1 {
			timeout += version
		}
		list = append(list, route{fmt.Sprintf("198.19.%d.%d", i/250, 1+i%250), 8443, "idempotent", service, timeout, 100})
	}
	return list
}

// runChanges sends one version of a configuration after the other, several hundred in all; each changes time-outs. With
// trouble the configuration has many routes. Nothing else happens. It checks that the newest acknowledged configuration can be
// read at the end, and that no control instance ends three times because of the platform's limit of its memory.
func runChanges(e *environment, all bool) (bool, error) {
	if _, _, err := e.startSystem(newLedger(), 2); err != nil {
		return false, err
	}
	m := &memoryLimit{e: e, stop: make(chan struct{}), kills: map[int]int{}, peaks: map[int]float64{}}
	for _, p := range e.site.processes {
		if p.role == "control" {
			m.wg.Add(1)
			go m.watch(p)
		}
	}
	count := 1
	if e.trouble {
		count = changeRoutes
	}
	start, acknowledged, size := time.Now(), 1, 0
	for v := 2; v < 2+changeVersions && time.Since(start) < changesFor && (all || m.ended() < 2); v++ {
		body := configuration(v, manyRoutes(v, count, all), []string{service})
		size = len(body)
		sent := time.Now()
		ok := e.site.putUntilAcknowledged(body, 5*time.Second)
		e.noteAt(sent, false, "version %d, %d bytes: acknowledged %v after %d ms", v, size, ok, time.Since(sent).Milliseconds())
		if !ok {
			e.note(true, "version %d was not acknowledged within 5 s", v)
			break
		}
		acknowledged = v
		time.Sleep(changePause)
	}
	e.note(true, "%d versions of about %d bytes were acknowledged in %.0f s; the operator sends no more", acknowledged, size, time.Since(start).Seconds())
	if !all && m.ended() >= 2 {
		close(m.stop)
		m.wg.Wait()
		return m.report(), m.failed
	}
	// RecoveryS passes before the operator reads the configuration back, repeatedly and for longer than ContactMs.
	time.Sleep(15 * time.Second)
	read := false
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end) && !read; time.Sleep(200 * time.Millisecond) {
		for _, n := range e.site.seeds {
			status, body := call(http.MethodGet, e.site.address(n, e.site.p.admin), "/config", nil, time.Second)
			e.note(false, "read at machine %d: status %d, %d bytes", n, status, len(body))
			read = read || (status == 200 && strings.Contains(string(body), fmt.Sprintf(`"Version":%d,`, acknowledged)))
		}
	}
	close(m.stop)
	m.wg.Wait()
	if m.failed != nil {
		return false, m.failed
	}
	if !read {
		e.note(true, "CONFIG: version %d was acknowledged, and no instance returned it from 15 s to 21 s after the last change", acknowledged)
	}
	return m.report() && read, nil
}
