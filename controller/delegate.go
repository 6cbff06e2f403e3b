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
	"cherviltide.example/cherviltide/coalescer"
	"cherviltide.example/cherviltide/hedger"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/voter"
)

// delegateTimeout bounds one small request to a voter. Operators wait for about a second, so it leaves time to try another voter.
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

// Delegate is a control instance without a disk. It forwards small requests of operators and members to the voters, tells where the
// leader of the configuration is, and sends the addresses of the voters to members and to voters that want to join.
type Delegate struct {
	config DelegateConfig
	mu     sync.Mutex
	// contacts has the names of the voters that have sent a Join message to this delegate.
	contacts []string
	// edits has the edits in progress at this delegate.
	edits *coalescer.Coalescer[editKey, *messenger.ApplyResponse]
}

// NewDelegate returns a delegate that has not started.
func NewDelegate(config DelegateConfig) *Delegate {
	return &Delegate{config: config, edits: newEditJobs()}
}

// Run serves until ctx ends.
func (d *Delegate) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", d.config.Listen.String())
	if err != nil {
		return fault("controller.Delegate.Run", cherviltide.KindInternal, err)
	}
	mux := http.NewServeMux()
	messenger.Apply.Handle(mux, d.apply)
	messenger.Current.Handle(mux, func(ctx context.Context, req *messenger.CurrentRequest) (*messenger.CurrentResponse, error) {
		return callLeader(ctx, d, messenger.Current, req)
	})
	messenger.Announce.Handle(mux, func(ctx context.Context, req *messenger.AnnounceRequest) (*messenger.AnnounceResponse, error) {
		return forwardToVoters(ctx, d, messenger.Announce, req)
	})
	messenger.Status.Handle(mux, func(ctx context.Context, req *messenger.StatusRequest) (*messenger.StatusResponse, error) {
		return forwardToVoters(ctx, d, messenger.Status, req)
	})
	messenger.Evacuate.Handle(mux, d.Evacuate)
	messenger.Follow.Handle(mux, d.follow)
	messenger.Step.Handle(mux, d.step)
	if d.config.Mount != nil {
		d.config.Mount(mux, d)
	}
	defer d.edits.Close()
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

// LeaderURL returns the base URL of the leader of the configuration. Operators send edits to it and read from it directly: the link
// of a machine without a disk may be thin, and what passes a configuration on to the voters holds up the control stream of an
// entry on the same machine.
func (d *Delegate) LeaderURL(ctx context.Context) (string, error) {
	res, err := forwardToVoters(ctx, d, messenger.Locate, &messenger.LocateRequest{})
	if err != nil {
		return "", err
	}
	return res.URL, nil
}

// apply parses an edit and sends it to the leader. The edit goes on when the caller gives up, and the next attempt joins it.
func (d *Delegate) apply(ctx context.Context, req *messenger.ApplyRequest) (*messenger.ApplyResponse, error) {
	if _, err := d.config.Parse(req.Text); err != nil {
		return nil, err
	}
	key := editKey{id: req.EditID, base: req.Base, number: req.Number, text: req.Text}
	return d.edits.Do(ctx, key, len(req.Text), func(ctx context.Context) (*messenger.ApplyResponse, error) {
		return callLeader(ctx, d, messenger.Apply, req)
	})
}

// callLeader calls a procedure of the leader of the configuration. It makes a single call, since the request or the response may be
// large.
func callLeader[Req, Res any](ctx context.Context, d *Delegate, p messenger.Procedure[Req, Res], req *Req) (*Res, error) {
	url, err := d.LeaderURL(ctx)
	if err != nil {
		return nil, err
	}
	return callOnNewClient(ctx, d.config.NewClient, p, url, req)
}

// Evacuate forwards an order about a failure domain to a voter.
func (d *Delegate) Evacuate(ctx context.Context, req *messenger.EvacuateRequest) (*messenger.EvacuateResponse, error) {
	return forwardToVoters(ctx, d, messenger.Evacuate, req)
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

// forwardToVoters sends a small request to the voters until one answers it or rejects it as invalid. The voters that do not
// respond cost little time, however many there are.
func forwardToVoters[Req, Res any](ctx context.Context, d *Delegate, p messenger.Procedure[Req, Res], req *Req) (*Res, error) {
	urls := d.voterURLs()
	if len(urls) == 0 {
		return nil, unavailableError("controller.forwardToVoters", errNoVoterKnown)
	}
	var answer *Res
	_, err := hedger.New(delegateDelay, delegatesInFlight).Call(ctx, urls, func(ctx context.Context, url string, win func() bool) error {
		ctx, cancel := context.WithTimeout(ctx, delegateTimeout)
		defer cancel()
		res, err := callOnNewClient(ctx, d.config.NewClient, p, url, req)
		var remote *messenger.Error
		isFinal := err == nil || (errors.As(err, &remote) && remote.Kind == cherviltide.KindInvalid)
		if isFinal && win() {
			answer = res
		}
		return err
	})
	return answer, err
}

const (
	// delegateDelay is how long a voter may leave a request unanswered before another one is asked as well. All of these
	// requests may be repeated.
	delegateDelay = 300 * time.Millisecond
	// delegatesInFlight is the highest number of voters that are asked at the same time.
	delegatesInFlight = 2
)

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
	ctx, cancel := context.WithTimeout(ctx, delegateTimeout)
	defer cancel()
	if _, err := callOnNewClient(ctx, d.config.NewClient, messenger.Step, d.config.URL(to.Name), step); err != nil {
		d.config.Log.Info("JoinNotAnswered", zap.String("Peer", to.Name), zap.Error(err))
	}
}
