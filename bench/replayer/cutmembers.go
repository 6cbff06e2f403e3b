package replayer

import (
	"slices"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/picker"
	"cherviltide.example/cherviltide/pinger"
	"cherviltide.example/cherviltide/tracker"
)

const (
	// expiredTime is how long a cut goes on after the leases have run out.
	expiredTime cherviltide.Millis = 5_000
	// announceSpread is the time between the announcements of two members, and so between their events.
	announceSpread cherviltide.Millis = 100
	// killedAfter and evacuatedAfter are the times from the begin of the cut.
	killedAfter    = tracker.LeaseDuration + 1_500
	evacuatedAfter = tracker.LeaseDuration + 2_500
)

// planMembership plans the events of the membership log. The members of a cut-off domain are suspected and die when their leases
// run out, and join again after the cut with new incarnations, partly after the domains have opened again.
func (s *cutSystem) planMembership() {
	for i, n := range s.agents {
		if slices.Contains(s.cut.Expired, n.domain) {
			offset := cutFrom + cherviltide.Millis(i)*announceSpread
			s.after(offset+tracker.SuspectAfter, func() { s.addEvent(cherviltide.EventSuspected, n.member) })
			s.after(offset+tracker.LeaseDuration, func() { s.addEvent(cherviltide.EventDied, n.member) })
			s.after(s.until+200+cherviltide.Millis(i)*announceSpread, func() {
				if !n.killed {
					n.member.Incarnation++
					s.addEvent(cherviltide.EventJoined, n.member)
				}
			})
		}
		if n.member.Name == s.cut.Killed {
			s.after(cutFrom+killedAfter, func() { n.killed = true })
		}
	}
	if s.cut.Evacuated != "" {
		s.after(cutFrom+evacuatedAfter, func() {
			s.addEvent(cherviltide.EventEvacuated, cherviltide.Member{FailureDomain: s.cut.Evacuated})
		})
	}
}

func (s *cutSystem) addEvent(kind cherviltide.EventType, m cherviltide.Member) {
	s.view = s.view.WithEvents([]cherviltide.PositionedEvent{{Position: s.view.Position + 1, Event: cherviltide.MemberEvent{Type: kind, Member: m}}})
}

// updateView lets a process choose its view, as package pinger does.
func (s *cutSystem) updateView(n *cutNode) {
	used := s.view
	if s.behaviour == CutPresent {
		used = n.retainer.Update(s.view, n.reacher.Closed(), n.reacher.AnswersRevision(), n.reacher.Answers)
	}
	if used != n.used {
		n.used = used
		n.reacher.SetDomains(pinger.Domains(used, n.address, 0))
	}
}

// table returns the table that the process uses.
func (n *cutNode) table() *picker.Table { return n.used.Tables[serviceName] }
