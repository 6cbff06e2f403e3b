package explainer

import "time"

// order returns lines by time, but never against what is known: the lines of one process stay in their order, and an agent
// decides about a packet after the process that sent it there. A line that its time would put elsewhere is marked.
func order(lines []Line) []Line {
	before := make([]int, len(lines)) // Lines that must come first and are not placed yet.
	after := make([][]int, len(lines))
	times := steady(lines)
	for i, a := range lines {
		for j, b := range lines {
			if precedes(a, b) {
				before[j]++
				after[i] = append(after[i], j)
			}
		}
	}
	var placed []Line
	var latest time.Time
	done := make([]bool, len(lines))
	for range lines {
		next := earliest(times, func(i int) bool { return !done[i] && before[i] == 0 })
		if next < 0 {
			// Contradictory lines, for example of two flows with one identifier, stay in the order of their time.
			next = earliest(times, func(i int) bool { return !done[i] })
		}
		done[next] = true
		for _, j := range after[next] {
			before[j]--
		}
		l := lines[next]
		l.ClockOff = l.Time.Before(latest)
		if l.Time.After(latest) {
			latest = l.Time
		}
		placed = append(placed, l)
	}
	return placed
}

// earliest returns the index of the first time among those that are allowed, or -1.
func earliest(times []time.Time, allowed func(i int) bool) int {
	first := -1
	for i := range times {
		if allowed(i) && (first < 0 || times[i].Before(times[first])) {
			first = i
		}
	}
	return first
}

// steady returns the times of lines, with those of one file never going back.
func steady(lines []Line) []time.Time {
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

// precedes reports whether a line is known to come before another one.
func precedes(a, b Line) bool {
	if a.file == b.file && a.Process == b.Process {
		return a.number < b.number
	}
	if a.Event == "FlowRouted" {
		// The first packet of the flow left this entry for the agent.
		return b.Process == a.text("Agent") && b.text("Flow") == a.text("Flow") && b.amount("Hops") == 1 && b.amount("Copy") == 0
	}
	_, aHops := a.Fields["Hops"]
	_, bHops := b.Fields["Hops"]
	same := aHops && bHops && a.text("Flow") == b.text("Flow") && a.amount("Sequence") == b.amount("Sequence") && a.amount("Copy") == b.amount("Copy")
	return same && a.amount("Hops") < b.amount("Hops")
}
