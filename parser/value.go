package parser

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/speller"
)

// Limits of the values in a rules file.
const (
	// MaxBuckets is the most that a table can number.
	MaxBuckets = 65_535
	// MaxConnections is the highest number of flows that a rule may allow to one agent.
	MaxConnections = 1_000_000
	// MaxPriority is the number of the least urgent priority.
	MaxPriority = 100
	// MinDeadline and MaxDeadline bound the deadline of a kind.
	MinDeadline cherviltide.Millis = 1
	MaxDeadline cherviltide.Millis = 24 * 60 * 60 * 1000
)

// mistake is a value that a setting does not take.
type mistake struct {
	// offset is the position of what was found, in bytes from the start of the value.
	offset     int
	found      string
	expected   string
	suggestion string
}

// values has the parser of each setting. A parser returns a value that render can print.
var values = map[string]func(string) (any, *mistake){
	"Address":     parseAddresses,
	"Buckets":     whole(MaxBuckets),
	"Connections": whole(MaxConnections),
	"Method":      oneOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"),
	"Path":        parsePath,
	"Class": oneOf(string(cherviltide.ClassUrgent), string(cherviltide.ClassNormal), string(cherviltide.ClassBulky),
		string(cherviltide.ClassPatient)),
	"Priority":    whole(MaxPriority),
	"Deadline":    parseDeadline,
	"AtMostOnce":  parseBool,
	"Objective":   parseObjective,
	"Certificate": func(text string) (any, *mistake) { return text, nil },
	"Services":    parseList,
}

func whole(highest int) func(string) (any, *mistake) {
	return func(text string) (any, *mistake) {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > highest {
			return nil, &mistake{found: text, expected: fmt.Sprintf("a whole number from 1 to %d", highest)}
		}
		return n, nil
	}
}

func oneOf(words ...string) func(string) (any, *mistake) {
	return func(text string) (any, *mistake) {
		for _, w := range words {
			if w == text {
				return text, nil
			}
		}
		return nil, &mistake{found: text, expected: speller.List(words), suggestion: speller.Suggest(text, words)}
	}
}

func parseBool(text string) (any, *mistake) {
	if text != "true" && text != "false" {
		return nil, &mistake{found: text, expected: "true or false", suggestion: speller.Suggest(text, []string{"true", "false"})}
	}
	return text == "true", nil
}

// parsePath accepts decoded path prefixes only: requests are compared by their decoded path, without the query.
func parsePath(text string) (any, *mistake) {
	if !strings.HasPrefix(text, "/") || strings.ContainsAny(text, "?%") {
		return nil, &mistake{found: text, expected: "a path prefix that starts with / and has neither ? nor %"}
	}
	return text, nil
}

func parseDeadline(text string) (any, *mistake) {
	wrong := &mistake{found: text, expected: "a time from 1ms to 24h with a unit, such as 500ms, 2s or 5m"}
	d, err := time.ParseDuration(text)
	if err != nil || d%time.Millisecond != 0 {
		return nil, wrong
	}
	m := cherviltide.MillisOf(d)
	if m < MinDeadline || m > MaxDeadline {
		return nil, wrong
	}
	return m, nil
}

// parseObjective refuses 100, for which no error budget exists.
func parseObjective(text string) (any, *mistake) {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || !(f > 0 && f < 100) {
		return nil, &mistake{found: text, expected: "a share in percent above 0 and below 100, such as 99.9"}
	}
	return f, nil
}

func parseAddresses(text string) (any, *mistake) {
	var list []netip.AddrPort
	offset := 0
	for _, part := range strings.Split(text, ",") {
		a, err := netip.ParseAddrPort(part)
		if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().Is4In6() || a.Addr().Zone() != "" {
			return nil, &mistake{offset: offset, found: part, expected: "an address with a port, such as 203.0.113.7:443"}
		}
		list = append(list, a)
		offset += len(part) + 1
	}
	return list, nil
}

func parseList(text string) (any, *mistake) {
	list := strings.Split(text, ",")
	offset := 0
	for _, part := range list {
		if part == "" {
			return nil, &mistake{offset: offset, expected: "a name between the commas, with no blanks around it"}
		}
		offset += len(part) + 1
	}
	return list, nil
}

// render prints a value in the canonical format.
func render(value any) string {
	switch v := value.(type) {
	case cherviltide.Millis:
		return renderMillis(v)
	case float64:
		return strconv.FormatFloat(v, 'f', -1, 64)
	case []string:
		return strings.Join(v, ",")
	case []netip.AddrPort:
		parts := make([]string, 0, len(v))
		for _, a := range v {
			parts = append(parts, a.String())
		}
		return strings.Join(parts, ",")
	default:
		return fmt.Sprint(v)
	}
}

// renderMillis prints a span in the largest unit that needs no fraction.
func renderMillis(m cherviltide.Millis) string {
	units := []struct {
		name string
		size cherviltide.Millis
	}{{"h", 3_600_000}, {"m", 60_000}, {"s", 1_000}}
	for _, u := range units {
		if m%u.size == 0 {
			return fmt.Sprintf("%d%s", m/u.size, u.name)
		}
	}
	return fmt.Sprintf("%dms", m)
}
