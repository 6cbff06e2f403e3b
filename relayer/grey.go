package relayer

import (
	"slices"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/picker"
	"cherviltide.example/cherviltide/quarantiner"
)

// abandonTime is how long a request is in work before its end by the caller counts against the target. Callers that go away
// earlier may have other reasons.
const abandonTime cherviltide.Millis = 1_000

// peers is what a table shows about the service to the agent of a target with a number of slots, so that it is read once for
// each change.
type peers struct {
	table *picker.Table
	slots int
	view  quarantiner.Peers
}

// tickQuarantine moves the decision about a grey target on.
func (d *Decider) tickQuarantine(in Input) {
	share := d.limits.QuarantineShare
	d.quarantine.SetShare(share)
	if share <= 0 {
		return
	}
	if slots := d.target.Slots; d.peers.table != in.Table || d.peers.slots != slots {
		d.peers = peers{table: in.Table, slots: slots, view: d.peersOf(in)}
	}
	d.quarantine.Tick(in.Now, d.target.Slots, d.load.working, d.peers.view)
}

// peersOf returns what the table shows. Agents that are suspect or leaving take no new flows. Targets in evacuated failure domains
// do not count, since the others bear the load of the service; those targets themselves need no quarantine.
func (d *Decider) peersOf(in Input) quarantiner.Peers {
	if in.isEvacuated() {
		return quarantiner.Peers{}
	}
	active := in.Table.AppendActive(nil)
	d.members = slices.DeleteFunc(in.Table.AppendMembers(d.members[:0]), func(m cherviltide.Member) bool {
		return in.Table.IsEvacuated(m.FailureDomain)
	})
	view := quarantiner.Peers{Members: len(d.members)}
	weights := make([]uint32, 0, len(active))
	next := 0
	for _, m := range d.members {
		isActive := next < len(active) && active[next].Name == m.Name
		if isActive {
			next++
		}
		switch {
		case isSelf(in, m):
			view.Out = !isActive
		case isActive:
			weights = append(weights, m.Weight)
		case m.Name < in.Self.Name:
			view.OutBefore++
		}
	}
	if slices.Sort(weights); len(weights) > 0 && weights[len(weights)/2] > 0 {
		perSlot := float64(weights[len(weights)/2]) / cherviltide.NominalWeight * cherviltide.NominalRate / float64(max(d.target.Slots, 1))
		view.ServiceTime = 1000 / perSlot
	}
	return view
}

// recordAnswer records the first byte of an answer for the decision about a grey target.
func (d *Decider) recordAnswer(in Input, f *flow) {
	if !f.working {
		return
	}
	serviceTime := cherviltide.Millis(0)
	if f.requestedAt != 0 && f.transfer == nil {
		serviceTime = max(in.Now-f.requestedAt, 1)
	}
	d.quarantine.Answered(in.Now, in.Now-f.lastRequestAt, serviceTime)
}

// recordEnd records that a flow ends at the target or by a timeout. It counts against the target when a request has no answer
// although a slot was free for it, or the target has not answered the opening packet.
func (d *Decider) recordEnd(in Input, f *flow) {
	if f.working && f.requestedAt != 0 || !f.answered {
		d.quarantine.Failed(in.Now)
	}
}

// recordAbandoned records that the caller has reset a flow.
func (d *Decider) recordAbandoned(in Input, f *flow) {
	if f.working && f.requestedAt != 0 && in.Now-f.requestedAt >= abandonTime {
		d.quarantine.Failed(in.Now)
	}
}

// Quarantine returns the state of a target that may be grey, the evidence with which it was last taken out of service, and
// whether control is to place no new flows here.
func (d *Decider) Quarantine() (state quarantiner.State, reason quarantiner.Reason, paused bool) {
	return d.quarantine.State(), d.quarantine.Reason(), d.quarantine.WantsPause()
}
