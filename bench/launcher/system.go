package launcher

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/bench/issuer"
	"cherviltide.example/cherviltide/certifier"
	"cherviltide.example/cherviltide/loader"
	"cherviltide.example/cherviltide/messenger"
)

const (
	packetKey    = "000102030405060708090a0b0c0d0e0f"
	startTimeout = 15 * time.Second
	pollInterval = 50 * time.Millisecond
)

// Plan describes a system.
type Plan struct {
	// Dir is the directory for settings, certificates, logs and data.
	Dir string
	// Binary and Bench are the paths of cherviltide and cherviltide-bench.
	Binary, Bench string
	Controls      int
	Entries       int
	Services      []ServicePlan
	// FailureDomains are assigned to the processes of a role in turn.
	FailureDomains []string
	Customer       string
	Seed           uint64
	// MapControlAddress returns the address at which entries and agents reach a control instance, such as that of a proxy.
	// When nil, they use the address of the instance.
	MapControlAddress func(control netip.AddrPort) (netip.AddrPort, error)
}

// ServicePlan describes a service and its targets.
type ServicePlan struct {
	Name    string
	Address netip.Addr
	// ServiceTimes has the service time of each target.
	ServiceTimes []time.Duration
	Slots        int
	// Rules has additional rule lines, such as the kinds of the service.
	Rules string
}

// System is a system that runs on this machine.
type System struct {
	Plan             Plan
	Port             uint16
	ControlAddresses []netip.AddrPort
	Processes        map[string]*Process
	// Probes has the address at which each process serves health, readiness and metrics.
	Probes map[string]netip.AddrPort
	// Targets has the address of each target by the name of its agent.
	Targets map[string]netip.AddrPort
	// Operator is the identity for operators' commands.
	Operator loader.TLS
	issuer   *issuer.Issuer
	client   *http.Client
	// scheme is https:// when the processes have certificates.
	scheme     string
	entryPorts []uint16
	// callerIdentities has the certificate that each service presents to callers.
	callerIdentities map[string]loader.TLS
}

// newSystem returns a system that has no processes yet.
func newSystem(plan Plan) *System {
	return &System{
		Plan:             plan,
		Processes:        map[string]*Process{},
		Probes:           map[string]netip.AddrPort{},
		Targets:          map[string]netip.AddrPort{},
		callerIdentities: map[string]loader.TLS{},
	}
}

// Start starts all processes of a plan, applies the rules and waits until every member has them in force.
func Start(ctx context.Context, plan Plan) (*System, error) {
	s := newSystem(plan)
	var err error
	if s.issuer, err = issuer.New(plan.Dir); err != nil {
		return nil, errors.Trace(err)
	}
	if err := s.createOperatorIdentity(); err != nil {
		return nil, errors.Trace(err)
	}
	s.Port = freePort()
	starters := []func() error{s.startControls, s.startEntries, s.startServices, s.startFabric}
	for _, starter := range starters {
		if err := starter(); err != nil {
			s.Stop()
			return nil, errors.Trace(err)
		}
	}
	if err := s.applyRules(ctx); err != nil {
		s.Stop()
		return nil, errors.Trace(err)
	}
	if err := s.WaitForRevision(ctx, 1, s.Members()); err != nil {
		s.Stop()
		return nil, errors.Trace(err)
	}
	return s, nil
}

// Stop kills all processes.
func (s *System) Stop() {
	for _, p := range s.Processes {
		p.Kill()
	}
}

// URL returns the base URL of a service.
func (s *System) URL(service ServicePlan) string {
	return "https://" + netip.AddrPortFrom(service.Address, s.Port).String()
}

// CallerTLS issues a certificate to a customer and returns the TLS configuration of its callers.
func (s *System) CallerTLS(customer string) (*tls.Config, error) {
	certificate, key, err := s.issuer.Issue("customer-"+customer, customer)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return certifier.ClientConfig(certifier.Files{Certificate: certificate, Key: key, Authority: s.issuer.AuthorityPath()}, "h3")
}

// Status returns the status from the first control instance that responds.
func (s *System) Status(ctx context.Context) (*messenger.StatusResponse, error) {
	var err error
	for _, address := range s.ControlAddresses {
		var res *messenger.StatusResponse
		if res, err = messenger.Status.Call(ctx, s.client, s.scheme+address.String(), &messenger.StatusRequest{}); err == nil {
			return res, nil
		}
	}
	return nil, errors.Trace(err)
}

// WaitForRevision waits until the given number of active members have the revision or a newer one in force.
func (s *System) WaitForRevision(ctx context.Context, revision uint64, members int) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		res, err := s.Status(ctx)
		if err == nil && countInForce(res, revision) >= members {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("timed out waiting until %d members have revision %d in force: last status %v, last error %v", members, revision, res, err)
		case <-time.After(pollInterval):
		}
	}
}

func countInForce(res *messenger.StatusResponse, revision uint64) int {
	n := 0
	for _, m := range res.Members {
		if m.State == cherviltide.StateActive && m.RevisionInForce >= revision {
			n++
		}
	}
	return n
}

// Members returns the number of entries and agents that the plan starts.
func (s *System) Members() int {
	n := s.Plan.Entries
	for _, service := range s.Plan.Services {
		n += len(service.ServiceTimes)
	}
	return n
}

func (s *System) processSettings(name string, number int, role cherviltide.Role) (loader.Process, error) {
	identity, err := s.issueIdentity(name, role)
	if err != nil {
		return loader.Process{}, errors.Trace(err)
	}
	control, err := s.controlAddresses(role)
	if err != nil {
		return loader.Process{}, errors.Trace(err)
	}
	domains := s.Plan.FailureDomains
	s.Probes[name] = loopback(freePort())
	return loader.Process{
		Name:          name,
		FailureDomain: domains[number%len(domains)],
		Region:        "local",
		Control:       control,
		PacketKey:     packetKey,
		Probe:         s.Probes[name],
		TLS:           identity,
	}, nil
}

// controlAddresses returns the addresses at which a process of a role reaches the control instances.
func (s *System) controlAddresses(role cherviltide.Role) ([]netip.AddrPort, error) {
	if s.Plan.MapControlAddress == nil || role == cherviltide.RoleControl {
		return s.ControlAddresses, nil
	}
	var list []netip.AddrPort
	for _, control := range s.ControlAddresses {
		address, err := s.Plan.MapControlAddress(control)
		if err != nil {
			return nil, errors.Trace(err)
		}
		list = append(list, address)
	}
	return list, nil
}

func (s *System) startControls() error {
	for range s.Plan.Controls {
		s.ControlAddresses = append(s.ControlAddresses, loopback(freePort()))
	}
	var voters []loader.Voter
	for i, listen := range s.ControlAddresses {
		voters = append(voters, loader.Voter{Name: fmt.Sprintf("control-%d", i+1), Address: listen})
	}
	for i, listen := range s.ControlAddresses {
		name := voters[i].Name
		process, err := s.processSettings(name, i, cherviltide.RoleControl)
		if err != nil {
			return err
		}
		settings := loader.Control{
			Process: process, Listen: listen, Data: filepath.Join(s.Plan.Dir, name),
			Voters: voters, NewSystem: true,
		}
		if err := s.startRole("control", name, settings); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) startEntries() error {
	for i := range s.Plan.Entries {
		port := freePort()
		s.entryPorts = append(s.entryPorts, port)
		name := fmt.Sprintf("entry-%d", i+1)
		process, err := s.processSettings(name, i, cherviltide.RoleEntry)
		if err != nil {
			return err
		}
		settings := loader.Entry{
			Process:  process,
			Listen:   netip.IPv4Unspecified(),
			Ports:    []loader.Port{{Listen: port, Virtual: s.Port}},
			Internal: loopback(freePort()),
		}
		if err := s.startRole("entry", name, settings); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) startServices() error {
	for _, service := range s.Plan.Services {
		certificate, key, err := s.issuer.Issue("service-"+service.Name, service.Name, net.IP(service.Address.AsSlice()))
		if err != nil {
			return err
		}
		callerIdentity := loader.TLS{Certificate: certificate, Key: key, Authority: s.issuer.AuthorityPath()}
		s.callerIdentities[service.Name] = callerIdentity
		for i, serviceTime := range service.ServiceTimes {
			if err := s.startTarget(service, i, serviceTime, callerIdentity); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *System) startTarget(service ServicePlan, i int, serviceTime time.Duration, callerIdentity loader.TLS) error {
	target := loopback(freePort())
	name := fmt.Sprintf("%s-%d", service.Name, i+1)
	p, err := start(s.Plan.Dir, "target-"+name, s.Plan.Bench, "target", "--name", name, "--listen", target.String(),
		"--slots", strconv.Itoa(service.Slots), "--service", serviceTime.String())
	if err != nil {
		return err
	}
	s.Processes["target-"+name] = p
	s.Targets[name] = target
	process, err := s.processSettings(name, i, cherviltide.RoleAgent)
	if err != nil {
		return err
	}
	return s.startRole("agent", name, loader.Agent{
		Process:   process,
		Service:   service.Name,
		Data:      loopback(freePort()),
		Peer:      loopback(freePort()),
		Target:    target,
		Slots:     service.Slots,
		CallerTLS: callerIdentity,
	})
}

func (s *System) startFabric() error {
	args := []string{"fabric", "--seed", strconv.FormatUint(s.Plan.Seed, 10), "--virtual"}
	for _, service := range s.Plan.Services {
		args = append(args, netip.AddrPortFrom(service.Address, s.Port).String())
	}
	args = append(args, "--entry")
	for _, p := range s.entryPorts {
		args = append(args, strconv.Itoa(int(p)))
	}
	p, err := start(s.Plan.Dir, "fabric", s.Plan.Bench, args...)
	if err != nil {
		return err
	}
	s.Processes["fabric"] = p
	return nil
}

func (s *System) startRole(role, name string, settings any) error {
	path := filepath.Join(s.Plan.Dir, name+".json")
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return errors.Trace(err)
	}
	p, err := start(s.Plan.Dir, name, s.Plan.Binary, role, "--settings", path)
	if err != nil {
		return err
	}
	s.Processes[name] = p
	return nil
}

// Rules returns the text of the plan's rules file.
func (s *System) Rules() string {
	var b strings.Builder
	var names []string
	for _, service := range s.Plan.Services {
		fmt.Fprintf(&b, "Service %s Address %s # requested by demo\n", service.Name, netip.AddrPortFrom(service.Address, s.Port))
		b.WriteString(service.Rules)
		names = append(names, service.Name)
	}
	fmt.Fprintf(&b, "Customer %s Services %s # requested by demo\n", s.Plan.Customer, strings.Join(names, ","))
	return b.String()
}

func (s *System) applyRules(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	req := &messenger.ApplyRequest{EditID: "first", Operator: "demo", Text: s.Rules()}
	for {
		var err error
		for _, address := range s.ControlAddresses {
			if _, err = messenger.Apply.Call(ctx, s.client, s.scheme+address.String(), req); err == nil {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.Annotate(err, "rules were not accepted")
		case <-time.After(pollInterval):
		}
	}
}

func loopback(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
}
