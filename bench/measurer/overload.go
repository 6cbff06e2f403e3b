package measurer

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"cherviltide.example/cherviltide/bench/replayer"
)

// runOverload plays the worst load patterns with flows that wait at the agents, and with the targets' own queues as the
// baseline.
func runOverload(_ context.Context, seed uint64, emit func(Line)) error {
	for _, p := range replayer.Patterns() {
		for _, variant := range []string{"", "TargetQueues"} {
			p.TargetQueues = variant != ""
			report := replayer.Run(p, seed)
			for _, kind := range slices.Sorted(maps.Keys(report.PerSecond)) {
				sum := report.Sum(0, len(report.PerSecond[kind]), kind)
				emit(Line{
					Variant: variant, Kind: kind, Flows: Ptr(sum.Asked), Timely: Ptr(sum.Timely), Late: Ptr(sum.Late),
					Refused: Ptr(sum.Refused), Lost: Ptr(sum.Failed), Doubled: Ptr(report.Doubled), NotRunButRan: Ptr(report.FalseRefusals),
					Note: fmt.Sprintf("pattern %s; longest wait %d ms; %.2f offers for each flow", p.Name, report.LongestWaitMs,
						float64(report.Offers)/float64(max(report.Attempts, 1))),
				})
			}
		}
	}
	return nil
}
