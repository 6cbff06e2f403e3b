package controller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/voter"
)

// delegateTimeout bounds one attempt at an instance with a disk. Operators wait for about a second.
const delegateTimeout = 700 * time.Millisecond

// DelegateConfig describes a control instance without a disk.
type DelegateConfig struct {
	Name   string
	Listen netip.AddrPort
	// VoterURLs returns the base URLs of the instances with a disk that these have named.
	VoterURLs func() []string
	// URL returns the base URL for the name of an instance.
	URL func(name string) string
	// Parse reads rules from the operators' configuration.
	Parse     cherviltide.RulesParser
	NewClient func() *http.Client
	Mount     func(*http.ServeMux, *Delegate)
	Log       *zap.Logger
}

// Delegate is a control instance without a disk. It passes the calls of operators and members on to the instances that
// keep the logs, and tells members and starting instances where those are.
type Delegate struct {
	config DelegateConfig
	mu     sync.Mutex
	// greeted has the names of the instances with a disk that have shown themselves here.
	greeted []string
}

// NewDelegate returns a delegate that has not started.
func NewDelegate(config DelegateConfig) *Delegate {
	return &Delegate{config: config}
}

// Run serves until ctx ends.
func (d *Delegate) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", d.config.Listen.String())
	if err != nil {
		return fault("controller.Delegate.Run", cherviltide.KindInternal, err)
	}
	mux := http.NewServeMux()
	messenger.Apply.Handle(mux, d.Apply)
	messenger.Current.Handle(mux, func(ctx context.Context, req *messenger.CurrentRequest) (*messenger.CurrentResponse, error) {
		return passOn(ctx, d, messenger.Current, req)
	})
	messenger.Announce.Handle(mux, func(ctx context.Context, req *messenger.AnnounceRequest) (*messenger.AnnounceResponse, error) {
		return passOn(ctx, d, messenger.Announce, req)
	})
	messenger.Status.Handle(mux, func(ctx context.Context, req *messenger.StatusRequest) (*messenger.StatusResponse, error) {
		return passOn(ctx, d, messenger.Status, req)
	})
	messenger.Follow.Handle(mux, d.follow)
	messenger.Step.Handle(mux, d.step)
	if d.config.Mount != nil {
		d.config.Mount(mux, d)
	}
	server := messenger.NewServer(mux, nil)
	server.BaseContext = func(net.Listener) context.Context { return ctx }
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fault("controller.Delegate.Run", cherviltide.KindInternal, err)
	}
	return nil
}

// Ready returns nil while an instance with a disk is known.
func (d *Delegate) Ready(context.Context) error {
	if len(d.keepers()) == 0 {
		return unavailable("controller.Delegate.Ready", errNoInstance)
	}
	return nil
}

// Apply passes an edit on.
func (d *Delegate) Apply(ctx context.Context, req *messenger.ApplyRequest) (*messenger.ApplyResponse, error) {
	if _, err := d.config.Parse(req.Text); err != nil {
		return nil, err
	}
	return passOn(ctx, d, messenger.Apply, req)
}

// CurrentConfiguration returns the accepted configuration. It is confirmed when a majority says that there is no newer one.
func (d *Delegate) CurrentConfiguration(ctx context.Context) (*messenger.CurrentResponse, error) {
	return passOn(ctx, d, messenger.Current, &messenger.CurrentRequest{})
}

// keepers returns the base URLs of the instances with a disk. Calls go to no others, since two delegates would pass them
// to each other for ever.
func (d *Delegate) keepers() []string {
	list := d.config.VoterURLs()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range d.greeted {
		if url := d.config.URL(name); !slices.Contains(list, url) {
			list = append(list, url)
		}
	}
	return list
}

// passOn tries one instance after the other. A refusal of the input ends the attempts.
func passOn[Req, Res any](ctx context.Context, d *Delegate, p messenger.Procedure[Req, Res], req *Req) (*Res, error) {
	err := error(unavailable("controller.passOn", errNoInstance))
	for _, url := range d.keepers() {
		var res *Res
		res, err = attempt(ctx, d.config.NewClient, func(ctx context.Context, client *http.Client) (*Res, error) {
			return p.Call(ctx, client, url, req)
		})
		if err == nil {
			return res, nil
		}
		var remote *messenger.Error
		if errors.As(err, &remote) && remote.Kind == cherviltide.KindInvalid {
			return nil, err
		}
		if ctx.Err() != nil {
			return nil, err
		}
	}
	return nil, err
}

func attempt[Res any](ctx context.Context, newClient func() *http.Client, call func(context.Context, *http.Client) (*Res, error)) (*Res, error) {
	ctx, cancel := context.WithTimeout(ctx, delegateTimeout)
	defer cancel()
	client := newClient()
	defer client.CloseIdleConnections()
	return call(ctx, client)
}

// follow tells a member which instances to follow and sends it away.
func (d *Delegate) follow(_ context.Context, _ *messenger.FollowRequest, send func(*messenger.FollowUpdate) error) error {
	if err := send(&messenger.FollowUpdate{ControlURLs: d.keepers()}); err != nil {
		return err
	}
	return unavailable("controller.Delegate.follow", errDelegate)
}

// step answers instances that ask for admission or show themselves.
func (d *Delegate) step(ctx context.Context, req *messenger.StepRequest) (*messenger.StepResponse, error) {
	for _, m := range req.Messages {
		if m.Type == voter.MessageJoin {
			d.answer(ctx, req.Group, m.From)
		}
	}
	return &messenger.StepResponse{}, nil
}

// answer tells an instance with a disk that this one has none, and which others have asked here.
func (d *Delegate) answer(ctx context.Context, group string, to voter.ID) {
	d.mu.Lock()
	if !slices.Contains(d.greeted, to.Name) && len(d.greeted) < maxPeers {
		d.greeted = append(d.greeted, to.Name)
	}
	m := voter.Message{Type: voter.MessageEmptyLog, From: voter.ID{Name: d.config.Name}, To: to, Reject: true}
	for _, name := range d.greeted {
		m.Voters = append(m.Voters, voter.ID{Name: name})
	}
	d.mu.Unlock()
	step := &messenger.StepRequest{Group: group, Messages: []voter.Message{m}}
	_, err := attempt(ctx, d.config.NewClient, func(ctx context.Context, client *http.Client) (*messenger.StepResponse, error) {
		return messenger.Step.Call(ctx, client, d.config.URL(to.Name), step)
	})
	if err != nil {
		d.config.Log.Info("JoinNotAnswered", zap.String("Peer", to.Name), zap.Error(err))
	}
}
