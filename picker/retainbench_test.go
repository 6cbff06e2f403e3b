package picker

import (
	"net/netip"
	"testing"

	"cherviltide.example/cherviltide"
)

// BenchmarkRetain measures the tables of services with few and with many targets after the targets of one domain in three have died.
func BenchmarkRetain(b *testing.B) {
	for name, targets := range map[string]int{"6": 6, "300": 300} {
		b.Run(name, func(b *testing.B) {
			earlier := tableOfDomains(targets, 1_024)
			present := earlier
			for i, x := range earlier.targets {
				if x.member.FailureDomain == "a" {
					present = present.WithEvent(uint64(targets+i+1), cherviltide.MemberEvent{Type: cherviltide.EventDied, Member: x.member})
				}
			}
			for b.Loop() {
				present.Retain(earlier, []string{"b", "c"}, func(netip.AddrPort) bool { return true })
			}
		})
	}
}
