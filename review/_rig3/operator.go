package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// answer is the outcome of one call of an operator.
type answer struct {
	// status is 0 without an answer.
	status int
	body   []byte
}

// call sends one request to a control process and follows a redirection twice, as operators do.
func call(method, base, path string, body []byte, timeout time.Duration) answer {
	client := &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	url := "http://" + base + path
	for range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
		if err != nil {
			cancel()
			return answer{}
		}
		req.Header.Set("Content-Type", "application/json")
		res, err := client.Do(req)
		if err != nil {
			cancel()
			return answer{}
		}
		data, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		cancel()
		if err != nil {
			return answer{}
		}
		if res.StatusCode != http.StatusTemporaryRedirect {
			return answer{status: res.StatusCode, body: data}
		}
		url = res.Header.Get("Location")
	}
	return answer{status: http.StatusTemporaryRedirect}
}

// configuration returns a valid configuration. Its only difference between versions is a timeout.
func configuration(version int) []byte {
	return fmt.Appendf(nil, `{"Version":%d,"Routes":[{"Name":"r-status","Host":"127.0.18.1","Prefix":"/8443/","Kind":"idempotent","TimeoutMs":%d,`+
		`"GoalMs":120,"Priority":2,"Service":"deposit-core","Attempts":2}],"Services":[{"Name":"deposit-core","HealthPath":"/healthz",`+
		`"MaxConns":2000,"Proto":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,`+
		`"IdleTimeoutMs":15000}}`, version, 800+version)
}

// put sends a version to the given machines in turn until it is acknowledged, and returns when that was; the time is zero if it
// was not acknowledged in time.
func (s *site) put(version int, to []*machine, within time.Duration) time.Time {
	deadline := time.Now().Add(within)
	for i := 0; time.Now().Before(deadline); i++ {
		m := to[i%len(to)]
		a := call(http.MethodPut, m.address(), "/config", configuration(version), time.Second)
		s.logf("operator: PUT /config version %d to %s: %d", version, m.name, a.status)
		if a.status == http.StatusOK {
			return time.Now()
		}
		time.Sleep(200 * time.Millisecond)
	}
	return time.Time{}
}

// read reads the configuration at a machine. The version is 0 if none was returned.
func (s *site) read(m *machine) (version, status int) {
	a := call(http.MethodGet, m.address(), "/config", nil, time.Second)
	var c struct{ Version int }
	if a.status == http.StatusOK && json.Unmarshal(a.body, &c) != nil {
		c.Version = -1
	}
	s.logf("operator: GET /config at %s: %d version %d", m.name, a.status, c.Version)
	return c.Version, a.status
}

// readBack reads the configuration again and again at all machines that run, for the given time, as operators do at the end of a day.
// It starts processes again that have ended by themselves. It returns the newest version of the last round, which is 0 if no machine
// returned one, and the number of processes that have ended.
func (s *site) readBack(machines []*machine, during time.Duration) (newest, ended int, err error) {
	for deadline := time.Now().Add(during); time.Now().Before(deadline); time.Sleep(700 * time.Millisecond) {
		newest = 0
		for _, m := range machines {
			if m.command == nil {
				continue
			}
			version, _ := s.read(m)
			newest = max(newest, version)
		}
		n, err := s.restartEnded()
		if ended += n; err != nil {
			return newest, ended, err
		}
	}
	return newest, ended, nil
}
