package parser

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cherviltide.example/cherviltide"
)

const validService = "Service desk Address 203.0.113.7:443 # asked by Rita\n"

// TestParseProblems guards against invalid rules that are accepted, reported at the wrong position, or reported one at a
// time.
func TestParseProblems(t *testing.T) {
	cases := map[string]struct {
		text string
		want []string
	}{
		"misspelt keyword":     {"Servise desk # Rita", []string{`1:1: found "Servise", expected Service, Kind or Customer; did you mean Service?`}},
		"misspelt setting":     {"  Service desk Adress 1.1.1.1:1 # Rita", []string{`1:16: found "Adress", expected Address, Buckets, Connections, WarmUp or WarmUpRate; did you mean Address?`}},
		"misspelt value":       {validService + "Kind desk fetch Class Urgnt # Rita", []string{`2:23: found "Urgnt", expected Urgent, Normal, Bulky or Patient; did you mean Urgent?`}},
		"no requester":         {"Service desk Address 1.1.1.1:1", []string{"1:31: found no comment"}},
		"empty requester":      {"Service desk Address 1.1.1.1:1 # --", []string{"found no comment"}},
		"all at once":          {"Servise a # R\nKind x # R\nCustomer c Services y # R", []string{"1:1: ", "2:7: found the end of the rule, expected Kind SERVICE NAME", `3:21: found "y", expected a service`}},
		"setting as name":      {"Service Address 1.1.1.1:1 # R", []string{"1:9: found the setting Address, expected NAME"}},
		"setting as value":     {validService + "Kind desk k Deadline Priority 3 # R", []string{"2:22: found the setting Priority, expected a value for Deadline"}},
		"value missing":        {validService + "Kind desk k Deadline # R", []string{"2:21: found the end of the rule, expected a value for Deadline"}},
		"setting twice":        {validService + "Kind desk k Priority 1 Priority 2 # R", []string{"2:24: found a second Priority"}},
		"bad name":             {"Service d/k Address 1.1.1.1:1 # R", []string{`1:9: found "d/k", expected a NAME`}},
		"bad UTF-8":            {"Service \xff # R", []string{"1:1: the line is not valid UTF-8"}},
		"columns in runes":     {"Service dépôt Address 1.1.1.1:1,x # R", []string{`1:33: found "x", expected an address with a port`}},
		"port 0":               {"Service desk Address 1.1.1.1:0 # R", []string{"1:22: "}},
		"buckets too many":     {"Service desk Address 1.1.1.1:1 Buckets 65536 # R", []string{`1:40: found "65536", expected a whole number from 1 to 65535`}},
		"buckets 0":            {"Service desk Address 1.1.1.1:1 Buckets 0 # R", []string{"1:40: "}},
		"warm-up without unit": {validService + "Service s Address 1.1.1.1:1 WarmUp 9 # R", []string{`2:36: found "9", expected a time from 1ms`}},
		"warm-up rate below 0": {validService + "Service s Address 1.1.1.1:1 WarmUp 9s WarmUpRate -1 # R", []string{`2:50: found "-1", expected a number of requests per second`}},
		"warm-up rate NaN":     {validService + "Service s Address 1.1.1.1:1 WarmUp 9s WarmUpRate NaN # R", []string{"2:50: "}},
		"rate without warm-up": {validService + "Service s Address 1.1.1.1:1 WarmUpRate 9 # R", []string{"2:40: service s has a WarmUpRate that never takes effect"}},
		"deadline unit":        {validService + "Kind desk k Deadline 2000 # R", []string{`2:22: found "2000", expected a time from 1ms to 24h with a unit`}},
		"deadline 0":           {validService + "Kind desk k Deadline 0s # R", []string{"2:22: "}},
		"deadline too long":    {validService + "Kind desk k Deadline 25h # R", []string{"2:22: "}},
		"objective 100":        {validService + "Kind desk k Objective 100 # R", []string{"2:23: "}},
		"objective NaN":        {validService + "Kind desk k Objective NaN # R", []string{"2:23: "}},
		"path relative":        {validService + "Kind desk k Path charts # R", []string{"2:18: "}},
		"path with query":      {validService + "Kind desk k Path /c?x=1 # R", []string{"2:18: "}},
		"at most once on GET":  {validService + "Kind desk k Method GET AtMostOnce true # R", []string{"2:35: method GET is safe to repeat"}},
		"duplicate service":    {validService + "Service desk Address 1.1.1.1:1 # R", []string{"2:9: service desk is defined on line 1 already"}},
		"duplicate address":    {validService + "Service other Address 203.0.113.7:443 # R", []string{"2:23: address 203.0.113.7:443 belongs to service desk already"}},
		"address twice":        {"Service desk Address 1.1.1.1:1,1.1.1.1:1 # R", []string{"belongs to service desk already"}},
		"duplicate kind":       {validService + "Kind desk k Path /a # R\nKind desk k Path /b # R", []string{"3:11: kind k of service desk is defined on line 2 already"}},
		"kind shadowed":        {validService + "Kind desk a Path /x # R\nKind desk b Method GET Path /x # R", []string{"3:29: the kind can never match: line 2 takes"}},
		"unknown service":      {validService + "Kind desc k # R", []string{`2:6: found "desc", expected a service of this file; did you mean desk?`}},
		"duplicate customer":   {validService + "Customer c Services desk # R\nCustomer c Services desk # R", []string{"3:10: customer c is defined on line 2"}},
		"certificate twice":    {validService + "Customer c Services desk # R\nCustomer d Certificate c Services desk # R", []string{"3:24: certificate c belongs to customer c"}},
		"customer for nothing": {validService + "Customer c # R", []string{"2:11: customer c has no Services"}},
		"service listed twice": {validService + "Customer c Services desk,desk # R", []string{"2:26: found desk a second time"}},
		"empty list item":      {validService + "Customer c Services desk, # R", []string{`2:26: found "", expected a name`}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(c.text)
			var e *Error
			require.ErrorAs(t, err, &e)
			require.Len(t, e.Problems, len(c.want), e.Problems.Error())
			for i, want := range c.want {
				require.Contains(t, e.Problems[i].String(), want)
			}
		})
	}
}

// TestParseOrder guards against a file whose kinds must follow their service, and against a lost requester.
func TestParseOrder(t *testing.T) {
	rules, err := Parse("# head\r\n\r\nKind desk post Method POST Path /x AtMostOnce true # asked by A # B\r\nKind desk any Path /x # C\r\n" + validService)
	require.NoError(t, err)
	require.Equal(t, cherviltide.Source{Line: 3, Requester: "asked by A # B"}, rules.Kinds[0].Source)
	require.Equal(t, 5, rules.Services[0].Source.Line)
	require.Equal(t, DefaultBuckets, rules.Services[0].Buckets)
	require.Equal(t, DefaultDeadline, rules.Kinds[1].Deadline)
}

// TestWarmUp guards against warm-up settings that are lost, and against a rate of 0 that counts as not configured.
func TestWarmUp(t *testing.T) {
	rules, err := Parse("Service a Address 1.1.1.1:1 WarmUp 1500ms WarmUpRate 0 # R\nService b Address 1.1.1.1:2 WarmUp 2m # R\n" + validService)
	require.NoError(t, err)
	require.Equal(t, cherviltide.WarmUp{Duration: 1_500, HasRate: true}, rules.Services[0].WarmUp)
	require.Equal(t, cherviltide.WarmUp{Duration: 120_000}, rules.Services[1].WarmUp)
	require.Zero(t, rules.Services[2].WarmUp)
	text, err := Format("Service a  WarmUpRate 2.50 WarmUp 90s Address 1.1.1.1:1 # R")
	require.NoError(t, err)
	require.Equal(t, "Service a Address 1.1.1.1:1 WarmUp 90s WarmUpRate 2.5 # R\n", text)
}

// TestServiceIDCollision guards against two services that share an ID on the wire. It searches for two names that collide.
func TestServiceIDCollision(t *testing.T) {
	seen := map[cherviltide.ServiceID]string{}
	for i := range 400_000 {
		name := fmt.Sprintf("s%d", i)
		other, ok := seen[cherviltide.ServiceIDOf(name)]
		seen[cherviltide.ServiceIDOf(name)] = name
		if !ok {
			continue
		}
		_, err := Parse("Service " + other + " Address 1.1.1.1:1 # R\nService " + name + " Address 1.1.1.1:2 # R")
		require.ErrorContains(t, err, "2:9: service "+name+" has the same ID on the wire as service "+other)
		return
	}
	t.Fatal("no collision among the names")
}

// drawFile generates a valid file with random whitespace, order of settings, comments and blank lines.
func drawFile(t *rapid.T) string {
	var lines []string
	rule := func(head string, settings ...string) {
		order := rapid.Permutation(settings).Draw(t, "order")
		keep := slices.DeleteFunc(order, func(s string) bool {
			optional := !strings.HasPrefix(s, "Address") && !strings.HasPrefix(s, "Services") && !strings.HasPrefix(s, "Path")
			return optional && rapid.Bool().Draw(t, "omit")
		})
		words := strings.Fields(head + " " + strings.Join(keep, " "))
		gap := rapid.SampledFrom([]string{" ", "  ", "\t"})
		line := gap.Draw(t, "indent") + strings.Join(words, gap.Draw(t, "gap")) + rapid.SampledFrom([]string{"#", " #  ", "\t# "}).Draw(t, "mark")
		lines = append(lines, line+rapid.SampledFrom([]string{"asked by Rita", "Süd # 2 "}).Draw(t, "who"))
		lines = append(lines, rapid.SampledFrom([][]string{nil, {""}, {"  #  note"}, {"#", " "}}).Draw(t, "between")...)
	}
	n := rapid.IntRange(0, 4).Draw(t, "services")
	for i := range n {
		service := fmt.Sprintf("s-%d", i)
		rule("Service "+service, fmt.Sprintf("Address 192.0.2.%d:443,[2001:db8::%d]:443", i, i), "Buckets 64", "Connections 7", "WarmUp 90s")
		for k := range rapid.IntRange(0, 3).Draw(t, "kinds") {
			deadline := rapid.Int64Range(1, int64(MaxDeadline)).Draw(t, "deadline")
			objective := rapid.Float64Range(0.001, 99.999).Draw(t, "objective")
			rule(fmt.Sprintf("Kind %s k%d", service, k), fmt.Sprintf("Path /%d/", k), "Method POST", "Class Bulky", "AtMostOnce true",
				"Priority 003", fmt.Sprintf("Deadline %dms", deadline), fmt.Sprintf("Objective %g", objective))
		}
		rule(fmt.Sprintf("Customer c%d", i), fmt.Sprintf("Services s-%d,s-0", max(i, 1)%n), fmt.Sprintf("Certificate cn%d", i))
	}
	return strings.ReplaceAll(strings.Join(lines, "\n"), "s-0,s-0", "s-0")
}

// TestFormatRoundTrip guards against formatting that changes the meaning of a file, loses comments or is not idempotent.
func TestFormatRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := drawFile(t)
		want, err := Parse(text)
		require.NoError(t, err)
		formatted, err := Format(text)
		require.NoError(t, err)
		got, err := Parse(formatted)
		require.NoError(t, err)
		require.Equal(t, want, got)
		again, err := Format(formatted)
		require.NoError(t, err)
		require.Equal(t, formatted, again)
		require.Equal(t, strings.Count(text, "note"), strings.Count(formatted, "note"))
	})
}

// TestDiff guards against a diff that does not turn the old file into the new one.
func TestDiff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		line := rapid.SampledFrom(strings.Split("abcdefghijkl", ""))
		before, after := rapid.SliceOf(line).Draw(t, "before"), rapid.SliceOf(line).Draw(t, "after")
		var reconstructedOld, reconstructedNew []string
		d := Diff(strings.Join(before, "\n"), strings.Join(after, "\n"))
		for _, c := range d {
			if c.Type != ChangeAdded {
				require.Equal(t, len(reconstructedOld)+1, c.OldLine)
				reconstructedOld = append(reconstructedOld, c.Text)
			}
			if c.Type != ChangeRemoved {
				require.Equal(t, len(reconstructedNew)+1, c.NewLine)
				reconstructedNew = append(reconstructedNew, c.Text)
			}
		}
		require.True(t, slices.Equal(before, reconstructedOld) && slices.Equal(after, reconstructedNew))
		require.Equal(t, slices.Equal(before, after), d.Unchanged())
	})
}

// TestDiffText guards against a diff that prints unchanged lines, and against one that fails on 4,000 shuffled lines.
func TestDiffText(t *testing.T) {
	require.Equal(t, "-2: b\n+3: x\n", Diff("a\nb\nc\nd\n", "a\nc\nx\nd\n").Text())
	lines := make([]string, 4000)
	for i := range lines {
		lines[i] = fmt.Sprint("line ", i)
	}
	shuffled := slices.Clone(lines)
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	added, removed := Diff(strings.Join(lines, "\n"), strings.Join(shuffled, "\n")).CountChanges()
	require.Equal(t, added, removed)
}

// FuzzParse guards against input that crashes the parser, and against formatted files whose rules differ from those of the
// source.
func FuzzParse(f *testing.F) {
	f.Add(validService + "Kind desk k Deadline 90s Objective 99.50 # R\n\n# end\nCustomer c Services desk # R")
	f.Add("Service a Address [::1]:1 # R\r\n\x00Kind a")
	f.Fuzz(func(t *testing.T, text string) {
		want, err := Parse(text)
		formatted, formatErr := Format(text)
		if err == nil {
			require.NoError(t, formatErr)
			got, err := Parse(formatted)
			require.NoError(t, err)
			require.Equal(t, want, got)
		}
		if formatErr == nil {
			again, err := Format(formatted)
			require.NoError(t, err)
			require.Equal(t, formatted, again)
		}
	})
}

// init fixes the seed of the property tests; the command line can set another one.
func init() {
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}
}

// TestManyUnknownServices guards against a file whose check takes many minutes because each unknown name is compared with each
// service.
func TestManyUnknownServices(t *testing.T) {
	var b strings.Builder
	for i := range 2000 {
		fmt.Fprintf(&b, "Service desk-%04d Address 10.0.%d.%d:443 # R\n", i, i/250, i%250+1)
	}
	b.WriteString("Customer c Services " + strings.TrimSuffix(strings.Repeat("desk-00x0,", maxServiceSuggestions+1), ",") + " # R")
	_, err := Parse(b.String())
	var e *Error
	require.ErrorAs(t, err, &e)
	suggestions := 0
	for _, p := range e.Problems {
		if p.Suggestion != "" {
			suggestions++
		}
	}
	require.Equal(t, maxServiceSuggestions, suggestions)
}
