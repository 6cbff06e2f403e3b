package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/messenger"
)

// announcingMembers is the number of members that announce themselves in the benchmark.
const announcingMembers = 200

// BenchmarkAnnounce measures announcements over one cleartext connection with the caller and the control instance in one
// process. The metric cpu-ns/op is the processor time of both sides.
func BenchmarkAnnounce(b *testing.B) {
	base := startServer(b, nil)
	client := messenger.NewClient(nil)
	defer client.CloseIdleConnections()
	requests := make([]*messenger.AnnounceRequest, announcingMembers)
	for i := range requests {
		requests[i] = &messenger.AnnounceRequest{Member: cherviltide.Member{
			Name: fmt.Sprintf("entry-%d", i), Role: cherviltide.RoleEntry, Incarnation: 1,
		}}
	}
	require.Eventually(b, func() bool {
		for _, req := range requests {
			if res, err := messenger.Announce.Call(b.Context(), client, base, req); err != nil || res.Lease == 0 {
				return false
			}
		}
		return true
	}, 30*time.Second, 20*time.Millisecond)
	before := processorTime(b)
	b.ResetTimer()
	for i := range b.N {
		_, err := messenger.Announce.Call(b.Context(), client, base, requests[i%announcingMembers])
		require.NoError(b, err)
	}
	b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
}

func processorTime(b *testing.B) time.Duration {
	var usage unix.Rusage
	require.NoError(b, unix.Getrusage(unix.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
