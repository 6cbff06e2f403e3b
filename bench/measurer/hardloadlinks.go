package measurer

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"cherviltide.example/cherviltide/bench/replayer"
	"cherviltide.example/cherviltide/shaper"
)

// linkLoads are the loads on thin links, relative to what they carry.
var linkLoads = []float64{0.5, 0.8, 1.0, 1.3}

// runHardLoadLinks plays uploads and small requests over thin links, alone and beside fast ones, with scheduled links and with
// forwarding in the order of arrival as the baseline.
func runHardLoadLinks(_ context.Context, seed uint64, emit func(Line)) error {
	for _, pattern := range []func(float64, bool) replayer.LinkPattern{replayer.ThinLinks, replayer.MixedLinks} {
		for _, separate := range []bool{false, true} {
			for _, load := range linkLoads {
				runLinkVariants(pattern(load, separate), seed, emit)
			}
		}
	}
	return nil
}

func runLinkVariants(p replayer.LinkPattern, seed uint64, emit func(Line)) {
	emitLinks(p, "", replayer.RunLinks(p, seed), emit)
	p.Directions = directionsOf(p.Separate)
	emitLinks(p, "KnownDirections", replayer.RunLinks(p, seed), emit)
	p.ArrivalOrder = true
	emitLinks(p, "ArrivalOrder", replayer.RunLinks(p, seed), emit)
}

func directionsOf(separate bool) shaper.Directions {
	if separate {
		return shaper.DirectionsSeparate
	}
	return shaper.DirectionsShared
}

func emitLinks(p replayer.LinkPattern, variant string, report *replayer.LinkReport, emit func(Line)) {
	directions := "directions share the link"
	if p.Separate {
		directions = "a rate for each direction"
	}
	for _, kind := range slices.Sorted(maps.Keys(report.Kinds)) {
		sum := report.Kinds[kind]
		emit(Line{
			Variant: variant, Kind: kind, Load: Ptr(p.Load), Flows: Ptr(sum.Asked), Timely: Ptr(sum.Timely), Late: Ptr(sum.Late),
			Refused: Ptr(sum.Refused), Lost: Ptr(sum.Failed), BytesPerSecond: Ptr(float64(int(report.Goodput))),
			Note: fmt.Sprintf("%d thin and %d fast links; %s; goodput %.2f of the offered payload of all kinds; %d of %d data packets were copies; %d lost; longest wait %d ms; %d resets",
				p.Entries, p.FastEntries, directions, report.Goodput/report.Offered, report.Copies, report.DataPackets, report.Lost, report.LongestWaitMs, report.Refusals),
		})
	}
}
