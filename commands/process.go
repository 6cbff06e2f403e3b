package commands

import (
	"context"
	"crypto/tls"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/certifier"
	"cherviltide.example/cherviltide/follower"
	"cherviltide.example/cherviltide/loader"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/runner"
)

const (
	// nominalWeight is the weight of a target before its speed is known.
	nominalWeight = 1000
	// endTimeout bounds the last announcement of a process that stops.
	endTimeout = 2 * time.Second
	// leaveGrace is how long a stopping process goes on taking work, so that others hear that it leaves.
	leaveGrace = 2 * time.Second
)

// runGracefully runs the data path and the follower. When ctx ends it announces that the process leaves, lets the data
// path finish, and only then stops the follower.
func runGracefully(ctx context.Context, f *follower.Follower, log *zap.Logger, data ...func(context.Context) error) error {
	ctx, leave := context.WithCancel(ctx)
	defer leave()
	followCtx, stopFollower := context.WithCancel(context.WithoutCancel(ctx))
	defer stopFollower()
	ends := make(chan runner.End, 1)
	runner.Start(followCtx, "follower", ends, f.Run)
	dataCtx, stopData := context.WithCancel(context.WithoutCancel(ctx))
	defer stopData()
	runner.Start(ctx, "drain", make(chan runner.End, 1), func(ctx context.Context) error {
		select {
		case <-f.Drained():
			leave()
		case <-ctx.Done():
		}
		return nil
	})
	stop := context.AfterFunc(ctx, func() {
		log.Info("Leaving")
		f.Leave()
		time.AfterFunc(leaveGrace, stopData)
	})
	defer stop()
	group := runner.NewGroup(dataCtx, len(data))
	for _, run := range data {
		group.Go("data", run)
	}
	err := group.Wait()
	endCtx, cancel := context.WithTimeout(followCtx, endTimeout)
	defer cancel()
	if endErr := f.End(endCtx); endErr != nil {
		log.Info("EndNotAnnounced", zap.Error(endErr))
	}
	stopFollower()
	<-ends
	return err
}

func newFollower(p loader.Process, m cherviltide.Member, service string, log *zap.Logger, report func(*messenger.AnnounceRequest)) (*follower.Follower, error) {
	client, err := clientTLS(p)
	if err != nil {
		return nil, err
	}
	return follower.New(follower.Config{
		Member:    m,
		Service:   service,
		Control:   controlURLs(p.Control, client),
		NewClient: func() *http.Client { return messenger.NewClient(client) },
		Report:    report,
		Log:       log,
	}), nil
}

func controlURLs(addresses []netip.AddrPort, client *tls.Config) []string {
	var list []string
	for _, a := range addresses {
		list = append(list, messenger.Scheme(client)+a.String())
	}
	return list
}

func clientTLS(p loader.Process) (*tls.Config, error) {
	if p.TLS == (loader.TLS{}) {
		return nil, nil
	}
	return certifier.Client(certifier.Files(p.TLS), "h2")
}

func serverTLS(p loader.Process) (*tls.Config, error) {
	if p.TLS == (loader.TLS{}) {
		return nil, nil
	}
	return certifier.Server(certifier.Files(p.TLS), "h2")
}

func newMember(p loader.Process, role cherviltide.Role, service string, data, peer netip.AddrPort) cherviltide.Member {
	return cherviltide.Member{
		Name:          p.Name,
		Role:          role,
		Incarnation:   uint64(time.Now().UnixNano()),
		Address:       data,
		Peer:          peer,
		FailureDomain: p.FailureDomain,
		Region:        p.Region,
		Service:       service,
		Weight:        nominalWeight,
	}
}
