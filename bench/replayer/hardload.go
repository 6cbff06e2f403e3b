package replayer

import "slices"

// Comparison is a load pattern that is played with the present decision and with the earlier one.
type Comparison struct {
	Name string
	// Title tells the load, and Kinds what the kinds of the results are.
	Title, Kinds string
	// Earlier is the name of the earlier decision.
	Earlier string
	// Play returns the results with the present decision, or with the earlier one. Runs with the same seed are equal.
	Play func(earlier bool, seed uint64) Results
}

// HardLoad returns the load patterns of the deployments with thin links, bursts, long flows, one-way cuts and grey targets.
func HardLoad() []Comparison {
	crowded := named(TransferPatterns(), "long-flows")
	// At the crest of the wave, the load is 1.06 times the capacity.
	crowded.Speeds = crowded.Speeds[:30]
	long := replayComparison(crowded, "TargetQueues", func(p *Pattern) { p.TargetQueues = true })
	long.Title = "long flows and new ones at 30 targets, wave of 55%"
	wave := replayComparison(waveWithBurst(), "WholeFlows", func(p *Pattern) { p.WholeFlows = true })
	wave.Title = "deployment A at 59 targets, wave of 55%, burst of 1.7 from 3 to 6 s"
	grey := replayComparison(named(GreyPatterns(), string(GreyReset)), "NoQuarantine", func(p *Pattern) { p.QuarantineShare = 0 })
	grey.Name, grey.Title = "grey-targets", "2 of 20 targets reset requests from 5 to 35 s"
	return []Comparison{thinLinksComparison(), wave, long, cutComparison(), grey}
}

func named(patterns []Pattern, name string) Pattern {
	return patterns[slices.IndexFunc(patterns, func(p Pattern) bool { return p.Name == name })]
}

// waveWithBurst returns the requests of deployment A at its targets. The burst is at the crest of the wave.
func waveWithBurst() Pattern {
	p := named(TransferPatterns(), "long-flows")
	upload := named(TransferPatterns(), "uploads").Kinds[1]
	upload.PerSecond = 99
	p.Name, p.Kinds, p.Speeds, p.Duration = "wave-burst", append(p.Kinds, upload), slices.Repeat([]float64{1}, 59), 24_000
	p.Burst, p.BurstFactor = Interval{3_000, 6_000}, 1.7
	return p
}

func replayComparison(p Pattern, earlier string, change func(*Pattern)) Comparison {
	return Comparison{Name: p.Name, Kinds: "kind of request", Earlier: earlier, Play: func(isEarlier bool, seed uint64) Results {
		p := p
		if isEarlier {
			change(&p)
		}
		return Run(p, seed).PerSecond
	}}
}

// thinLinksComparison plays the entries of a failure domain of deployment A, whose links carry both directions.
func thinLinksComparison() Comparison {
	return Comparison{
		Name: "thin-links", Title: "uploads and small requests, 5 links of 3.9 Mbit/s and 2 of 100 Mbit/s, load 1.0",
		Kinds: "kind of request", Earlier: "ArrivalOrder",
		Play: func(earlier bool, seed uint64) Results {
			p := MixedLinks(1, false)
			p.ArrivalOrder = earlier
			return RunLinks(p, seed).PerSecond
		},
	}
}

// cutComparison plays a cut in one direction.
func cutComparison() Comparison {
	return Comparison{
		Name: "one-way-closed", Title: "nothing gets out of one of 3 failure domains from 1 to 7 s, new flows",
		Kinds: "failure domain of the callers", Earlier: "WithoutReachability",
		Play: func(earlier bool, seed uint64) Results {
			results, behaviour := Results{}, CutPresent
			if earlier {
				behaviour = CutWithoutReach
			}
			for domain, r := range RunCut(Cuts()[0], behaviour, seed) {
				results[domain] = r.PerSecond
			}
			return results
		},
	}
}
