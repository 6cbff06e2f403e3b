package measurer

import (
	"context"
	"fmt"

	"cherviltide.example/cherviltide/bench/replayer"
)

// runWarmUp plays the patterns with cold targets, with the adaptive pace, without a ramp and with a linear ramp. The hard bound
// belongs to the adaptive pace; the note tells how many opening packets a cold target got with each.
func runWarmUp(ctx context.Context, seed uint64, emit func(Line)) error {
	for _, ramp := range []replayer.Ramp{replayer.RampAdaptive, replayer.RampNone, replayer.RampLinear} {
		for _, p := range replayer.WarmUpPatterns(ramp) {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			r := replayer.RunWarmUp(p, seed)
			line := Line{
				Variant: string(ramp), Kind: p.Name, TimelyShare: Ptr(r.Requests.TimelyShare()), Timely: Ptr(r.Requests.Timely), Late: Ptr(r.Requests.Late),
				Refused: Ptr(r.Requests.Refused), Unknown: Ptr(r.Requests.Failed),
				Note: fmt.Sprintf("at most %d opening packets in a second at a cold target, %d offers, simulated time", r.Report.ColdDeliveries, r.Report.Offers),
			}
			if r.ToFullShare >= 0 {
				line.FullShareMs = Ptr(int64(r.ToFullShare))
			}
			emit(line)
		}
	}
	return nil
}
