package distributor

import (
	"encoding/binary"
	"maps"
	"slices"
	"sort"

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

// covers reports whether deltas can bring a follower up to date, so that it needs no snapshot.
func (p *published) covers(held *messenger.FollowRequest) bool {
	return p.Base == held.Base && held.Position >= p.Oldest && held.Position <= p.Position
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
		u.Reset = true
		err = p.tables(u, slices.Sorted(maps.Keys(p.Tables)), held.Service)
	}
	if heartbeat {
		u.Digest = p.digestFor(held.Service)
	}
	held.Base, held.Position = p.Base, p.Position
	return u, err
}

// delta adds the events after the follower's position. Services that were defined since then are sent as tables, and
// events of services without a table are left out.
func (p *published) delta(u *messenger.FollowUpdate, held *messenger.FollowRequest) error {
	first := sort.Search(len(p.Events), func(i int) bool { return p.Events[i].Position > held.Position })
	events := p.Events[first:]
	defined := map[string]bool{}
	for _, e := range events {
		if e.Event.Type == cherviltide.EventDefined {
			defined[e.Event.Member.Service] = true
		}
	}
	after := held.Position
	for _, e := range events {
		service := e.Event.Member.Service
		if p.Tables[service] == nil || defined[service] || (held.Service != "" && service != held.Service) {
			continue
		}
		u.Events = append(u.Events, messenger.NewMemberDelta(after, e))
		after = e.Position
	}
	return p.tables(u, slices.Sorted(maps.Keys(defined)), held.Service)
}

// tables adds the tables of services to an update.
func (p *published) tables(u *messenger.FollowUpdate, services []string, filter string) error {
	for _, name := range services {
		if filter != "" && name != filter {
			continue
		}
		snapshot := messenger.TableSnapshot{Service: name}
		if table := p.Tables[name]; table != nil {
			data, err := table.Snapshot()
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
