package launcher

import (
	"net/netip"
	"time"
)

// Service times of the slowest and the fastest target; the slowest takes four times as long.
const (
	maxServiceTime = 20 * time.Millisecond
	minServiceTime = 5 * time.Millisecond
)

// MeghnaSky returns the full-size plan of the Meghna Sky Data Works deployment.
func MeghnaSky(dir, binary, bench string) Plan {
	return Plan{
		Dir: dir, Binary: binary, Bench: bench,
		Controls: 3, Entries: 3, Seed: 1,
		FailureDomains: []string{"salt-lake", "rajarhat", "howrah"},
		Customer:       "air-bengal",
		Services: []ServicePlan{{
			Name: "advisory-desk", Address: netip.MustParseAddr("127.8.1.1"), Slots: 2, ServiceTimes: serviceTimes(7),
			Rules: "Kind advisory-desk fetch Path /advisories/ Class Urgent Priority 1 Deadline 2s Objective 99.9 # requested by demo\n",
		}, {
			Name: "chart-store", Address: netip.MustParseAddr("127.8.2.1"), Slots: 2, ServiceTimes: serviceTimes(3),
			Rules: "Kind chart-store chart Path /charts/ Class Bulky Priority 5 Deadline 60s Objective 99 # requested by demo\n",
		}},
	}
}

// KautionshueterSued returns the full-size plan of the Kautionshüter Süd deployment.
func KautionshueterSued(dir, binary, bench string) Plan {
	return Plan{
		Dir: dir, Binary: binary, Bench: bench,
		Controls: 3, Entries: 3, Seed: 1,
		FailureDomains: []string{"muc-a", "muc-b", "nue-a"},
		Customer:       "tenant-portal",
		Services: []ServicePlan{{
			Name: "deposit-core", Address: netip.MustParseAddr("127.8.3.1"), Slots: 3, ServiceTimes: serviceTimes(7),
			Rules: "Kind deposit-core check Path /deposits/ Class Urgent Priority 1 Deadline 1s Objective 99.9 # requested by demo\n",
		}, {
			Name: "cert-archive", Address: netip.MustParseAddr("127.8.4.1"), Slots: 3, ServiceTimes: serviceTimes(3),
			Rules: "Kind cert-archive bundle Path /bundles/ Class Patient Priority 9 Deadline 60s Objective 99 # requested by demo\n",
		}},
	}
}

// serviceTimes returns the service times of n targets, evenly spaced from the fastest to the slowest.
func serviceTimes(n int) []time.Duration {
	times := make([]time.Duration, n)
	for i := range times {
		times[i] = minServiceTime + (maxServiceTime-minServiceTime)*time.Duration(i)/time.Duration(n-1)
	}
	return times
}
