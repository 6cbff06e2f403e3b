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

// delegateTimeout bounds one request to a voter. Operators wait for about a second, so it leaves time to try another.
const delegateTimeout = 700 * time.Millisecond

// DelegateConfig describes a delegate.
type DelegateConfig struct {
	Name   string
	Listen netip.AddrPort
	// VoterURLs returns the base URLs of the voters that control instances have announced to their followers.
	VoterURLs func() []string
	// URL returns the base URL of the instance with the given name.
	URL func(name string) string
	// Parse reads rules from the operators' configuration.
	Parse     cherviltide.RulesParser
	NewClient func() *http.Client
	Mount     func(*http.ServeMux, *Delegate)
	Log       *zap.Logger
}

// Delegate is a control instance without a disk. It forwards the requests of operators and members to the voters, and
// sends the addresses of the voters to members and to voters that want to join.
type Delegate struct {
	config DelegateConfig
	mu     sync.Mutex
	// contacts has the names of the voters that have sent a Join message to this delegate.
	contacts []string
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
		return forwardToVoters(ctx, d, messenger.Current, req)
	})
	messenger.Announce.Handle(mux, func(ctx context.Context, req *messenger.AnnounceRequest) (*messenger.AnnounceResponse, error) {
		return forwardToVoters(ctx, d, messenger.Announce, req)
	})
	messenger.Status.Handle(mux, func(ctx context.Context, req *messenger.StatusRequest) (*messenger.StatusResponse, error) {
		return forwardToVoters(ctx, d, messenger.Status, req)
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

// Ready returns nil while at least one voter is known.
func (d *Delegate) Ready(context.Context) error {
	if len(d.voterURLs()) == 0 {
		return unavailableError("controller.Delegate.Ready", errNoVoterKnown)
	}
	return nil
}

// Apply parses an edit and forwards it to a voter.
func (d *Delegate) Apply(ctx context.Context, req *messenger.ApplyRequest) (*messenger.ApplyResponse, error) {
	if _, err := d.config.Parse(req.Text); err != nil {
		return nil, err
	}
	return forwardToVoters(ctx, d, messenger.Apply, req)
}

// CurrentConfiguration returns the accepted configuration. It is marked as confirmed when a majority has confirmed that it
// is the newest.
func (d *Delegate) CurrentConfiguration(ctx context.Context) (*messenger.CurrentResponse, error) {
	return forwardToVoters(ctx, d, messenger.Current, &messenger.CurrentRequest{})
}

// voterURLs returns the base URLs of the known voters. Requests are forwarded to voters only: two delegates would forward
// a request to each other without end.
func (d *Delegate) voterURLs() []string {
	list := d.config.VoterURLs()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range d.contacts {
		if url := d.config.URL(name); !slices.Contains(list, url) {
			list = append(list, url)
		}
	}
	return list
}

// forwardToVoters sends a request to one voter after the other until one succeeds. It stops when a voter rejects the
// request as invalid.
func forwardToVoters[Req, Res any](ctx context.Context, d *Delegate, p messenger.Procedure[Req, Res], req *Req) (*Res, error) {
	err := error(unavailableError("controller.forwardToVoters", errNoVoterKnown))
	for _, url := range d.voterURLs() {
		var res *Res
		res, err = callWithTimeout(ctx, d.config.NewClient, func(ctx context.Context, client *http.Client) (*Res, error) {
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

// callWithTimeout runs one remote call on a new client, bounded by delegateTimeout.
func callWithTimeout[Res any](ctx context.Context, newClient func() *http.Client, call func(context.Context, *http.Client) (*Res, error)) (*Res, error) {
	ctx, cancel := context.WithTimeout(ctx, delegateTimeout)
	defer cancel()
	client := newClient()
	defer client.CloseIdleConnections()
	return call(ctx, client)
}

// follow sends a member the addresses of the voters and ends the stream, so that the member follows one of them.
func (d *Delegate) follow(_ context.Context, _ *messenger.FollowRequest, send func(*messenger.FollowUpdate) error) error {
	if err := send(&messenger.FollowUpdate{ControlURLs: d.voterURLs()}); err != nil {
		return err
	}
	return unavailableError("controller.Delegate.follow", errIsDelegate)
}

// step answers the Join messages of voters.
func (d *Delegate) step(ctx context.Context, req *messenger.StepRequest) (*messenger.StepResponse, error) {
	for _, m := range req.Messages {
		if m.Type == voter.MessageJoin {
			d.answerJoin(ctx, req.Group, m.From)
		}
	}
	return &messenger.StepResponse{}, nil
}

// answerJoin tells a voter that this instance has no disk, and which voters have contacted it.
func (d *Delegate) answerJoin(ctx context.Context, group string, to voter.ID) {
	d.mu.Lock()
	if !slices.Contains(d.contacts, to.Name) && len(d.contacts) < maxPeers {
		d.contacts = append(d.contacts, to.Name)
	}
	m := voter.Message{Type: voter.MessageEmptyLog, From: voter.ID{Name: d.config.Name}, To: to, Reject: true}
	for _, name := range d.contacts {
		m.Voters = append(m.Voters, voter.ID{Name: name})
	}
	d.mu.Unlock()
	step := &messenger.StepRequest{Group: group, Messages: []voter.Message{m}}
	_, err := callWithTimeout(ctx, d.config.NewClient, func(ctx context.Context, client *http.Client) (*messenger.StepResponse, error) {
		return messenger.Step.Call(ctx, client, d.config.URL(to.Name), step)
	})
	if err != nil {
		d.config.Log.Info("JoinNotAnswered", zap.String("Peer", to.Name), zap.Error(err))
	}
}
