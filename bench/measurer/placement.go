package measurer

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/picker"
)

// Sizes of the placement cases.
const (
	placementEntries = 4
	// slotWeight is the weight of one slot of the slowest target.
	slotWeight = 1000
	// speedRatio is the speed of the fastest target relative to the slowest.
	speedRatio = 4
	// flowsOfFastest is the number of flows of the fastest target at the start.
	flowsOfFastest = 2000
	// busyLoad is the load relative to the speed, as a multiple of its mean at the start, above which an agent offers new
	// flows to the secondary. It models a waiting time that is close to a deadline.
	busyLoad = 1.05
	// propagationSteps is the number of steps over which processes apply a change at random times. In each step,
	// datagramsPerStep datagrams of open flows are sent and flowsPerStep flows are replaced.
	propagationSteps = 20
	datagramsPerStep = 200
	flowsPerStep     = 20
	// turnover is how often each flow is replaced, on average, before the imbalance is computed.
	turnover = 3
	// releaseRounds is how often each agent appends a Released event during the turnover.
	releaseRounds = 3
)

// serviceSize is the size of a service of one of the two workloads of the design page.
type serviceSize struct {
	service        string
	targets, slots int
}

var serviceSizes = []serviceSize{
	{"advisory-desk", 7, 2}, {"chart-store", 3, 2}, {"deposit-core", 7, 3}, {"cert-archive", 3, 3},
}

// variant is a method to place flows on targets.
type variant struct {
	name      string
	newPicker func(*picker.Table) cherviltide.Picker
	offers    bool
}

var variants = []variant{
	{name: "Default", offers: true},
	{name: "Modulo", newPicker: func(t *picker.Table) cherviltide.Picker { return picker.NewModulo(t) }},
	{name: "Consistent", newPicker: func(t *picker.Table) cherviltide.Picker { return picker.NewConsistent(t) }},
	{name: "NoOffer"},
}

// placement is one simulation of a placement case.
type placement struct {
	*cluster
	rng *rand.Rand
	// openFlows has the open flows; holders maps each to its agent.
	openFlows []cherviltide.FlowKey
	holders   map[cherviltide.FlowKey]*modelAgent
	nextKey   int
	// laggingEntries is true if the first half of the entries does not apply the change.
	laggingEntries bool
	// deadEntries is the number of entries that died; they are the last ones.
	deadEntries     int
	datagrams, hops int
}

// placementCase returns a case that emits one line for each service and variant.
func placementCase(change func(*placement)) func(context.Context, uint64, func(Line)) error {
	return func(ctx context.Context, seed uint64, emit func(Line)) error {
		for i, size := range serviceSizes {
			for _, v := range variants {
				if err := ctx.Err(); err != nil {
					return err
				}
				emit(newPlacement(size, v, rand.New(rand.NewPCG(seed, uint64(i)))).measure(size, v, change))
			}
		}
		return nil
	}
}

func newPlacement(size serviceSize, v variant, rng *rand.Rand) *placement {
	service := cherviltide.Service{Name: size.service, ID: cherviltide.ServiceIDOf(size.service), Buckets: 1024}
	p := &placement{
		cluster: newCluster(picker.New(service), placementEntries, network{}),
		rng:     rng, holders: map[cherviltide.FlowKey]*modelAgent{},
	}
	p.newPicker = v.newPicker
	weights, total := weightsOf(size), 0.0
	for i, w := range weights {
		p.join(modelMember(i, 1, w))
		total += float64(w)
	}
	p.catchUp()
	flows := int(flowsOfFastest * total / float64(weights[len(weights)-1]))
	if v.offers {
		limit := busyLoad * float64(flows) / total
		p.isBusy = func(a *modelAgent) bool { return a.load() > limit }
	}
	for range flows {
		p.openFlow()
	}
	return p
}

// weightsOf returns the weights of a service's targets. Their speeds form a geometric series.
func weightsOf(size serviceSize) []uint32 {
	list := make([]uint32, size.targets)
	for i := range list {
		speed := math.Pow(speedRatio, float64(i)/float64(size.targets-1))
		list[i] = uint32(speed * float64(size.slots*slotWeight))
	}
	return list
}

// load returns the number of flows relative to the speed of the target.
func (a *modelAgent) load() float64 {
	return float64(len(a.flows)) / float64(a.member.Weight)
}

// measure makes a change, counts the flows that it broke, and computes the imbalance after the turnover of the flows.
func (p *placement) measure(size serviceSize, v variant, change func(*placement)) Line {
	change(p)
	p.propagate()
	flows := len(p.openFlows)
	broken, onCrashedTargets := p.closeBrokenFlows()
	hops := float64(p.hops) / float64(max(p.datagrams, 1))
	for range releaseRounds {
		for range len(p.openFlows) * turnover / releaseRounds {
			p.replaceFlow()
		}
		p.releaseAll()
	}
	return Line{
		Variant: v.name, Flows: Ptr(flows), BrokenFlows: Ptr(broken), Imbalance: Ptr(p.imbalance()), ExtraHops: Ptr(hops),
		Note: fmt.Sprintf("Service %s, %d targets with %d slots; %d of the broken flows were on crashed targets",
			size.service, size.targets, size.slots, onCrashedTargets),
	}
}

// propagate lets processes apply the change at random times under traffic.
func (p *placement) propagate() {
	for step := range propagationSteps {
		for i := range p.entryApplied {
			if !p.isLagging(i) && p.rng.IntN(propagationSteps-step) == 0 {
				p.entryApplied[i] = p.logLength()
			}
		}
		for _, a := range p.agents {
			if p.rng.IntN(propagationSteps-step) == 0 {
				a.applied = p.logLength()
			}
		}
		for range datagramsPerStep {
			p.sendDatagram(p.randomEntry(), p.openFlows[p.rng.IntN(len(p.openFlows))])
		}
		for range flowsPerStep {
			p.replaceFlow()
		}
	}
}

// isLagging reports whether an entry does not apply the change.
func (p *placement) isLagging(entry int) bool {
	return p.laggingEntries && entry < placementEntries/2
}

func (p *placement) randomEntry() int {
	return p.rng.IntN(placementEntries - p.deadEntries)
}

// sendDatagram sends a datagram of an open flow and reports whether it was delivered to the holder.
func (p *placement) sendDatagram(entry int, key cherviltide.FlowKey) bool {
	d := p.send(entry, key, false)
	p.datagrams++
	p.hops += d.hops
	return d.agent != nil && d.agent == p.holders[key]
}

// openFlow opens a flow. If a datagram is lost, it is sent again through a random entry.
func (p *placement) openFlow() {
	p.nextKey++
	key := modelKey(p.nextKey)
	for range placementEntries {
		if d := p.send(p.randomEntry(), key, true); d.agent != nil {
			p.openFlows = append(p.openFlows, key)
			p.holders[key] = d.agent
			return
		}
	}
}

// replaceFlow ends a random flow and opens another.
func (p *placement) replaceFlow() {
	p.closeFlow(p.rng.IntN(len(p.openFlows)))
	p.openFlow()
}

func (p *placement) closeFlow(i int) {
	key := p.openFlows[i]
	delete(p.holders[key].flows, key)
	delete(p.holders, key)
	p.openFlows[i] = p.openFlows[len(p.openFlows)-1]
	p.openFlows = p.openFlows[:len(p.openFlows)-1]
}

// closeBrokenFlows closes the flows that some entry does not deliver to their holder. It returns their number, and how
// many of them were on crashed targets.
func (p *placement) closeBrokenFlows() (broken, onCrashedTargets int) {
	for i := len(p.openFlows) - 1; i >= 0; i-- {
		key, intact := p.openFlows[i], true
		for entry := range placementEntries - p.deadEntries {
			intact = p.sendDatagram(entry, key) && intact
		}
		if intact {
			continue
		}
		broken++
		if !p.holders[key].running {
			onCrashedTargets++
		}
		p.closeFlow(i)
	}
	return broken, onCrashedTargets
}

// releaseAll appends a Released event for each running agent and lets all processes except lagging entries catch up.
func (p *placement) releaseAll() {
	for _, a := range p.agents {
		if a.running {
			p.release(a)
		}
	}
	before := slices.Clone(p.entryApplied)
	p.catchUp()
	for i := range p.entryApplied {
		if p.isLagging(i) {
			p.entryApplied[i] = before[i]
		}
	}
}

// imbalance returns the maximum of the load relative to the speed, divided by its mean, of the targets that accept new
// flows.
func (p *placement) imbalance() float64 {
	var sum, highest, n float64
	for _, m := range picker.NewModulo(p.tables[p.logLength()]).Members() {
		load := p.network.agentAt(m.Address).load()
		sum, highest, n = sum+load, max(highest, load), n+1
	}
	return highest * n / sum
}
