package controller

import (
	"net/http"
	"time"

	"cherviltide.example/cherviltide/voter"
)

// maxClientAge bounds the use of one connection to the leader, so that one that is dead without being closed is replaced.
const maxClientAge = 5 * time.Second

// memberLog implements membershipLog with the replicated membership group.
type memberLog struct {
	controller *Controller
	client     *http.Client
	// url is the leader that client was created for, at createdAt.
	url       string
	createdAt time.Time
}

// Propose proposes an entry without waiting for it.
func (l *memberLog) Propose(entry []byte) {
	l.ProposeAndReport(entry, func(error) {})
}

// ProposeAndReport proposes an entry and calls done with its result on the control goroutine.
func (l *memberLog) ProposeAndReport(entry []byte, done func(error)) {
	l.controller.membership.propose(entry, done)
}

// IsLeader reports whether this instance leads the group.
func (l *memberLog) IsLeader() bool {
	_, leads := l.controller.membership.isLeader()
	return leads
}

// configurationGrace is how long this instance may be without contact with the leader of the configuration and still have
// followers. It covers an election, after which followers need no other instance.
const configurationGrace = 3 * voter.ElectionTimeout

// IsCurrent reports whether this instance was recently in contact with leaders of both groups that a majority confirms. An
// instance that is cut off from the configuration alone would keep its followers on outdated rules.
func (l *memberLog) IsCurrent() bool {
	return l.controller.membership.voter.IsCurrent() && l.controller.configuration.voter.IsCurrentWithin(configurationGrace)
}

// Leader returns the leader's base URL and a client for it.
func (l *memberLog) Leader() (string, *http.Client) {
	url, ok := l.controller.leaderURL(l.controller.membership)
	if !ok {
		return "", nil
	}
	if l.client == nil || l.url != url || time.Since(l.createdAt) > maxClientAge {
		if l.client != nil {
			l.client.CloseIdleConnections()
		}
		l.client, l.url, l.createdAt = l.controller.config.NewClient(), url, time.Now()
	}
	return url, l.client
}
