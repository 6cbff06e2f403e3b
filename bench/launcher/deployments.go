package launcher

import (
	"net/netip"
	"time"
)

// Service times of the slowest and the fastest target; targets differ fourfold in speed.
const (
	slowTarget = 20 * time.Millisecond
	fastTarget = 5 * time.Millisecond
)

// MeghnaSky returns the plan of the Meghna Sky Data Works deployment at its full size.
func MeghnaSky(folder, binary, bench string) Plan {
	return Plan{
		Folder: folder, Binary: binary, Bench: bench,
		Controls: 3, Entries: 3, Seed: 1,
		FailureDomains: []string{"salt-lake", "rajarhat", "howrah"},
		Customer:       "air-bengal",
		Services: []ServicePlan{{
			Name: "advisory-desk", Address: netip.MustParseAddr("127.8.1.1"), Slots: 2, Speeds: speeds(7),
			Rules: "Kind advisory-desk fetch Path /advisories/ Class Urgent Priority 1 Deadline 2s Objective 99.9 # requested by demo\n",
		}, {
			Name: "chart-store", Address: netip.MustParseAddr("127.8.2.1"), Slots: 2, Speeds: speeds(3),
			Rules: "Kind chart-store chart Path /charts/ Class Bulky Priority 5 Deadline 60s Objective 99 # requested by demo\n",
		}},
	}
}

// KautionshueterSued returns the plan of the Kautionshüter Süd deployment at its full size.
func KautionshueterSued(folder, binary, bench string) Plan {
	return Plan{
		Folder: folder, Binary: binary, Bench: bench,
		Controls: 3, Entries: 3, Seed: 1,
		FailureDomains: []string{"muc-a", "muc-b", "nue-a"},
		Customer:       "tenant-portal",
		Services: []ServicePlan{{
			Name: "deposit-core", Address: netip.MustParseAddr("127.8.3.1"), Slots: 3, Speeds: speeds(7),
			Rules: "Kind deposit-core check Path /deposits/ Class Urgent Priority 1 Deadline 1s Objective 99.9 # requested by demo\n",
		}, {
			Name: "cert-archive", Address: netip.MustParseAddr("127.8.4.1"), Slots: 3, Speeds: speeds(3),
			Rules: "Kind cert-archive bundle Path /bundles/ Class Patient Priority 9 Deadline 60s Objective 99 # requested by demo\n",
		}},
	}
}

// speeds returns the service times of n targets, evenly spaced from the fastest to the slowest.
func speeds(n int) []time.Duration {
	list := make([]time.Duration, n)
	for i := range list {
		list[i] = fastTarget + (slowTarget-fastTarget)*time.Duration(i)/time.Duration(n-1)
	}
	return list
}
