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
	// mailboxSize and requestSize are numbers of messages.
	mailboxSize = 64
	requestSize = 8
	// maxPeers bounds the peers that a control instance sends to in its life, for each group.
	maxPeers = 256
	// stepTimeout bounds a request to a peer. It is shorter than an election timeout, so that a connection that is
	// silently dead is replaced before the peer is given up.
	stepTimeout = 400 * time.Millisecond
	retryPause  = 50 * time.Millisecond
)

// sendTo sends the messages of a mailbox to a peer. After a failure it goes on with a new connection.
func (c *Controller) sendTo(ctx context.Context, g *group, peer string, mailbox <-chan voter.Message) error {
	client := c.config.NewClient()
	defer func() { client.CloseIdleConnections() }()
	reachable := true
	for {
		req := &messenger.StepRequest{Group: g.name}
		select {
		case <-ctx.Done():
			return nil
		case m := <-mailbox:
			req.Messages = append(req.Messages, m)
		}
		for len(req.Messages) < requestSize && len(mailbox) > 0 {
			req.Messages = append(req.Messages, <-mailbox)
		}
		callCtx, cancel := context.WithTimeout(ctx, stepTimeout)
		_, err := messenger.Step.Call(callCtx, client, c.urlOf(peer), req)
		cancel()
		if reachable != (err == nil) {
			reachable = err == nil
			c.config.Log.Info("PeerReachable", zap.String("Group", g.name), zap.String("Peer", peer),
				zap.Bool("Reachable", reachable), zap.Error(err))
		}
		if err != nil {
			client.CloseIdleConnections()
			client = c.config.NewClient()
			_ = runner.Sleep(ctx, retryPause)
		}
	}
}

// step takes messages of a peer.
func (c *Controller) step(ctx context.Context, req *messenger.StepRequest) (*messenger.StepResponse, error) {
	g, ok := c.groups[req.Group]
	if !ok {
		return nil, fault("controller.step", cherviltide.KindInvalid, errGroup)
	}
	err := c.do(ctx, func() {
		for _, m := range req.Messages {
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
	url := c.urlOf(id.Name)
	return url, url != ""
}

// urlOf returns the base URL of a control instance; it is empty when the instance is not known.
func (c *Controller) urlOf(name string) string {
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

// AddSeeds names further control instances that may know the leaders, after a change of the settings.
func (c *Controller) AddSeeds(ctx context.Context, names []string) error {
	return c.do(ctx, func() {
		for _, g := range c.groups {
			g.voter.AddSeeds(names)
		}
	})
}

// controlURLs returns the base URLs of the voters of the configuration, this instance included.
func (c *Controller) controlURLs() []string {
	var list []string
	for _, id := range c.configuration.voter.Voters() {
		if url := c.urlOf(id.Name); url != "" {
			list = append(list, url)
		}
	}
	return list
}

// route is where a request belongs.
type route struct {
	here bool
	// url is the leader's base URL; it is empty when the leader is not known.
	url string
}

// routeTo returns where requests to a group's leader go.
func (c *Controller) routeTo(ctx context.Context, g *group) (route, error) {
	var r route
	err := c.do(ctx, func() {
		_, r.here = g.leads()
		r.url, _ = c.leaderURL(g)
	})
	return r, err
}

// confirmed reports whether a majority confirms within a bound that this instance leads the group.
func (c *Controller) confirmed(ctx context.Context, g *group) bool {
	answer := make(chan bool, 1)
	if err := c.do(ctx, func() { g.confirm(func(ok bool) { answer <- ok }) }); err != nil {
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
