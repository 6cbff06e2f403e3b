package follower_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/follower"
	"cherviltide.example/cherviltide/messenger"
)

func order(e cherviltide.EventType, domain string) cherviltide.MemberEvent {
	return cherviltide.MemberEvent{Type: e, Member: cherviltide.Member{FailureDomain: domain}, Operator: "test", Time: 1}
}

// TestEvacuationReachesFollowers guards against processes that do not learn that a failure domain is evacuated or restored: one
// that follows a single service, one that gets snapshots, and one with a service whose table control has not defined yet.
func TestEvacuationReachesFollowers(t *testing.T) {
	manyOrders := func(x *testControl) {
		for range 30 {
			x.commit(order(cherviltide.EventEvacuated, "z1"), order(cherviltide.EventRestored, "z1"))
		}
		x.commit(order(cherviltide.EventEvacuated, "z1"))
	}
	evacuate := func(x *testControl) { x.commit(order(cherviltide.EventEvacuated, "z1")) }
	withdraw := func(x *testControl) { x.commit(order(cherviltide.EventRestored, "z1")) }
	for name, test := range map[string]struct {
		service string
		// before is done before the process starts, missed while it is without control, and then while it is connected.
		before, missed, then func(*testControl)
		want                 []string
		// lines are the log events about the process's own domain, z1.
		lines []string
	}{
		"all services":     {then: evacuate, want: []string{"z1"}, lines: []string{"OwnDomainEvacuated"}},
		"one service":      {service: "desk", then: evacuate, want: []string{"z1"}, lines: []string{"OwnDomainEvacuated"}},
		"no service":       {service: "-", then: evacuate, want: []string{"z1"}, lines: []string{"OwnDomainEvacuated"}},
		"before the start": {before: evacuate, want: []string{"z1"}, lines: []string{"OwnDomainEvacuated"}},
		"missed":           {missed: evacuate, want: []string{"z1"}, lines: []string{"OwnDomainEvacuated"}},
		"many missed":      {service: "desk", missed: manyOrders, want: []string{"z1"}, lines: []string{"OwnDomainEvacuated"}},
		"another domain":   {then: func(x *testControl) { x.commit(order(cherviltide.EventEvacuated, "z2")) }, want: []string{"z2"}},
		"withdrawn":        {before: evacuate, then: withdraw, lines: []string{"OwnDomainEvacuated", "OwnDomainRestored"}},
	} {
		t.Run(name, func(t *testing.T) {
			x := newTestControl(t, 1_000)
			// Control has no table of this service, so that the process creates an empty one.
			x.text = "Service desk Address 127.9.0.1:443 Buckets 64 # requested by test\n" +
				"Service chart Address 127.9.0.2:443 Buckets 64 # requested by test\n"
			x.apply(1)
			x.commit(joined(1, 1))
			core, logs := observer.New(zapcore.InfoLevel)
			f := follower.New(follower.Config{
				Member:  cherviltide.Member{Name: "entry-1", Role: cherviltide.RoleEntry, FailureDomain: "z1"},
				Service: test.service, Control: []string{"http://" + x.address},
				NewClient:        func() *http.Client { return messenger.NewClient(nil) },
				FillAnnouncement: func(*messenger.AnnounceRequest) {}, Log: zap.New(core),
			})
			run := func(f func(*testControl)) {
				if f != nil {
					f(x)
				}
			}
			current := func() bool {
				x.mu.Lock()
				defer x.mu.Unlock()
				return f.View().Position == x.tracker.Position() && f.View().Rules.Revision == x.revision
			}
			run(test.before)
			stop := start(t, f)
			eventually(t, "first state", current)
			if test.missed != nil {
				stop()
				test.missed(x)
				start(t, f)
			}
			run(test.then)
			eventually(t, "last state", current)
			view := f.View()
			require.Equal(t, test.want, view.Evacuated())
			require.Len(t, view.Tables, 2)
			for name, table := range view.Tables {
				require.Equal(t, test.want, table.Evacuated(), name)
			}
			if test.service != "-" {
				require.Equal(t, x.tracker.Tables()["desk"].Digest(), view.Tables["desk"].Digest())
			}
			var lines []string
			for _, e := range logs.All() {
				if e.Message == "OwnDomainEvacuated" || e.Message == "OwnDomainRestored" {
					lines = append(lines, e.Message)
				}
			}
			require.Equal(t, test.lines, lines)
		})
	}
}
