package measurer

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"cherviltide.example/cherviltide/bench/replayer"
)

// runHardLoad plays the patterns of hard load with the present decision and with the earlier one, in simulated time. Kind is
// the kind of request or the failure domain of the callers; Lost requests failed.
func runHardLoad(ctx context.Context, seed uint64, emit func(Line)) error {
	for _, c := range replayer.HardLoad() {
		for _, variant := range []string{"", c.Earlier} {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			results := c.Play(variant != "", seed)
			for _, kind := range slices.Sorted(maps.Keys(results)) {
				sum := results.Sum(0, results.Seconds(), kind)
				emit(Line{
					Variant: variant, Kind: kind, TimelyShare: Ptr(sum.TimelyShare()), Flows: Ptr(sum.Asked), Timely: Ptr(sum.Timely),
					Late: Ptr(sum.Late), Refused: Ptr(sum.Refused), Lost: Ptr(sum.Failed),
					Note:    fmt.Sprintf("pattern %s: %s; kind is the %s", c.Name, c.Title, c.Kinds),
					pattern: c.Title, results: replayer.Results{kind: results[kind]},
				})
			}
		}
	}
	return nil
}
