package replayer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide/bench/replayer"
)

// TestCuts guards against new flows that fail although a target can be reached, open flows that are lost during a cut or after it
// although a path remains, and packets that reach a target that does not hold their flow, also when control has lost the agents of
// a domain during the cut. Earlier behaviours are played too.
func TestCuts(t *testing.T) {
	// before is the highest share of new flows that open without the decision, for the callers of the domain that fares worst.
	before := map[string]float64{
		"nothing gets out of a": 0.45, "nothing gets into a": 0.75, "a and b cut, c reaches both": 0.75, "two cuts": 0.45, "a dead or frozen": 0.75,
		// Over 20 seeds, 96.6% of the flows of a's callers opened with the decision and 96.7% without; one run has 300 flows.
		"30% loss from and to a":                1,
		"nothing gets out of a, leases run out": 0.6, "nothing gets out of a, leases run out, agent killed": 0.6,
		"nothing gets out of a, leases run out, a evacuated": 0.6, "two cuts, leases run out": 0.6,
	}
	for _, c := range replayer.Cuts() {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			baseline, seed := replayer.CutWithoutReach, uint64(1)
			if len(c.Expired) > 0 {
				// With this seed, a flow is opened while the substitute of its owner changes.
				baseline, seed = replayer.CutWithoutRetention, 4
			}
			with, without := replayer.RunCut(c, replayer.CutPresent, seed), replayer.RunCut(c, baseline, seed)
			worst, least := 1.0, 1.0
			if before[c.Name] == 1 {
				least = 0.93
			}
			for domain, r := range with {
				earlier := without[domain]
				t.Logf("callers of %s: with %+v, without %+v", domain, *r, *earlier)
				require.Zero(t, r.Misdelivered)
				require.Zero(t, r.Broken)
				require.Zero(t, r.Evacuated)
				if domain == c.Dead {
					continue
				}
				enough := least
				if domain == c.Evacuated {
					// These callers reach only the evacuated domain, which opens no flow in the last quarter of the cut.
					enough = 0.75
				}
				require.GreaterOrEqual(t, share(r.Opened, r.Flows), enough, domain)
				require.GreaterOrEqual(t, share(r.Arrived, r.Sent), share(earlier.Arrived, earlier.Sent)-0.02, domain)
				require.GreaterOrEqual(t, share(r.LateArrived, r.Late), 0.999, domain)
				worst = min(worst, share(earlier.Opened, earlier.Flows))
			}
			require.LessOrEqual(t, worst, before[c.Name], "the fault does no harm without the decision")
		})
	}
}

func share(part, all int) float64 { return float64(part) / float64(all) }
