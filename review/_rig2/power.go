package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// recordHeader is the size of the first of the two writes that the journal makes for each record.
const recordHeader = 12

// runPower cuts the power of three control instances while a change is being written. On two of them the second write of the record,
// which no sync has covered yet, is present, and the first one is missing.
func runPower(r *record, trouble bool) error {
	s, err := newSite(r, []int{1, 2, 3}, 1)
	if err != nil {
		return err
	}
	defer s.close()
	machines := []int{1, 2, 3}
	var list []*daemon
	for _, n := range machines {
		d, err := s.start("control", n, "", true)
		if err != nil {
			return err
		}
		list = append(list, d)
	}
	if !s.put(3, configuration(3, "desk"), machines, time.Now().Add(20*time.Second)) {
		return errors.New("the first version was not acknowledged")
	}
	for _, n := range machines {
		if !s.readBack(3, []int{n}, 10*time.Second) {
			return errors.New("the first version was not read before the power loss")
		}
	}
	// Nothing is written while nothing changes, so the files have been synced to their ends.
	time.Sleep(2 * time.Second)
	synced := map[int]int64{}
	for _, d := range list {
		if synced[d.machine], err = fileSize(s.journal(d)); err != nil {
			return err
		}
	}
	if err := s.sendOnly(2, configuration(5, "desk")); err != nil {
		return err
	}
	for _, d := range list {
		if err := s.awaitGrowth(d, synced[d.machine]); err != nil {
			return err
		}
	}
	for _, d := range list {
		s.stop(d, syscall.SIGKILL)
	}
	if trouble {
		for _, d := range list[:2] {
			if err := dropHeader(s.journal(d), synced[d.machine]); err != nil {
				return err
			}
			r.log("machine %d: after the last sync (%d bytes) the first write is missing, the second one is present", d.machine, synced[d.machine])
		}
	}
	time.Sleep(time.Second)
	for _, d := range list {
		if err := s.restart(d, false); err != nil {
			return err
		}
	}
	if !s.readBack(3, machines, 30*time.Second) {
		return fmt.Errorf("%w: version 3 was acknowledged and synced before the power loss", errBroken)
	}
	return nil
}

// journal returns the path of the log of the configuration of a control instance.
func (s *site) journal(d *daemon) string {
	return filepath.Join(s.dir, d.name+".data", "Configuration", "log")
}

func fileSize(path string) (int64, error) {
	info, err := os.Stat(path)
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// awaitGrowth waits until a whole record follows the given size of the log of an instance.
func (s *site) awaitGrowth(d *daemon, size int64) error {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		data, err := os.ReadFile(s.journal(d))
		if err != nil {
			return err
		}
		rest := data[min(size, int64(len(data))):]
		if len(rest) > recordHeader && len(rest) >= recordHeader+int(binary.BigEndian.Uint32(rest)) {
			return nil
		}
	}
	return errors.New("the change was not written")
}

// dropHeader leaves of the writes behind the given size only the second one; the first one was at the given size.
func dropHeader(path string, size int64) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	end := size + recordHeader + int64(binary.BigEndian.Uint32(data[size:]))
	clear(data[size : size+recordHeader])
	return os.WriteFile(path, data[:end], 0o600)
}

// sendOnly sends a configuration to a machine and does not wait for the answer, which the power loss takes away.
func (s *site) sendOnly(machine int, body []byte) error {
	conn, err := net.Dial("tcp", s.address(machine, adminPort).String())
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, s.configURL(machine), nil)
	if err != nil {
		return err
	}
	s.record.log("version 5 sent to machine %d", machine)
	_, err = fmt.Fprintf(conn, "PUT /config HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", req.Host, len(body), body)
	return err
}
