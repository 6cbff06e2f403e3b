package measurer

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"cherviltide.example/cherviltide/bench/replayer"
)

// runCuts plays faults of the network between failure domains, with earlier behaviours as baselines: without reachability, and
// without the agents that a cut has taken out of the tables.
// Kind is the failure domain of the callers; Timely flows were opened, Lost ones were not. No packet of BrokenFlows arrives after
// the fault.
func runCuts(_ context.Context, seed uint64, emit func(Line)) error {
	for _, c := range replayer.Cuts() {
		for behaviour, variant := range []string{"WithoutReachability", "WithoutRetention", ""} {
			reports := replayer.RunCut(c, replayer.CutBehaviour(behaviour), seed)
			for _, domain := range slices.Sorted(maps.Keys(reports)) {
				r := reports[domain]
				emit(Line{
					Variant: variant, Kind: domain, Flows: Ptr(r.Flows), Timely: Ptr(r.Opened), Lost: Ptr(r.Flows - r.Opened),
					BrokenFlows: Ptr(r.Broken),
					Note:        fmt.Sprintf("%s; %d of %d packets of open flows arrived, %d at a wrong target", c.Name, r.Arrived, r.Sent, r.Misdelivered),
				})
			}
		}
	}
	return nil
}
