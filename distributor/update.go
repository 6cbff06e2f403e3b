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

// Digest returns a hash over tables that is equal for equal sets of tables and never 0.
func Digest(tables map[string]*picker.Table) uint64 {
	h := xxhash.New()
	for _, name := range slices.Sorted(maps.Keys(tables)) {
		_, _ = h.WriteString(name)
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, tables[name].Digest()))
	}
	return max(h.Sum64(), 1)
}

// encoded is a table with what encodes it at the first call.
type encoded struct {
	table *picker.Table
	data  func() ([]byte, error)
}

// encode returns the encoded forms of tables. Those of unchanged tables are taken over.
func encode(tables map[string]*picker.Table, before map[string]encoded) map[string]encoded {
	next := make(map[string]encoded, len(tables))
	for name, table := range tables {
		next[name] = before[name]
		if before[name].table != table {
			next[name] = encoded{table: table, data: sync.OnceValues(table.Snapshot)}
		}
	}
	return next
}

// covers reports whether deltas can bring a follower up to date, so that it needs no snapshot.
func (p *published) covers(held *messenger.FollowRequest) bool {
	return p.Base == held.Base && held.Position >= p.EventsSince && held.Position <= p.Position
}

// update returns what a follower lacks and advances what it holds.
func (p *published) update(held *messenger.FollowRequest, heartbeat bool) (*messenger.FollowUpdate, error) {
	u := &messenger.FollowUpdate{Base: p.Base, Position: p.Position}
	if p.Revision > held.Revision {
		u.Rules = p.history.rules(p.State, held)
		held.Revision, held.RulesDigest = p.Revision, u.Rules.Digest
	}
	var err error
	if p.covers(held) {
		err = p.delta(u, held)
	} else {
		u.ReplaceTables = true
		err = p.tables(u, slices.Sorted(maps.Keys(p.Tables)), held.Service)
	}
	if heartbeat {
		u.Digest = p.digestFor(held.Service)
	}
	held.Base, held.Position = p.Base, p.Position
	return u, err
}

// deltaLimit is how many events of one service are sent as events. Each costs the follower a new placement, which takes
// longer than reading the table.
const deltaLimit = 16

// delta adds the events after the follower's position. Services that were defined since then or have many events are sent
// as tables, and events of services without a table are left out.
func (p *published) delta(u *messenger.FollowUpdate, held *messenger.FollowRequest) error {
	first := sort.Search(len(p.Events), func(i int) bool { return p.Events[i].Position > held.Position })
	events := p.Events[first:]
	whole, counts := map[string]bool{}, map[string]int{}
	for _, e := range events {
		service := e.Event.Member.Service
		counts[service]++
		if e.Event.Type == cherviltide.EventDefined || (service != "" && counts[service] > deltaLimit) {
			whole[service] = true
		}
	}
	after := held.Position
	for _, e := range events {
		service := e.Event.Member.Service
		if p.Tables[service] == nil || whole[service] || (held.Service != "" && service != held.Service) {
			continue
		}
		u.Events = append(u.Events, messenger.NewMemberDelta(after, e))
		after = e.Position
	}
	return p.tables(u, slices.Sorted(maps.Keys(whole)), held.Service)
}

// tables adds the tables of services to an update.
func (p *published) tables(u *messenger.FollowUpdate, services []string, filter string) error {
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

// digestFor returns the digest over the tables that a follower with the given filter holds.
func (p *published) digestFor(service string) uint64 {
	if service == "" {
		return p.digest()
	}
	tables := map[string]*picker.Table{}
	if table := p.Tables[service]; table != nil {
		tables[service] = table
	}
	return Digest(tables)
}
