package controller

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide/voter"
)

// TestLargeMessagesDoNotDelayHeartbeats guards against an edit that causes an election: behind an entry of several hundred KB,
// heartbeats arrive too late on a slow machine. Repetitions of such an entry must not pile up either.
func TestLargeMessagesDoNotDelayHeartbeats(t *testing.T) {
	var started []<-chan voter.Message
	g := &group{mailboxes: map[string]mailboxes{}, startSender: func(mailbox <-chan voter.Message, _ string) {
		started = append(started, mailbox)
	}}
	to := voter.ID{Name: "control-2", Number: 1}
	entry := voter.Message{To: to, Entries: []voter.Entry{{Index: 7, Data: make([]byte, 470_000)}}}
	chunk := voter.Message{To: to, Chunk: &voter.SnapshotChunk{Data: make([]byte, 256<<10)}}
	for range 3 {
		g.enqueue(entry)
		g.enqueue(chunk)
	}
	g.enqueue(voter.Message{To: to, Round: 9})
	require.Len(t, started, 2)
	for _, mailbox := range started {
		require.Len(t, mailbox, 1)
	}
	heartbeat, large := <-started[0], <-started[1]
	require.EqualValues(t, 9, heartbeat.Round)
	require.EqualValues(t, 7, large.Entries[0].Index)
	g.enqueue(entry)
	require.Len(t, started, 2, "a second sender was started for the same mailbox")
	require.Len(t, started[1], 1)
}
