package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Times of the handover case.
const (
	handoverNew = 4
	// handoverOverlap is how long the new control instance runs beside the old one; it is longer than SyncS.
	handoverOverlap = 10 * time.Second
	// changeAfter is the time from the end of the old instance to the change.
	changeAfter = time.Second
	wipedDown   = time.Second
	recoveryS   = 12
)

// runHandover replaces a control instance as planned: an empty one at another address starts and becomes a voter, and then the
// old one is stopped for good. The next instance that acknowledges a change loses its disk. It checks that the acknowledged
// configuration can be read back.
func runHandover(e *environment) (bool, error) {
	r := &replacedSite{environment: e, controls: map[int]*process{}}
	for _, n := range e.site.seeds {
		if err := r.startControl(n, true); err != nil {
			return false, err
		}
	}
	if !e.site.putUntilAcknowledged(bridgeConfiguration(1, oldService), 15*time.Second) {
		return false, errors.New("the first configuration was not acknowledged")
	}
	time.Sleep(5 * time.Second)
	old, wiped := 3, 1
	if e.trouble {
		if err := r.startControl(handoverNew, false); err != nil {
			return false, err
		}
		e.note(true, "an empty control instance starts on machine %d", handoverNew)
	}
	time.Sleep(handoverOverlap)
	for n := range r.controls {
		e.note(true, "control on machine %d: %s", n, r.voterCounts(n))
	}
	if e.trouble {
		r.controls[old].terminate()
		if _, err := newSilent(e.site.address(old, 0).Addr().As4(), int(e.site.p.admin)); err != nil {
			return false, err
		}
		e.note(true, "control on machine %d, which machine %d replaces, is stopped for good", old, handoverNew)
	}
	time.Sleep(changeAfter)
	sent := time.Now()
	acknowledged := 0
	for end := sent.Add(10 * time.Second); acknowledged == 0 && time.Now().Before(end); {
		if status, _ := call(http.MethodPut, e.site.address(wiped, e.site.p.admin), "/config", bridgeConfiguration(2, newService), time.Second); status == 200 {
			acknowledged = 2
		}
	}
	if acknowledged == 0 {
		return false, errors.New("version 2 was not acknowledged")
	}
	e.note(true, "machine %d acknowledges version 2, %d ms after it was first sent", wiped, time.Since(sent).Milliseconds())
	if e.trouble {
		_ = r.controls[wiped].Signal(syscall.SIGKILL)
		r.controls[wiped].Wait()
		if err := os.RemoveAll(filepath.Join(e.site.dir, name("control", wiped)+".data")); err != nil {
			return false, err
		}
		e.note(true, "machine %d loses power and its disk", wiped)
		time.Sleep(wipedDown)
		if err := r.startControl(wiped, false); err != nil {
			return false, err
		}
		e.note(true, "machine %d is back at its address with an empty disk", wiped)
	}
	time.Sleep(recoveryS * time.Second)
	e.note(true, "RecoveryS after that the operator reads the configuration back for 20 s")
	read, refused := 0, 0
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for n := range r.controls {
			if n == old && e.trouble {
				continue
			}
			status, body := call(http.MethodGet, e.site.address(n, e.site.p.admin), "/config", nil, time.Second)
			e.note(false, "read at machine %d: status %d, %d bytes", n, status, len(body))
			if status == 200 && strings.Contains(string(body), fmt.Sprintf(`"Version":%d,`, acknowledged)) {
				read++
			} else {
				refused++
			}
		}
	}
	for n := range r.controls {
		e.note(true, "control on machine %d: %s", n, r.voterCounts(n))
	}
	e.note(true, "version %d was read %d times; %d reads were not answered with it", acknowledged, read, refused)
	if read == 0 {
		e.note(true, "CONFIG: version %d was acknowledged and doesn't come any more", acknowledged)
	}
	return read > 0, nil
}
