package explainer

import "time"

// orderLines sorts lines topologically by causality and, where that leaves a choice, by time: the lines of one process keep
// their order, and an agent decides about a packet after the process that sent it. A line that its time would put elsewhere
// gets ClockOff.
func orderLines(lines []Line) []Line {
	predecessors := make([]int, len(lines)) // Number of lines that must precede each line and are not sorted yet.
	successors := make([][]int, len(lines))
	times := monotonicTimes(lines)
	for i, a := range lines {
		for j, b := range lines {
			if precedes(a, b) {
				predecessors[j]++
				successors[i] = append(successors[i], j)
			}
		}
	}
	var sorted []Line
	var latest time.Time
	done := make([]bool, len(lines))
	for range lines {
		next := earliest(times, func(i int) bool { return !done[i] && predecessors[i] == 0 })
		if next < 0 {
			// A cycle, for example from two flows with the same identifier, is broken by time.
			next = earliest(times, func(i int) bool { return !done[i] })
		}
		done[next] = true
		for _, j := range successors[next] {
			predecessors[j]--
		}
		l := lines[next]
		l.ClockOff = l.Time.Before(latest)
		if l.Time.After(latest) {
			latest = l.Time
		}
		sorted = append(sorted, l)
	}
	return sorted
}

// earliest returns the index of the earliest time among the allowed indexes, or -1.
func earliest(times []time.Time, allowed func(i int) bool) int {
	first := -1
	for i := range times {
		if allowed(i) && (first < 0 || times[i].Before(times[first])) {
			first = i
		}
	}
	return first
}

// monotonicTimes returns the times of lines. A time that is earlier than one before it in the same file is raised to that
// one.
func monotonicTimes(lines []Line) []time.Time {
	times := make([]time.Time, len(lines))
	latest := map[int]time.Time{}
	for i, l := range lines {
		times[i] = l.Time
		if latest[l.file].After(l.Time) {
			times[i] = latest[l.file]
		}
		latest[l.file] = times[i]
	}
	return times
}

// precedes reports whether line a is known to be causally before line b.
func precedes(a, b Line) bool {
	if a.file == b.file && a.Process == b.Process {
		return a.lineNumber < b.lineNumber
	}
	if a.Event == "FlowRouted" {
		// The entry sent the first packet of the flow to the agent.
		return b.Process == a.text("Agent") && b.text("Flow") == a.text("Flow") && b.number("Hops") == 1 && b.number("Copy") == 0
	}
	_, aHops := a.Fields["Hops"]
	_, bHops := b.Fields["Hops"]
	samePacket := aHops && bHops && a.text("Flow") == b.text("Flow") && a.number("Sequence") == b.number("Sequence") && a.number("Copy") == b.number("Copy")
	return samePacket && a.number("Hops") < b.number("Hops")
}
