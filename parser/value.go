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
	// MaxBuckets is the number of buckets that a bucket table can address.
	MaxBuckets = 65_535
	// MaxConnections is the highest limit of flows per agent that a rule may set.
	MaxConnections = 1_000_000
	// MaxPriority is the least urgent priority; 1 is the most urgent.
	MaxPriority = 100
	// MinDeadline and MaxDeadline bound the deadline of a kind.
	MinDeadline cherviltide.Millis = 1
	MaxDeadline cherviltide.Millis = 24 * 60 * 60 * 1000
	// MaxWarmUpRate is the highest rate of a cold target that a rule may set, in requests per second.
	MaxWarmUpRate = 1_000_000
)

// valueError describes an invalid value of a setting.
type valueError struct {
	// offset is the position of found in the value, in bytes.
	offset     int
	found      string
	expected   string
	suggestion string
}

// valueParsers maps each setting to its parser. A parser returns a value that formatValue can format.
var valueParsers = map[string]func(string) (any, *valueError){
	"Address":     parseAddresses,
	"Buckets":     integerUpTo(MaxBuckets),
	"Connections": integerUpTo(MaxConnections),
	"WarmUp":      parseDeadline,
	"WarmUpRate":  parseWarmUpRate,
	"Method":      oneOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"),
	"Path":        parsePath,
	"Class": oneOf(string(cherviltide.ClassUrgent), string(cherviltide.ClassNormal), string(cherviltide.ClassBulky),
		string(cherviltide.ClassPatient)),
	"Priority":    integerUpTo(MaxPriority),
	"Deadline":    parseDeadline,
	"AtMostOnce":  parseBool,
	"Objective":   parseObjective,
	"Certificate": func(text string) (any, *valueError) { return text, nil },
	"Services":    parseList,
}

// integerUpTo returns a parser of whole numbers from 1 to highest.
func integerUpTo(highest int) func(string) (any, *valueError) {
	return func(text string) (any, *valueError) {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > highest {
			return nil, &valueError{found: text, expected: fmt.Sprintf("a whole number from 1 to %d", highest)}
		}
		return n, nil
	}
}

// oneOf returns a parser that accepts only the given words.
func oneOf(words ...string) func(string) (any, *valueError) {
	return func(text string) (any, *valueError) {
		for _, w := range words {
			if w == text {
				return text, nil
			}
		}
		return nil, &valueError{found: text, expected: speller.JoinOr(words), suggestion: speller.Suggest(text, words)}
	}
}

func parseBool(text string) (any, *valueError) {
	if text != "true" && text != "false" {
		return nil, &valueError{found: text, expected: "true or false", suggestion: speller.Suggest(text, []string{"true", "false"})}
	}
	return text == "true", nil
}

// parsePath accepts only decoded path prefixes, because requests are matched by their decoded path without the query.
func parsePath(text string) (any, *valueError) {
	if !strings.HasPrefix(text, "/") || strings.ContainsAny(text, "?%") {
		return nil, &valueError{found: text, expected: "a path prefix that starts with / and has neither ? nor %"}
	}
	return text, nil
}

func parseDeadline(text string) (any, *valueError) {
	invalid := &valueError{found: text, expected: "a time from 1ms to 24h with a unit, such as 500ms, 2s or 5m"}
	d, err := time.ParseDuration(text)
	if err != nil || d%time.Millisecond != 0 {
		return nil, invalid
	}
	m := cherviltide.MillisOf(d)
	if m < MinDeadline || m > MaxDeadline {
		return nil, invalid
	}
	return m, nil
}

// parseObjective rejects 100, because such an objective has no error budget.
func parseObjective(text string) (any, *valueError) {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || !(f > 0 && f < 100) {
		return nil, &valueError{found: text, expected: "a share in percent above 0 and below 100, such as 99.9"}
	}
	return f, nil
}

// parseWarmUpRate accepts 0: such a target gets no new flows while it is cold, beyond what the agents' settings add.
func parseWarmUpRate(text string) (any, *valueError) {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || !(f >= 0 && f <= MaxWarmUpRate) {
		return nil, &valueError{found: text, expected: fmt.Sprintf("a number of requests per second from 0 to %d", MaxWarmUpRate)}
	}
	return f, nil
}

func parseAddresses(text string) (any, *valueError) {
	var addresses []netip.AddrPort
	offset := 0
	for _, part := range strings.Split(text, ",") {
		a, err := netip.ParseAddrPort(part)
		if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().Is4In6() || a.Addr().Zone() != "" {
			return nil, &valueError{offset: offset, found: part, expected: "an address with a port, such as 203.0.113.7:443"}
		}
		addresses = append(addresses, a)
		offset += len(part) + 1
	}
	return addresses, nil
}

// parseList parses names that commas separate.
func parseList(text string) (any, *valueError) {
	names := strings.Split(text, ",")
	offset := 0
	for _, part := range names {
		if part == "" {
			return nil, &valueError{offset: offset, expected: "a name between the commas, with no spaces around it"}
		}
		offset += len(part) + 1
	}
	return names, nil
}

// formatValue returns a value in the canonical format.
func formatValue(value any) string {
	switch v := value.(type) {
	case cherviltide.Millis:
		return FormatMillis(v)
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

// FormatMillis returns a duration in the largest unit that needs no fraction.
func FormatMillis(m cherviltide.Millis) string {
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
