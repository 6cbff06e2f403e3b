// Package loader reads the settings of a process: one strict JSON file, overridden by environment variables and flags.
package loader

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/speller"
)

// Names of environment variables.
const (
	// prefix starts the names of all variables that override settings.
	prefix = "CHERVILTIDE_"
	// operatorPrefix starts the names of the variables of the operators' commands, which are no settings.
	operatorPrefix = "CHERVILTIDE_OPERATOR_"
)

// Sources of a value.
const (
	SourceFile        = "file"
	SourceEnvironment = "environment"
	SourceFlag        = "flag"
	SourceDefault     = "default"
	SourceNone        = ""
)

// Error lists everything that is wrong with the settings.
type Error struct {
	cherviltide.Fault
	// Problems has one text for each mistake.
	Problems []string
}

// Value is a setting as it is in force.
type Value struct {
	// Name is the path in the file, such as TLS.Key.
	Name string
	// Text is the value as JSON without quotes; a secret is not shown.
	Text string
	// Unit is empty when the value has none.
	Unit   string
	Source string
}

// reading collects the settings of one process from all sources.
type reading struct {
	path     string
	data     []byte
	fields   []field
	values   map[string]given
	problems []string
}

// Read reads a settings file into settings, which must be a pointer to Entry, Agent or Control. Environment variables
// override the file, and flags of the form NAME=VALUE override both. The error lists all problems.
func Read(path string, settings any, flags ...string) error {
	_, err := Explain(path, settings, flags...)
	return err
}

// Explain reads settings like Read and returns each with its source.
func Explain(path string, settings any, flags ...string) ([]Value, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault("loader.Read", err)
	}
	r := &reading{path: path, data: data, fields: fieldsOf(settings), values: map[string]given{}}
	r.file()
	r.environment(os.Environ())
	r.flags(flags)
	values := r.assign()
	if c, ok := settings.(checks); ok && len(r.problems) == 0 {
		c.check(func(name, format string, args ...any) { r.fail(r.values[name], name, format, args...) })
	}
	if len(r.problems) > 0 {
		return nil, &Error{
			Fault: cherviltide.Fault{
				Op: "loader.Read", Kind: cherviltide.KindInvalid, Err: errors.New(strings.Join(r.problems, "\n")),
			},
			Problems: r.problems,
		}
	}
	return values, nil
}

// given is the value of a setting in one source.
type given struct {
	source string
	// raw is JSON.
	raw []byte
	// place is where the value stands, for messages.
	place string
}

func (r *reading) fail(g given, name, format string, args ...any) {
	place := g.place
	if place == "" {
		place = r.path
	}
	r.problems = append(r.problems, fmt.Sprintf("%s: %s: %s", place, name, fmt.Sprintf(format, args...)))
}

// unknown reports a name that is no setting.
func (r *reading) unknown(place, name string, candidates []string) {
	text := fmt.Sprintf("%s: %s: is no setting of this role", place, name)
	if s := speller.Suggest(name, candidates); s != "" {
		text += fmt.Sprintf("; did you mean %s?", s)
	}
	r.problems = append(r.problems, text)
}

// environment takes the variables that override settings.
func (r *reading) environment(variables []string) {
	slices.Sort(variables)
	var candidates []string
	for _, f := range r.fields {
		candidates = append(candidates, f.variable())
	}
	for _, v := range variables {
		name, text, _ := strings.Cut(v, "=")
		if !strings.HasPrefix(name, prefix) || strings.HasPrefix(name, operatorPrefix) {
			continue
		}
		i := slices.Index(candidates, name)
		if i < 0 {
			r.unknown(SourceEnvironment, name, candidates)
			continue
		}
		f := r.fields[i]
		r.values[f.name] = given{source: SourceEnvironment, raw: f.encode(text), place: "environment " + name}
	}
}

// flags takes the overrides of the command line.
func (r *reading) flags(flags []string) {
	var candidates []string
	for _, f := range r.fields {
		candidates = append(candidates, f.name)
	}
	for _, x := range flags {
		name, text, found := strings.Cut(x, "=")
		i := slices.Index(candidates, name)
		switch {
		case !found:
			r.problems = append(r.problems, fmt.Sprintf("flag %q: expected NAME=VALUE", x))
		case i < 0:
			r.unknown(SourceFlag, name, candidates)
		default:
			r.values[name] = given{source: SourceFlag, raw: r.fields[i].encode(text), place: "flag " + name}
		}
	}
}

// assign sets the fields and returns their values in the order of the fields.
func (r *reading) assign() []Value {
	var values []Value
	for _, f := range r.fields {
		g := r.values[f.name]
		v := Value{Name: f.name, Unit: f.unit, Source: g.source}
		if g.source != SourceNone {
			if err := f.set(g.raw); err != nil {
				r.fail(g, f.name, "found %s, expected %s", f.show(g.raw), f.expected())
				continue
			}
		}
		if f.target.IsZero() {
			v.Source = SourceNone
			if f.fallback != "" && f.set(f.encode(f.fallback)) == nil {
				v.Source = SourceDefault
			} else if f.required {
				r.fail(g, f.name, "is missing; expected %s", f.expected())
			}
		}
		v.Text = f.text()
		values = append(values, v)
	}
	return values
}

func fault(op string, err error) error {
	return &Error{Fault: cherviltide.Fault{Op: op, Kind: cherviltide.KindInvalid, Err: err}, Problems: []string{err.Error()}}
}
