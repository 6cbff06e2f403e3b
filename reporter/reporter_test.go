package reporter

import (
	"bytes"
	"encoding/xml"
	"errors"
	"flag"
	"io"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cherviltide.example/cherviltide"
)

const start cherviltide.Millis = 1_800_000_000_000

func announcement(incarnation, timely, late uint64) Announcement {
	return Announcement{Member: "a", Incarnation: incarnation, Started: start, Counters: []cherviltide.KindCounts{
		{Service: "desk", Kind: "fetch", Counts: cherviltide.Counts{Timely: timely, Late: late}},
	}}
}

func rules(objective float64) cherviltide.Rules {
	return cherviltide.Rules{Revision: 3, Kinds: []cherviltide.Kind{{Service: "desk", Name: "fetch", Objective: objective}}}
}

// TestMergeOrder guards against reports that are counted twice if they are resent, reordered or from an older incarnation.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent []Announcement
		var want cherviltide.Counts
		for incarnation := range uint64(rapid.IntRange(1, maxIncarnations).Draw(t, "incarnations")) {
			var c cherviltide.Counts
			for range rapid.IntRange(1, 5).Draw(t, "reports") {
				c.Timely += rapid.Uint64Range(0, 9).Draw(t, "timely")
				c.Late += rapid.Uint64Range(0, 9).Draw(t, "late")
				sent = append(sent, announcement(incarnation, c.Timely, c.Late))
			}
			want = want.Plus(c)
		}
		m := NewMerger(start)
		for _, a := range append(rapid.Permutation(sent).Draw(t, "order"), rapid.SliceOf(rapid.SampledFrom(sent)).Draw(t, "resent")...) {
			m.Merge(start, a)
		}
		k := m.Build(start, rules(99)).Kinds[0]
		require.Equal(t, want, k.Total)
		require.Equal(t, want, k.Windows[0].Counts)
	})
}

// TestMergeLimits guards against unbounded memory, and against an incarnation that is counted again after its counts were
// discarded.
func TestMergeLimits(t *testing.T) {
	m := NewMerger(start)
	for i := range uint64(20) {
		m.Merge(start, announcement(i, 1, 0))
	}
	m.Merge(start, announcement(0, 1, 0))
	require.EqualValues(t, 20, m.Build(start, rules(99)).Kinds[0].Total.Timely)
	require.Len(t, m.incarnations["a"], maxIncarnations)
	flood := Announcement{Member: "b", Incarnation: 1, Started: start}
	for i := range 2 * maxKinds {
		flood.Counters = append(flood.Counters, cherviltide.KindCounts{Service: "desk", Kind: strings.Repeat("x", i), Counts: cherviltide.Counts{Timely: 1}})
	}
	m.Merge(start, flood)
	require.Len(t, m.incarnations["b"][0].counts, maxKinds)
}

// TestRestartOfControl guards against a restarted control instance that counts all earlier requests of a member in its
// windows.
func TestRestartOfControl(t *testing.T) {
	m := NewMerger(start + 1000)
	m.Merge(start+2000, announcement(1, 500, 500))
	m.Merge(start+3000, announcement(1, 510, 500))
	k := m.Build(start+3000, rules(99)).Kinds[0]
	require.EqualValues(t, 1010, k.Total.Total())
	require.Equal(t, cherviltide.Counts{Timely: 10}, k.Windows[3].Counts)
}

// TestWindows guards against requests that are counted in a window for too long or too short a time, and against wrong burn
// rates.
func TestWindows(t *testing.T) {
	minute := cherviltide.Millis(60_000)
	cases := map[string]struct {
		after  cherviltide.Millis
		counts [4]uint64
		burn   [4]float64
	}{
		"at once":         {0, [4]uint64{100, 100, 100, 100}, [4]float64{10, 10, 10, 10}},
		"5 minutes":       {5*minute - 15_000, [4]uint64{100, 100, 100, 100}, [4]float64{10, 10, 10, 10}},
		"past 5 minutes":  {5*minute + 15_000, [4]uint64{0, 100, 100, 100}, [4]float64{0, 10, 10, 10}},
		"past 1 hour":     {63 * minute, [4]uint64{0, 0, 100, 100}, [4]float64{0, 0, 10, 10}},
		"past 6 hours":    {6*60*minute + 18*minute, [4]uint64{0, 0, 0, 100}, [4]float64{0, 0, 0, 10}},
		"past 3 days":     {75*60*minute + 36*minute, [4]uint64{}, [4]float64{}},
		"clock went back": {-minute, [4]uint64{0, 0, 0, 100}, [4]float64{0, 0, 0, 10}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := NewMerger(start)
			m.Merge(start, announcement(1, 90, 10))
			k := m.Build(start+c.after, rules(99)).Kinds[0]
			for i, w := range k.Windows {
				if name == "clock went back" && i < 3 {
					continue
				}
				require.Equal(t, c.counts[i], w.Counts.Total(), w.Name)
				require.InDelta(t, c.burn[i], w.BurnRate, 1e-9, w.Name)
			}
			require.InDelta(t, 100*(1-c.burn[3]), k.BudgetLeft, 1e-9)
		})
	}
}

// TestOutcomes guards against an outcome other than Timely that counts as timely.
func TestOutcomes(t *testing.T) {
	for _, o := range []cherviltide.Outcome{cherviltide.OutcomeLate, cherviltide.OutcomePartial, cherviltide.OutcomeRefused, cherviltide.OutcomeUnknown, "other"} {
		c := NewCounter()
		c.Record("desk", "fetch", cherviltide.OutcomeTimely, 1)
		c.Record("desk", "fetch", o, 1)
		m := NewMerger(start)
		m.Merge(start, Announcement{Member: "a", Started: start, Counters: c.Snapshot()})
		require.InDelta(t, 50, m.Build(start, rules(90)).Kinds[0].Windows[0].TimelyPercent, 1e-9, o)
	}
}

// TestWrite guards against an HTML page that loads other files, is not well-formed or contains unescaped text from the
// rules.
func TestWrite(t *testing.T) {
	m := NewMerger(start)
	m.Merge(start, announcement(1, 9, 1))
	m.Merge(start, Announcement{Member: "b", Started: start, Counters: []cherviltide.KindCounts{
		{Service: "desk", Kind: "<script>", Counts: cherviltide.Counts{Timely: 1}},
	}})
	report := m.Build(start, rules(99))
	var text, html bytes.Buffer
	require.NoError(t, report.WriteText(&text))
	require.Regexp(t, `desk +fetch +99 +9 +1 +0 +0 +0 +90.000 +-900.0 +10.00 `, text.String())
	require.Regexp(t, `desk +<script> +- +1 .* - +- +-`, text.String())
	require.NoError(t, report.WriteHTML(&html))
	require.NotContains(t, html.String(), "<script>")
	require.NotContains(t, html.String(), "http")
	require.Equal(t, 2, strings.Count(html.String(), "<svg"))
	d := xml.NewDecoder(strings.NewReader(html.String()[strings.Index(html.String(), "<svg") : strings.LastIndex(html.String(), "</svg>")+6]))
	var err error
	for err == nil {
		_, err = d.Token()
	}
	require.True(t, errors.Is(err, io.EOF), err)
	require.True(t, slices.IsSortedFunc(report.Kinds, func(a, b KindReport) int { return strings.Compare(a.Kind, b.Kind) }))
	require.NoError(t, NewMerger(start).Build(start, cherviltide.Rules{}).WriteHTML(io.Discard))
}

// init fixes the seed of the property tests; the command line can set another one.
func init() {
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}
}
