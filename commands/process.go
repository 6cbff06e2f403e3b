package commands

import (
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
)

func newFollower(p loader.Process, m cherviltide.Member, service string, log *zap.Logger, report func(*messenger.AnnounceRequest)) (*follower.Follower, error) {
	client, err := clientTLS(p)
	if err != nil {
		return nil, err
	}
	newClient, err := controlClients(p)
	if err != nil {
		return nil, err
	}
	return follower.New(follower.Config{
		Member:           m,
		Service:          service,
		Control:          controlURLs(p.Control, client),
		NewClient:        newClient,
		FillAnnouncement: report,
		Log:              log,
	}), nil
}

// controlClients returns a function that creates clients for control instances. Each new client has the newest identity and
// authority, because certificates can be replaced while the process runs.
func controlClients(p loader.Process) (func() *http.Client, error) {
	if p.TLS == (loader.TLS{}) {
		return func() *http.Client { return messenger.NewClient(nil) }, nil
	}
	source, err := certifier.NewSource(certifier.Files(p.TLS), "h2")
	if err != nil {
		return nil, err
	}
	return func() *http.Client {
		return messenger.NewClient(certifier.RequireRole(source.ClientConfig(), cherviltide.RoleControl))
	}, nil
}

func controlURLs(addresses []netip.AddrPort, client *tls.Config) []string {
	var urls []string
	for _, a := range addresses {
		urls = append(urls, messenger.Scheme(client)+a.String())
	}
	return urls
}

func clientTLS(p loader.Process) (*tls.Config, error) {
	if p.TLS == (loader.TLS{}) {
		return nil, nil
	}
	return certifier.ClientConfig(certifier.Files(p.TLS), "h2")
}

func serverTLS(p loader.Process) (*tls.Config, error) {
	if p.TLS == (loader.TLS{}) {
		return nil, nil
	}
	return certifier.ServerConfig(certifier.Files(p.TLS), "h2")
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
		Weight:        cherviltide.NominalWeight,
	}
}
