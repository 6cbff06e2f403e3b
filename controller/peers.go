package controller

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/runner"
	"cherviltide.example/cherviltide/voter"
)

const (
	// mailboxCapacity and maxRequestMessages are numbers of messages.
	mailboxCapacity    = 64
	maxRequestMessages = 8
	// largeMessageBytes is the size above which a message does not share a connection with heartbeats.
	largeMessageBytes = 64 << 10
	// maxRequestBytes is the size from which on a request gets no further messages.
	maxRequestBytes = 256 << 10
	// maxPeers bounds the peers that a control instance sends to in each group at a time.
	maxPeers = 256
	// stepTimeout bounds a request to a peer. It is shorter than an election timeout, so that a connection that is dead
	// without being closed is replaced before the voters elect another leader.
	stepTimeout = 400 * time.Millisecond
	// slowTransfer is added to stepTimeout for each KiB of a request. A machine with little processor time needs hundreds of
	// milliseconds for an entry of several hundred KiB, and would never take it in if each attempt ended before that.
	slowTransfer = time.Millisecond
	// receiveTimeout bounds the wait of a received message for the control goroutine.
	receiveTimeout = 2 * time.Second
	retryDelay     = 50 * time.Millisecond
)

// sendMessages sends the messages of a mailbox to a peer until the mailbox is closed. After a failure it opens a new connection.
func (c *Controller) sendMessages(ctx context.Context, g *group, peer string, mailbox <-chan voter.Message) error {
	client := c.config.NewClient()
	defer func() { client.CloseIdleConnections() }()
	reachable := true
	for {
		req := &messenger.StepRequest{Group: g.name}
		select {
		case <-ctx.Done():
			return nil
		case m, open := <-mailbox:
			if !open {
				return nil
			}
			req.Messages = append(req.Messages, m)
		}
		size := req.Messages[0].Size()
		for len(req.Messages) < maxRequestMessages && size < maxRequestBytes && len(mailbox) > 0 {
			m := <-mailbox
			req.Messages, size = append(req.Messages, m), size+m.Size()
		}
		callCtx, cancel := context.WithTimeout(ctx, stepTimeout+time.Duration(size>>10)*slowTransfer)
		_, err := messenger.Step.Call(callCtx, client, c.instanceURL(peer), req)
		cancel()
		if reachable != (err == nil) {
			reachable = err == nil
			c.config.Log.Info("PeerReachable", zap.String("Group", g.name), zap.String("Peer", peer),
				zap.Bool("Reachable", reachable), zap.Error(err))
		}
		if err != nil {
			client.CloseIdleConnections()
			client = c.config.NewClient()
			_ = runner.Sleep(ctx, retryDelay)
		}
	}
}

// step receives messages of a peer, also when the peer has stopped waiting: it would send them again.
func (c *Controller) step(ctx context.Context, req *messenger.StepRequest) (*messenger.StepResponse, error) {
	g, ok := c.groups[req.Group]
	if !ok {
		return nil, fault("controller.step", cherviltide.KindInvalid, errUnknownGroup)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), receiveTimeout)
	defer cancel()
	err := c.runInLoop(ctx, func() {
		for _, m := range req.Messages {
			if !g.admitted {
				g.watched.heard(m.From, m.Type)
			}
			g.voter.Receive(m)
		}
	})
	return &messenger.StepResponse{}, err
}

// leaderURL returns the base URL of a group's leader, and false when it is not known or is this instance.
func (c *Controller) leaderURL(g *group) (string, bool) {
	id, ok := g.voter.Leader()
	if !ok || id.Name == c.config.Name {
		return "", false
	}
	url := c.instanceURL(id.Name)
	return url, url != ""
}

// instanceURL returns the base URL of a control instance; it is empty when the instance is not known.
func (c *Controller) instanceURL(name string) string {
	for _, v := range c.config.Voters {
		if v.Name == name {
			return v.URL
		}
	}
	if c.config.URL != nil {
		return c.config.URL(name)
	}
	return ""
}

// AddSeeds adds control instances that the voters contact to find the leaders. It is used after a change of the settings.
func (c *Controller) AddSeeds(ctx context.Context, names []string) error {
	return c.runInLoop(ctx, func() {
		for _, g := range c.groups {
			g.voter.AddSeeds(names)
		}
	})
}

// voterURLs returns the base URLs of the voters of the configuration group, this instance included.
func (c *Controller) voterURLs() []string {
	var list []string
	for _, id := range c.configuration.voter.Voters() {
		if url := c.instanceURL(id.Name); url != "" {
			list = append(list, url)
		}
	}
	return list
}

// leaderLocation tells where the leader of a group is.
type leaderLocation struct {
	isSelf bool
	// term is the term in which this instance leads; 0 if it does not.
	term uint64
	// url is the leader's base URL; it is empty when the leader is not known or is this instance.
	url string
}

// locateLeader returns where the leader of a group is.
func (c *Controller) locateLeader(ctx context.Context, g *group) (leaderLocation, error) {
	var r leaderLocation
	err := c.runInLoop(ctx, func() {
		if term, leads := g.isLeader(); leads {
			r.isSelf, r.term = true, term
		}
		r.url, _ = c.leaderURL(g)
	})
	return r, err
}

// locate returns the base URL of the leader of the configuration, which may be this instance.
func (c *Controller) locate(ctx context.Context, _ *messenger.LocateRequest) (*messenger.LocateResponse, error) {
	r, err := c.locateLeader(ctx, c.configuration)
	switch {
	case err != nil:
		return nil, err
	case r.isSelf:
		return &messenger.LocateResponse{URL: c.instanceURL(c.config.Name)}, nil
	case r.url == "":
		return nil, fault("controller.locate", cherviltide.KindUnavailable, errNoLeaderKnown)
	}
	return &messenger.LocateResponse{URL: r.url}, nil
}

// confirmLeadership reports whether a majority confirms within confirmTimeout that this instance leads the group.
func (c *Controller) confirmLeadership(ctx context.Context, g *group) bool {
	defer c.times.since(time.Now(), phaseConfirm)
	answer := make(chan bool, 1)
	if err := c.runInLoop(ctx, func() { g.confirmLeadership(func(ok bool) { answer <- ok }) }); err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	select {
	case ok := <-answer:
		return ok
	case <-ctx.Done():
		return false
	}
}
