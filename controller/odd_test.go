package controller

import (
	"context"
	"math"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/messenger"
)

// TestOddAnnouncements guards against an announcement with odd values that ends control when it is applied, and again at each
// start since it is in the log, or that keeps other members out of the table.
func TestOddAnnouncements(t *testing.T) {
	good := cherviltide.Member{
		Name: "good", Role: cherviltide.RoleAgent, Service: "desk", Incarnation: 1, Weight: cherviltide.NominalWeight,
		Address: netip.MustParseAddrPort("10.0.0.1:8080"),
	}
	for name, change := range map[string]func(*messenger.AnnounceRequest){
		"nothing odd":         func(*messenger.AnnounceRequest) {},
		"largest weight":      func(r *messenger.AnnounceRequest) { r.Member.Weight = math.MaxUint32 },
		"no weight":           func(r *messenger.AnnounceRequest) { r.Member.Weight = 0 },
		"largest rate":        func(r *messenger.AnnounceRequest) { r.Rate = math.MaxUint32 },
		"largest incarnation": func(r *messenger.AnnounceRequest) { r.Member.Incarnation = math.MaxUint64 },
		"largest generation":  func(r *messenger.AnnounceRequest) { r.Generation, r.OldestGeneration = math.MaxUint64, math.MaxUint64 },
		"no address":          func(r *messenger.AnnounceRequest) { r.Member.Address = netip.AddrPort{} },
		"IPv6 address":        func(r *messenger.AnnounceRequest) { r.Member.Address = netip.MustParseAddrPort("[::1]:1") },
		"long names": func(r *messenger.AnnounceRequest) {
			r.Member.FailureDomain, r.Member.Region = strings.Repeat("z", 100_000), strings.Repeat("r", 100_000)
		},
		"unknown role":    func(r *messenger.AnnounceRequest) { r.Member.Role = "other" },
		"unknown service": func(r *messenger.AnnounceRequest) { r.Member.Service = "other" },
		"no service":      func(r *messenger.AnnounceRequest) { r.Member.Service = "" },
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			for run := range 2 {
				withController(t, dir, nil, func(ctx context.Context, c *Controller, base uint64) {
					if run == 0 {
						applyEdit(ctx, t, c, "a", deskRule, base)
					}
					odd := &messenger.AnnounceRequest{Member: good}
					odd.Member.Name, odd.Member.Address = "odd", netip.MustParseAddrPort("10.0.0.2:8080")
					change(odd)
					require.Eventually(t, func() bool {
						if _, err := c.announce(ctx, odd); err != nil {
							return false // The group has no leader yet.
						}
						if _, err := c.announce(ctx, &messenger.AnnounceRequest{Member: good}); err != nil {
							return false
						}
						var active []cherviltide.Member
						err := c.runInLoop(ctx, func() {
							if table := c.tracker.Tables()["desk"]; table != nil {
								active = table.AppendActive(nil)
							}
						})
						return err == nil && slices.ContainsFunc(active, func(m cherviltide.Member) bool { return m.Name == good.Name })
					}, 10*time.Second, 10*time.Millisecond)
				})
			}
		})
	}
}
