package commands

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/messenger"
)

// TestPrintUnreached guards against a status that hides a cut between failure domains, or counts dead members.
func TestPrintUnreached(t *testing.T) {
	member := func(domain string, state cherviltide.MemberState, unreached ...string) messenger.MemberStatus {
		return messenger.MemberStatus{Member: cherviltide.Member{FailureDomain: domain}, State: state, Unreached: unreached}
	}
	var out strings.Builder
	printUnreached(&out, []messenger.MemberStatus{
		member("b", cherviltide.StateActive, "a"), member("a", cherviltide.StateActive, "b", "c"), member("a", cherviltide.StateSuspect, "b"),
		member("a", cherviltide.StateActive), member("c", cherviltide.StateActive), member("c", cherviltide.StateDead, "a"),
	})
	require.Equal(t, "a does not reach b (2 of 3 members)\na does not reach c (1 of 3 members)\nb does not reach a (1 of 1 members)\n", out.String())
}
