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
	// speedRange is the speed of the fastest target relative to the slowest.
	speedRange = 4
	// connectionLimit is the number of flows of the fastest target at the start.
	connectionLimit = 2000
	// busyLoad is the load relative to speed, over its mean at the start, from which an agent offers new flows to the
	// second. It stands for a waiting time near a deadline.
	busyLoad = 1.05
	// lagSteps is the number of steps in which processes apply a change at random times; each step has stepDatagrams
	// of open flows and stepFlows that end and open.
	lagSteps      = 20
	stepDatagrams = 200
	stepFlows     = 20
	// turnover is how often each flow is replaced, on average, before the imbalance is taken.
	turnover = 3
	// releaseRounds is the number of times that agents release during the turnover.
	releaseRounds = 3
)

// placedService is a service of one of the two workloads of the design page.
type placedService struct {
	service        string
	targets, slots int
}

var placedServices = []placedService{
	{"advisory-desk", 7, 2}, {"chart-store", 3, 2}, {"deposit-core", 7, 3}, {"cert-archive", 3, 3},
}

// variant is a way to place flows.
type variant struct {
	name   string
	place  func(*picker.Table) cherviltide.Picker
	offers bool
}

var variants = []variant{
	{name: "Default", offers: true},
	{name: "Modulo", place: func(t *picker.Table) cherviltide.Picker { return picker.NewModulo(t) }},
	{name: "Consistent", place: func(t *picker.Table) cherviltide.Picker { return picker.NewConsistent(t) }},
	{name: "NoOffer"},
}

// placement is one run of a placement case.
type placement struct {
	*cluster
	rng *rand.Rand
	// open has the open flows; holders has the agent of each.
	open    []cherviltide.FlowKey
	holders map[cherviltide.FlowKey]*modelAgent
	nextKey int
	// entriesLag is true when the first half of the entries does not learn of the change.
	entriesLag bool
	// lost is the number of entries that died; they are the last ones.
	lost            int
	datagrams, hops int
}

// placementCase returns a case that prints one line for each service and variant.
func placementCase(change func(*placement)) func(context.Context, uint64, func(Line)) error {
	return func(ctx context.Context, seed uint64, emit func(Line)) error {
		for i, d := range placedServices {
			for _, v := range variants {
				if err := ctx.Err(); err != nil {
					return err
				}
				emit(newPlacement(d, v, rand.New(rand.NewPCG(seed, uint64(i)))).measure(d, v, change))
			}
		}
		return nil
	}
}

func newPlacement(d placedService, v variant, rng *rand.Rand) *placement {
	service := cherviltide.Service{Name: d.service, ID: cherviltide.ServiceIDOf(d.service), Buckets: 1024}
	p := &placement{
		cluster: newCluster(picker.New(service), placementEntries, network{}),
		rng:     rng, holders: map[cherviltide.FlowKey]*modelAgent{},
	}
	p.place = v.place
	weights, total := weightsOf(d), 0.0
	for i, w := range weights {
		p.join(modelMember(i, 1, w))
		total += float64(w)
	}
	p.catchUp()
	flows := int(connectionLimit * total / float64(weights[len(weights)-1]))
	if v.offers {
		limit := busyLoad * float64(flows) / total
		p.busy = func(a *modelAgent) bool { return a.load() > limit }
	}
	for range flows {
		p.openFlow()
	}
	return p
}

// weightsOf returns the weights of a service's targets. Their speeds form a geometric series.
func weightsOf(d placedService) []uint32 {
	list := make([]uint32, d.targets)
	for i := range list {
		speed := math.Pow(speedRange, float64(i)/float64(d.targets-1))
		list[i] = uint32(speed * float64(d.slots*slotWeight))
	}
	return list
}

// load returns the number of flows relative to the speed of the target.
func (a *modelAgent) load() float64 {
	return float64(len(a.flows)) / float64(a.member.Weight)
}

// measure makes a change, counts the flows that it broke, and takes the imbalance after a turnover of the flows.
func (p *placement) measure(d placedService, v variant, change func(*placement)) Line {
	change(p)
	p.spread()
	flows := len(p.open)
	broken, orphans := p.breakFlows()
	hops := float64(p.hops) / float64(max(p.datagrams, 1))
	for range releaseRounds {
		for range len(p.open) * turnover / releaseRounds {
			p.replaceFlow()
		}
		p.releaseAll()
	}
	return Line{
		Variant: v.name, Flows: Of(flows), BrokenFlows: Of(broken), Imbalance: Of(p.imbalance()), ExtraHops: Of(hops),
		Note: fmt.Sprintf("Service %s, %d targets with %d slots; %d of the broken flows were on crashed targets",
			d.service, d.targets, d.slots, orphans),
	}
}

// spread lets processes learn of the change at random times while traffic goes on.
func (p *placement) spread() {
	for step := range lagSteps {
		for i := range p.entries {
			if !p.lags(i) && p.rng.IntN(lagSteps-step) == 0 {
				p.entries[i] = p.last()
			}
		}
		for _, a := range p.agents {
			if p.rng.IntN(lagSteps-step) == 0 {
				a.at = p.last()
			}
		}
		for range stepDatagrams {
			p.datagram(p.anyEntry(), p.open[p.rng.IntN(len(p.open))])
		}
		for range stepFlows {
			p.replaceFlow()
		}
	}
}

// lags reports whether an entry learns nothing of the change.
func (p *placement) lags(entry int) bool {
	return p.entriesLag && entry < placementEntries/2
}

func (p *placement) anyEntry() int {
	return p.rng.IntN(placementEntries - p.lost)
}

// datagram sends a datagram of an open flow and reports whether it reached the holder.
func (p *placement) datagram(entry int, key cherviltide.FlowKey) bool {
	d := p.send(entry, key, false)
	p.datagrams++
	p.hops += d.hops
	return d.agent != nil && d.agent == p.holders[key]
}

// openFlow opens a flow. The caller tries again through another entry when a datagram is lost.
func (p *placement) openFlow() {
	p.nextKey++
	key := modelKey(p.nextKey)
	for range placementEntries {
		if d := p.send(p.anyEntry(), key, true); d.agent != nil {
			p.open = append(p.open, key)
			p.holders[key] = d.agent
			return
		}
	}
}

// replaceFlow ends a random flow and opens another.
func (p *placement) replaceFlow() {
	p.closeFlow(p.rng.IntN(len(p.open)))
	p.openFlow()
}

func (p *placement) closeFlow(i int) {
	key := p.open[i]
	delete(p.holders[key].flows, key)
	delete(p.holders, key)
	p.open[i] = p.open[len(p.open)-1]
	p.open = p.open[:len(p.open)-1]
}

// breakFlows closes the flows that an entry does not deliver to their holder. Orphans are those of crashed targets.
func (p *placement) breakFlows() (broken, orphans int) {
	for i := len(p.open) - 1; i >= 0; i-- {
		key, whole := p.open[i], true
		for entry := range placementEntries - p.lost {
			whole = p.datagram(entry, key) && whole
		}
		if whole {
			continue
		}
		broken++
		if !p.holders[key].up {
			orphans++
		}
		p.closeFlow(i)
	}
	return broken, orphans
}

// releaseAll lets the agents release and all processes but lagging entries catch up.
func (p *placement) releaseAll() {
	for _, a := range p.agents {
		if a.up {
			p.release(a)
		}
	}
	before := slices.Clone(p.entries)
	p.catchUp()
	for i := range p.entries {
		if p.lags(i) {
			p.entries[i] = before[i]
		}
	}
}

// imbalance returns the maximum over the mean of the load relative to speed, over the targets that take new flows.
func (p *placement) imbalance() float64 {
	var sum, highest, n float64
	for _, m := range picker.NewModulo(p.tables[p.last()]).Members() {
		load := p.network.find(m.Address).load()
		sum, highest, n = sum+load, max(highest, load), n+1
	}
	return highest * n / sum
}
