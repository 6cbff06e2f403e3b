package controller

import (
	"slices"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/voter"
)

const (
	// watchDelay is how long a state must last that a restart or a change of the voters explains, until it is logged.
	watchDelay cherviltide.Millis = 2_000
	// watchInterval is the time between two lines about a state that lasts.
	watchInterval cherviltide.Millis = 5_000
)

// lasting tells how long a state lasts and when to log it. The zero value is a state that does not apply.
type lasting struct {
	applies bool
	// since is when the state began, and nextLine when the next line about it is due.
	since, nextLine cherviltide.Millis
	// logged is true if there was a line about it.
	logged bool
}

// update records whether the state applies now. It reports whether a line is due that it applies, or that it no longer does.
func (l *lasting) update(applies bool, now cherviltide.Millis) bool {
	switch {
	case applies && !l.applies:
		*l = lasting{applies: true, since: now, nextLine: now + watchDelay}
	case applies && now >= l.nextLine:
		l.nextLine, l.logged = now+watchInterval, true
		return true
	case !applies && l.applies:
		was := l.logged
		*l = lasting{}
		return was
	}
	return false
}

// duration returns how long the state has lasted, at least 1 ms; 0 if it does not apply.
func (l *lasting) duration(now cherviltide.Millis) cherviltide.Millis {
	if !l.applies {
		return 0
	}
	return max(now-l.since, 1)
}

// groupWatch tells operators why an instance is not admitted to a group, and that a group runs with fewer voters than the deployment
// needs, before the next loss stops it.
type groupWatch struct {
	now                     cherviltide.Millis
	notAdmitted, incomplete lasting
	// answers has the type of the last message of each instance that was heard from before the admission.
	answers map[string]voter.MessageType
}

// heard records a message that arrived before the admission.
func (w *groupWatch) heard(from voter.ID, kind voter.MessageType) {
	if _, known := w.answers[from.Name]; known || len(w.answers) < maxPeers {
		w.answers[from.Name] = kind
	}
}

// watch logs states of the group that last.
func (g *group) watch(now cherviltide.Millis) {
	w := &g.watched
	w.now = now
	if w.notAdmitted.update(!g.admitted, now) && !g.admitted {
		var silent []string
		answers := map[string]string{}
		for _, name := range g.voter.KnownInstances() {
			if kind, ok := w.answers[name]; ok {
				answers[name] = kind.String()
			} else {
				silent = append(silent, name)
			}
		}
		g.log.Warn("NotAdmitted", zap.String("Group", g.name), zap.Uint64("Identity", g.self.Number),
			zap.Int64("SinceMs", int64(w.notAdmitted.duration(now))), zap.Any("Answers", answers), zap.Strings("Silent", silent))
	}
	present, leads := g.voter.PresentVoters()
	if w.incomplete.update(leads && len(present) < g.minVoters, now) && leads {
		g.log.Warn("VotersMissing", zap.String("Group", g.name), zap.Int("Present", len(present)), zap.Int("Needed", g.minVoters),
			zap.Int64("SinceMs", int64(w.incomplete.duration(now))), zap.Strings("Missing", g.missingVoters(present)))
	}
}

// missingVoters returns the names of the voters that are not present.
func (g *group) missingVoters(present []voter.ID) []string {
	var names []string
	for _, id := range g.voter.Voters() {
		if !slices.Contains(present, id) {
			names = append(names, id.Name)
		}
	}
	return names
}
