package main

import (
	"time"
)

// agentGap is the time between two daemons that are stopped.
const agentGap = 4 * time.Second

// runAgents stops and starts the daemons beside the targets in turn.
func runAgents(e *environment) (bool, error) {
	ledger := newLedger()
	targets, agents, err := e.startSystem(ledger, targetCount)
	if err != nil {
		return false, err
	}
	r := newRouter(e.site, []int{1, 2, 3})
	c, err := startClients(r, clientMachine)
	if err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	l := startLoad(e, c)
	time.Sleep(4 * time.Second)
	done := make(chan struct{})
	for n := firstTarget; n < firstTarget+targetCount; n++ {
		if e.trouble {
			go func() {
				from := time.Now()
				agents[n].terminate()
				e.note(true, "daemon on machine %d has ended", n)
				time.Sleep(300 * time.Millisecond)
				if _, err := e.site.start("agent", n, service, false); err != nil {
					e.note(true, "%v", err)
				}
				ledger.mu.Lock()
				ledger.disruptions[targets[n].name] = append(ledger.disruptions[targets[n].name], interval{from, time.Now()})
				ledger.mu.Unlock()
				done <- struct{}{}
			}()
		} else {
			go func() { done <- struct{}{} }()
		}
		time.Sleep(agentGap)
	}
	for range targetCount {
		<-done
	}
	time.Sleep(15 * time.Second)
	close(l.stop)
	l.wg.Wait()
	return e.judgeFlows(ledger, l), nil
}
