package messenger

import (
	"slices"

	"cherviltide.example/cherviltide"
)

// FollowRequest subscribes to updates of the configuration and the membership.
type FollowRequest struct {
	Name string
	// Revision and RulesDigest are the revision and the digest of the rules text that the follower has.
	Revision    uint64
	RulesDigest uint64
	// Base is the base of the membership log that the follower has, and Position the last position that it has applied.
	// Position is 0 when the follower asks for a snapshot.
	Base     uint64
	Position uint64
	// Service restricts the membership to one service; empty means all.
	Service string
	// WithoutRules is true when the follower needs no rules.
	WithoutRules bool
	// AcceptsPackedRules is true when the follower reads FollowUpdate.PackedRules.
	AcceptsPackedRules bool
	// AcceptsGreeting is true when the follower reads FollowUpdate.Greeting and referrals.
	AcceptsGreeting bool
}

// FollowUpdate is one message of a subscription. An update without events, tables and rules is a heartbeat. Its fields
// have numbers as keys on the wire.
type FollowUpdate struct {
	// Base and Position are the base and the position of the membership log that the follower has after this update.
	Base     uint64 `cbor:"1,keyasint,omitempty"`
	Position uint64 `cbor:"2,keyasint,omitempty"`
	// Digest is the digest of the follower's tables at Position; 0 when the update contains none.
	Digest uint64        `cbor:"3,keyasint,omitempty"`
	Events []MemberDelta `cbor:"4,keyasint,omitempty"`
	// ReplaceTables means that Tables replaces all tables that the follower holds.
	ReplaceTables bool `cbor:"5,keyasint,omitempty"`
	// Tables has tables as they are at Position. Each replaces the follower's table of its service.
	Tables []TableSnapshot `cbor:"6,keyasint,omitempty"`
	// Rules is nil when the follower already has the accepted revision.
	Rules *RulesUpdate `cbor:"7,keyasint,omitempty"`
	// ControlURLs has the base URLs of the control instances; it is empty when they have not changed since the previous
	// update.
	ControlURLs []string `cbor:"8,keyasint,omitempty"`
	// PacketKey is the packet key of the membership log; it is empty when it has not changed since the previous update.
	PacketKey []byte `cbor:"9,keyasint,omitempty"`
	// PackedRules is the compressed encoding of Rules, which is nil then; see PackRules.
	PackedRules []byte `cbor:"10,keyasint,omitempty"`
	// Greeting is true in the first message of an accepted subscription, which has only ControlURLs. So a follower that asks
	// several instances knows which of them accepts it before tables and rules are sent.
	Greeting bool `cbor:"11,keyasint,omitempty"`
	// Evacuated has the evacuated failure domains at Position. It is set only with ReplaceTables; otherwise the events have the
	// changes.
	Evacuated []string `cbor:"12,keyasint,omitempty"`
}

// IsReferral reports whether the update only names control instances, since its sender does not accept the follower.
func (u *FollowUpdate) IsReferral() bool {
	return !u.Greeting && len(u.ControlURLs) > 0 && u.Base == 0 && !u.HasRules() && !u.ReplaceTables && len(u.Tables) == 0
}

// HasRules reports whether the update has rules, packed or not.
func (u *FollowUpdate) HasRules() bool {
	return u.Rules != nil || len(u.PackedRules) > 0
}

// Size returns the approximate size of the rules and tables in bytes.
func (u *FollowUpdate) Size() int {
	n := len(u.PackedRules)
	for _, t := range u.Tables {
		n += len(t.Data)
	}
	if u.Rules == nil {
		return n
	}
	for _, d := range u.Rules.Deltas {
		n += d.Size()
	}
	return n + len(u.Rules.Text)
}

// TableSnapshot is the table of one service in the format that picker.Restore reads. Data is empty when the table is
// removed.
type TableSnapshot struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Buckets int
	Data    []byte
}

// RulesUpdate contains an accepted rules file, either as deltas from the follower's revision or as the complete text.
type RulesUpdate struct {
	Revision uint64
	// Digest is the digest of the text at Revision.
	Digest uint64
	// Deltas change the follower's text to the text at Revision. They are empty when Text is the complete text.
	Deltas []LineDelta
	Text   string
	// Former has the former services of the routes, which a process that has restarted does not know.
	Former []cherviltide.FormerServices
}

// MemberDelta is the compact form of a member event.
type MemberDelta struct {
	_ struct{} `cbor:",toarray"`
	// Step is the difference to the position of the previous delta or, for the first one, to the follower's position.
	Step uint64
	// Type is the index of the event's type in eventTypes.
	Type    int
	Service string
	// Name is the name of the member, or of the failure domain that the event is about.
	Name        string
	Incarnation uint64
	// Value is the weight for Weighed events and the generation for Released events.
	Value uint64
	// Member is the complete member. It is set for Joined events.
	Member *cherviltide.Member
}

// eventTypes has the event types that deltas can express. New types must be appended, since deltas refer to them by
// index.
var eventTypes = []cherviltide.EventType{
	cherviltide.EventJoined, cherviltide.EventWeighed, cherviltide.EventSuspected, cherviltide.EventCleared,
	cherviltide.EventLeaving, cherviltide.EventReleased, cherviltide.EventDied,
	cherviltide.EventEvacuated, cherviltide.EventRestored,
}

// NewMemberDelta returns the compact form of an event, relative to the given earlier position.
func NewMemberDelta(after uint64, e cherviltide.PositionedEvent) MemberDelta {
	m := e.Event.Member
	d := MemberDelta{
		Step: e.Position - after, Type: slices.Index(eventTypes, e.Event.Type),
		Service: m.Service, Name: m.Name, Incarnation: m.Incarnation, Value: e.Event.Generation,
	}
	if e.Event.Type == cherviltide.EventWeighed {
		d.Value = uint64(m.Weight)
	}
	if e.Event.Type.IsAboutDomain() {
		d.Name = m.FailureDomain
	}
	if e.Event.Type == cherviltide.EventJoined {
		d.Service, d.Name, d.Incarnation, d.Member = "", "", 0, &m
	}
	return d
}

// Event returns the full event, given the earlier position that the delta is relative to. It returns false for an event
// type that this process does not know.
func (d MemberDelta) Event(after uint64) (cherviltide.PositionedEvent, bool) {
	if d.Type < 0 || d.Type >= len(eventTypes) {
		return cherviltide.PositionedEvent{}, false
	}
	e := cherviltide.MemberEvent{Type: eventTypes[d.Type], Member: cherviltide.Member{
		Role: cherviltide.RoleAgent, Service: d.Service, Name: d.Name, Incarnation: d.Incarnation,
	}}
	switch {
	case e.Type.IsAboutDomain():
		e.Member = cherviltide.Member{FailureDomain: d.Name}
	case d.Member != nil:
		e.Member = *d.Member
	case e.Type == cherviltide.EventWeighed:
		e.Member.Weight = uint32(d.Value)
	case e.Type == cherviltide.EventReleased:
		e.Generation = d.Value
	}
	return cherviltide.PositionedEvent{Position: after + d.Step, Event: e}, true
}
