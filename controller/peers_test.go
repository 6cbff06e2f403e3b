package controller

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide/voter"
)

// TestLargeMessagesDoNotDelayHeartbeats guards against an edit that causes an election: behind an entry of several hundred KB,
// heartbeats arrive too late on a slow machine. Repetitions of such an entry must not pile up either.
func TestLargeMessagesDoNotDelayHeartbeats(t *testing.T) {
	var started []<-chan voter.Message
	g := &group{mailboxes: map[string]*mailboxes{}, startSender: func(mailbox <-chan voter.Message, _ string) {
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

// TestManyPeers guards against a control instance that sends nothing to new instances because too many others came and went before.
func TestManyPeers(t *testing.T) {
	senders := map[string][]<-chan voter.Message{}
	g := &group{mailboxes: map[string]*mailboxes{}, startSender: func(mailbox <-chan voter.Message, to string) {
		senders[to] = append(senders[to], mailbox)
	}}
	send := func(name string) { g.enqueue(voter.Message{To: voter.ID{Name: name}, Type: voter.MessageJoin}) }
	for i := range 3 * maxPeers {
		send(fmt.Sprint("gone", i))
		send("alive")
	}
	require.Len(t, g.mailboxes, maxPeers)
	require.Len(t, senders["alive"], 2, "the mailboxes of a peer in use were closed")
	last := senders[fmt.Sprint("gone", 3*maxPeers-1)]
	require.Len(t, last, 2, "no sender was started for a new peer")
	require.Len(t, last[0], 1)
	<-senders["gone0"][0]
	for _, mailbox := range senders["gone0"] {
		_, open := <-mailbox
		require.False(t, open, "the sender of a peer that is gone does not end")
	}
}
