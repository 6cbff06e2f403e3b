package messenger

import (
	"slices"

	"cherviltide.example/cherviltide"
)

// FollowRequest subscribes to configuration and membership.
type FollowRequest struct {
	Name string
	// Revision and RulesDigest are of the rules text that the follower holds.
	Revision    uint64
	RulesDigest uint64
	// Base and Position are of the membership log that the follower holds; Position is 0 when it asks for a snapshot.
	Base     uint64
	Position uint64
	// Service limits membership to one service; empty means all.
	Service string
}

// FollowUpdate is one message of a subscription. An update without events, tables and rules is a heartbeat.
type FollowUpdate struct {
	// Base and Position are of the membership log that this update brings the follower to.
	Base     uint64 `cbor:"1,keyasint,omitempty"`
	Position uint64 `cbor:"2,keyasint,omitempty"`
	// Digest is over the follower's tables at Position; 0 when the update does not say.
	Digest uint64        `cbor:"3,keyasint,omitempty"`
	Events []MemberDelta `cbor:"4,keyasint,omitempty"`
	// ReplaceTables means that Tables replaces all tables that the follower holds.
	ReplaceTables bool `cbor:"5,keyasint,omitempty"`
	// Tables are at Position and replace the tables of their services.
	Tables []TableSnapshot `cbor:"6,keyasint,omitempty"`
	// Rules is nil when the follower's revision is current.
	Rules *RulesUpdate `cbor:"7,keyasint,omitempty"`
	// ControlURLs has the base URLs of the control instances; it is empty when they are the same as in the update before.
	ControlURLs []string `cbor:"8,keyasint,omitempty"`
	// PacketKey is the packet key of the membership log; it is empty when it is the same as in the update before.
	PacketKey []byte `cbor:"9,keyasint,omitempty"`
}

// TableSnapshot is the table of one service, as picker.Restore reads it. It has no data when the table is removed.
type TableSnapshot struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Buckets int
	Data    []byte
}

// RulesUpdate carries an accepted rules file: as deltas from the follower's revision, or whole.
type RulesUpdate struct {
	Revision uint64
	// Digest is of the text at Revision.
	Digest uint64
	// Deltas lead from the follower's text to the text at Revision. They are empty when Text is whole.
	Deltas []LineDelta
	Text   string
	// Former has the services that routes had under earlier rules, which a process that has restarted has not seen.
	Former []cherviltide.FormerServices
}

// MemberDelta is a member event in its short form.
type MemberDelta struct {
	_ struct{} `cbor:",toarray"`
	// Step is the distance from the position of the previous delta, or from the follower's position.
	Step uint64
	// Type is the index of the event's type in eventTypes.
	Type        int
	Service     string
	Name        string
	Incarnation uint64
	// Value is the weight of Weighed and the generation of Released.
	Value uint64
	// Member is set for Joined.
	Member *cherviltide.Member
}

// eventTypes has the events that travel as deltas. New types are appended.
var eventTypes = []cherviltide.EventType{
	cherviltide.EventJoined, cherviltide.EventWeighed, cherviltide.EventSuspected, cherviltide.EventCleared,
	cherviltide.EventLeaving, cherviltide.EventReleased, cherviltide.EventDied,
}

// NewMemberDelta returns the short form of an event that follows the given position.
func NewMemberDelta(after uint64, e cherviltide.PositionedEvent) MemberDelta {
	m := e.Event.Member
	d := MemberDelta{
		Step: e.Position - after, Type: slices.Index(eventTypes, e.Event.Type),
		Service: m.Service, Name: m.Name, Incarnation: m.Incarnation, Value: e.Event.Generation,
	}
	if e.Event.Type == cherviltide.EventWeighed {
		d.Value = uint64(m.Weight)
	}
	if e.Event.Type == cherviltide.EventJoined {
		d.Service, d.Name, d.Incarnation, d.Member = "", "", 0, &m
	}
	return d
}

// Event returns the event, which follows the given position. It returns false for a type that this process does not know.
func (d MemberDelta) Event(after uint64) (cherviltide.PositionedEvent, bool) {
	if d.Type < 0 || d.Type >= len(eventTypes) {
		return cherviltide.PositionedEvent{}, false
	}
	e := cherviltide.MemberEvent{Type: eventTypes[d.Type], Member: cherviltide.Member{
		Role: cherviltide.RoleAgent, Service: d.Service, Name: d.Name, Incarnation: d.Incarnation,
	}}
	switch {
	case d.Member != nil:
		e.Member = *d.Member
	case e.Type == cherviltide.EventWeighed:
		e.Member.Weight = uint32(d.Value)
	case e.Type == cherviltide.EventReleased:
		e.Generation = d.Value
	}
	return cherviltide.PositionedEvent{Position: after + d.Step, Event: e}, true
}
