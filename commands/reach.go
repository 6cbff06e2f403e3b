package commands

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/messenger"
)

// printUnreached prints which failure domains do not reach which others: how many of the entries and agents of a domain that
// are not dead have closed another one. It prints nothing when all are reached.
func printUnreached(out io.Writer, members []messenger.MemberStatus) {
	type pair struct{ from, to string }
	total, closed := map[string]int{}, map[pair]int{}
	var pairs []pair
	for _, m := range members {
		if m.State == cherviltide.StateDead {
			continue
		}
		total[m.Member.FailureDomain]++
		for _, to := range m.Unreached {
			p := pair{m.Member.FailureDomain, to}
			if closed[p]++; closed[p] == 1 {
				pairs = append(pairs, p)
			}
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int { return strings.Compare(a.from+" "+a.to, b.from+" "+b.to) })
	for _, p := range pairs {
		_, _ = fmt.Fprintf(out, "%s does not reach %s (%d of %d members)\n", p.from, p.to, closed[p], total[p.from])
	}
}
