package distributor

import (
	"encoding/binary"
	"maps"
	"slices"
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/picker"
)

// Digest returns a hash of a set of tables. It is equal for equal sets and never 0.
func Digest(tables map[string]*picker.Table) uint64 {
	h := xxhash.New()
	for _, name := range slices.Sorted(maps.Keys(tables)) {
		_, _ = h.WriteString(name)
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, tables[name].Digest()))
	}
	return max(h.Sum64(), 1)
}

// encodedTable is a table with its encoded form, which data computes at the first call.
type encodedTable struct {
	table *picker.Table
	data  func() ([]byte, error)
}

// encodeTables returns the encoded forms of tables. It reuses those of unchanged tables.
func encodeTables(tables map[string]*picker.Table, before map[string]encodedTable) map[string]encodedTable {
	next := make(map[string]encodedTable, len(tables))
	for name, table := range tables {
		next[name] = before[name]
		if before[name].table != table {
			next[name] = encodedTable{table: table, data: sync.OnceValues(table.Snapshot)}
		}
	}
	return next
}

// hasEventsFor reports whether the kept events bring a follower up to date, so that it needs no snapshot.
func (p *publishedState) hasEventsFor(held *messenger.FollowRequest) bool {
	return p.Base == held.Base && held.Position >= p.EventsSince && held.Position <= p.Position
}

// update returns the changes that a follower lacks, and sets held to the follower's state after it has received them.
func (p *publishedState) update(held *messenger.FollowRequest, heartbeat bool) (*messenger.FollowUpdate, error) {
	u := &messenger.FollowUpdate{Base: p.Base, Position: p.Position}
	if p.Revision > held.Revision && !held.WithoutRules {
		shared, err := p.rules.get(heldRules{held.Revision, held.RulesDigest}, func() *messenger.RulesUpdate {
			return p.history.rulesUpdate(p.State, held)
		})
		if err != nil {
			return nil, err
		}
		if u.Rules = shared.update; shared.packed != nil && held.AcceptsPackedRules {
			u.Rules, u.PackedRules = nil, shared.packed
		}
		held.Revision, held.RulesDigest = p.Revision, shared.update.Digest
	}
	var err error
	if p.hasEventsFor(held) && p.domainEventsAfter(held.Position) <= maxEventsPerService {
		err = p.addEvents(u, held)
	} else {
		u.ReplaceTables, u.Evacuated = true, p.Evacuated
		err = p.addTables(u, slices.Sorted(maps.Keys(p.Tables)), held.Service)
	}
	if heartbeat {
		u.Digest = p.tablesDigestFor(held.Service)
	}
	held.Base, held.Position = p.Base, p.Position
	return u, err
}

// maxEventsPerService is how many events of one service are sent as events; for more the table is sent. For each event the
// follower assigns the buckets again, which takes longer than decoding a table.
const maxEventsPerService = 16

// eventsAfter returns the kept events after a position.
func (p *publishedState) eventsAfter(position uint64) []cherviltide.PositionedEvent {
	first := sort.Search(len(p.Events), func(i int) bool { return p.Events[i].Position > position })
	return p.Events[first:]
}

// domainEventsAfter returns the number of kept events about failure domains after a position.
func (p *publishedState) domainEventsAfter(position uint64) int {
	n := 0
	for _, e := range p.eventsAfter(position) {
		if e.Event.Type.IsAboutDomain() {
			n++
		}
	}
	return n
}

// addEvents adds the events after the follower's position to an update. For services that were defined since then or have
// many events it adds the tables instead. It omits the events of services without a table. Events about failure domains have
// no service and concern all tables, so that every follower gets them.
func (p *publishedState) addEvents(u *messenger.FollowUpdate, held *messenger.FollowRequest) error {
	events := p.eventsAfter(held.Position)
	sendTable, counts := map[string]bool{}, map[string]int{}
	for _, e := range events {
		service := e.Event.Member.Service
		counts[service]++
		if e.Event.Type == cherviltide.EventDefined || (service != "" && counts[service] > maxEventsPerService) {
			sendTable[service] = true
		}
	}
	after := held.Position
	for _, e := range events {
		service := e.Event.Member.Service
		if e.Event.Type.IsAboutDomain() {
			u.Events = append(u.Events, messenger.NewMemberDelta(after, e))
			after = e.Position
			continue
		}
		if p.Tables[service] == nil || sendTable[service] || (held.Service != "" && service != held.Service) {
			continue
		}
		u.Events = append(u.Events, messenger.NewMemberDelta(after, e))
		after = e.Position
	}
	return p.addTables(u, slices.Sorted(maps.Keys(sendTable)), held.Service)
}

// addTables adds the tables of services to an update. A service without a table is added without data.
func (p *publishedState) addTables(u *messenger.FollowUpdate, services []string, filter string) error {
	for _, name := range services {
		if filter != "" && name != filter {
			continue
		}
		snapshot := messenger.TableSnapshot{Service: name}
		if table := p.Tables[name]; table != nil {
			data, err := p.snapshots[name].data()
			if err != nil {
				return err
			}
			snapshot.Buckets, snapshot.Data = table.Service().Buckets, data
		}
		u.Tables = append(u.Tables, snapshot)
	}
	return nil
}

// tablesDigestFor returns the digest of the tables of a follower that is limited to the given service; empty means all.
func (p *publishedState) tablesDigestFor(service string) uint64 {
	if service == "" {
		return p.tablesDigest()
	}
	tables := map[string]*picker.Table{}
	if table := p.Tables[service]; table != nil {
		tables[service] = table
	}
	return Digest(tables)
}
