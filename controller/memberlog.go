package controller

import (
	"net/http"
	"time"
)

// clientAge bounds the use of one connection to the leader, so that a silently dead one is given up.
const clientAge = 5 * time.Second

// memberLog is the membership log over the replicated group.
type memberLog struct {
	controller *Controller
	client     *http.Client
	// url and made belong to client.
	url  string
	made time.Time
}

// Record proposes an entry without waiting for it.
func (l *memberLog) Record(entry []byte) {
	l.controller.membership.propose(entry, func(error) {})
}

// Leads reports whether this instance leads the group.
func (l *memberLog) Leads() bool {
	_, leads := l.controller.membership.leads()
	return leads
}

// Current reports whether this instance has heard lately from a leader that a majority confirms.
func (l *memberLog) Current() bool {
	return l.controller.membership.voter.IsCurrent()
}

// Leader returns the leader's base URL and a client for it.
func (l *memberLog) Leader() (string, *http.Client) {
	url, ok := l.controller.leaderURL(l.controller.membership)
	if !ok {
		return "", nil
	}
	if l.client == nil || l.url != url || time.Since(l.made) > clientAge {
		if l.client != nil {
			l.client.CloseIdleConnections()
		}
		l.client, l.url, l.made = l.controller.config.NewClient(), url, time.Now()
	}
	return url, l.client
}
