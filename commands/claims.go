package commands

import (
	"context"
	"errors"
	"net"
	"net/http"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/claimer"
	"cherviltide.example/cherviltide/clock"
	"cherviltide.example/cherviltide/follower"
	"cherviltide.example/cherviltide/loader"
	"cherviltide.example/cherviltide/messenger"
)

// maxHomeLease is how long an agent may act as a home after its last contact with control, in milliseconds.
const maxHomeLease cherviltide.Millis = 5_000

// newClaimer returns the claimer of an agent. It sends claims and settlements to the other agents of its service.
func newClaimer(s loader.Agent, self cherviltide.Member, f *follower.Follower, system clock.System) (*claimer.Claimer, error) {
	tls, err := clientTLS(s.Process)
	if err != nil {
		return nil, err
	}
	client, scheme := messenger.NewClient(tls), messenger.Scheme(tls)
	return claimer.New(claimer.Config{
		Self: self, Clock: system, MaxLease: maxHomeLease,
		Members: func() []cherviltide.Member {
			if table, ok := f.View().Tables[s.Service]; ok {
				return table.Active()
			}
			return nil
		},
		Lease: func() cherviltide.Millis { return min(homeLeaseLeft(f, system), maxHomeLease) },
		Claim: func(ctx context.Context, home cherviltide.Member, c claimer.Claim) (claimer.Verdict, error) {
			res, err := messenger.Claim.Call(ctx, client, scheme+home.Peer.String(), &messenger.ClaimRequest{Claim: c})
			if err != nil {
				return claimer.Verdict{}, err
			}
			return res.Verdict, nil
		},
		Settle: func(ctx context.Context, home cherviltide.Member, st claimer.Settlement) error {
			_, err := messenger.Settle.Call(ctx, client, scheme+home.Peer.String(), &messenger.SettleRequest{Settlement: st})
			return err
		},
	}), nil
}

// homeLeaseLeft returns how long the agent may still act as a home.
func homeLeaseLeft(f *follower.Follower, clock cherviltide.Clock) cherviltide.Millis {
	return max(f.CurrentViewUntil()-clock.Now(), 0)
}

// newPeerServer returns a function that serves the claims and settlements of other agents on the peer address until ctx
// ends.
func newPeerServer(s loader.Agent, c *claimer.Claimer) (func(context.Context) error, error) {
	tls, err := serverTLS(s.Process)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	messenger.Claim.Handle(mux, func(_ context.Context, r *messenger.ClaimRequest) (*messenger.ClaimResponse, error) {
		return &messenger.ClaimResponse{Verdict: c.ServeClaim(r.Claim)}, nil
	})
	messenger.Settle.Handle(mux, func(_ context.Context, r *messenger.SettleRequest) (*messenger.SettleResponse, error) {
		return &messenger.SettleResponse{Accepted: c.ServeSettle(r.Settlement)}, nil
	})
	server := messenger.NewServer(mux, tls)
	return func(ctx context.Context) error {
		listener, err := net.Listen("tcp", s.Peer.String())
		if err != nil {
			return err
		}
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if tls == nil {
			err = server.Serve(listener)
		} else {
			err = server.ServeTLS(listener, "", "")
		}
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}, nil
}
