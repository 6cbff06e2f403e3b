package measurer

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/bench/replayer"
)

// runOverload plays the worst load patterns with flows that wait at the agents, and with the targets' own queues as the
// baseline.
func runOverload(_ context.Context, seed uint64, emit func(Line)) error {
	for _, p := range replayer.Patterns() {
		for _, variant := range []string{"", "TargetQueues"} {
			p.TargetQueues = variant != ""
			emitReplay(emit, p, variant, seed)
		}
	}
	return nil
}

// runTransfers plays uploads, downloads and long flows; the baseline of uploads counts whole flows against the slots.
func runTransfers(_ context.Context, seed uint64, emit func(Line)) error {
	isUpload := func(k replayer.Kind) bool { return k.Route.Class == cherviltide.ClassUpload }
	for _, p := range replayer.TransferPatterns() {
		emitReplay(emit, p, "", seed)
		if p.WholeFlows = slices.ContainsFunc(p.Kinds, isUpload); p.WholeFlows {
			emitReplay(emit, p, "WholeFlows", seed)
		}
	}
	return nil
}

// runGrey plays a tenth of the targets grey; the baseline leaves them in service.
func runGrey(_ context.Context, seed uint64, emit func(Line)) error {
	for _, p := range replayer.GreyPatterns() {
		emitReplay(emit, p, "", seed)
		p.QuarantineShare = 0
		emitReplay(emit, p, "NoQuarantine", seed)
	}
	return nil
}

// emitReplay plays a pattern and emits a line for each kind of request.
func emitReplay(emit func(Line), p replayer.Pattern, variant string, seed uint64) {
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
