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

// Prefixes of the names of environment variables.
const (
	// variablePrefix is the prefix of all variables that override settings.
	variablePrefix = "CHERVILTIDE_"
	// operatorVariablePrefix is the prefix of the variables of the operators' commands, which are not settings.
	operatorVariablePrefix = "CHERVILTIDE_OPERATOR_"
)

// Sources of a value.
const (
	SourceFile        = "file"
	SourceEnvironment = "environment"
	SourceFlag        = "flag"
	SourceDefault     = "default"
	SourceNone        = ""
)

// Error lists all problems of the settings.
type Error struct {
	cherviltide.Fault
	// Problems has one message for each problem.
	Problems []string
}

// Value is the current value of a setting and its source.
type Value struct {
	// Name is the path of the setting in the file, such as TLS.Key.
	Name string
	// Text is the value as JSON without quotes; the value of a secret is hidden.
	Text string
	// Unit is empty when the value has none.
	Unit   string
	Source string
}

// settingsReader collects the settings of one process from all sources.
type settingsReader struct {
	path     string
	data     []byte
	fields   []field
	values   map[string]rawValue
	problems []string
}

// Read reads a settings file into settings, which must be a pointer to Entry, Agent or Control. Environment variables
// override the file, and flags of the form NAME=VALUE override both. The error lists all problems.
func Read(path string, settings any, flags ...string) error {
	_, err := ReadWithSources(path, settings, flags...)
	return err
}

// ReadWithSources reads settings like Read and returns the value and the source of each setting.
func ReadWithSources(path string, settings any, flags ...string) ([]Value, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault("loader.Read", err)
	}
	r := &settingsReader{path: path, data: data, fields: fieldsOf(settings), values: map[string]rawValue{}}
	r.readFile()
	r.readEnvironment(os.Environ())
	r.readFlags(flags)
	values := r.assign()
	if v, ok := settings.(validator); ok && len(r.problems) == 0 {
		v.validate(func(name, format string, args ...any) { r.addProblem(r.values[name], name, format, args...) })
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

// rawValue is the value of a setting before it is decoded.
type rawValue struct {
	source string
	// raw is JSON.
	raw []byte
	// location tells where the value was given, for error messages.
	location string
}

func (r *settingsReader) addProblem(input rawValue, name, format string, args ...any) {
	location := input.location
	if location == "" {
		location = r.path
	}
	r.problems = append(r.problems, fmt.Sprintf("%s: %s: %s", location, name, fmt.Sprintf(format, args...)))
}

// addUnknown reports a name that is not a setting, with the most similar name if there is one.
func (r *settingsReader) addUnknown(location, name string, candidates []string) {
	text := fmt.Sprintf("%s: %s: is not a setting of this role", location, name)
	if s := speller.Suggest(name, candidates); s != "" {
		text += fmt.Sprintf("; did you mean %s?", s)
	}
	r.problems = append(r.problems, text)
}

// readEnvironment reads the environment variables that override settings.
func (r *settingsReader) readEnvironment(variables []string) {
	slices.Sort(variables)
	var candidates []string
	for _, f := range r.fields {
		candidates = append(candidates, f.variableName())
	}
	for _, v := range variables {
		name, text, _ := strings.Cut(v, "=")
		if !strings.HasPrefix(name, variablePrefix) || strings.HasPrefix(name, operatorVariablePrefix) {
			continue
		}
		i := slices.Index(candidates, name)
		if i < 0 {
			r.addUnknown(SourceEnvironment, name, candidates)
			continue
		}
		f := r.fields[i]
		r.values[f.name] = rawValue{source: SourceEnvironment, raw: f.encode(text), location: "environment " + name}
	}
}

// readFlags reads the settings of the command line, each given as NAME=VALUE.
func (r *settingsReader) readFlags(flags []string) {
	var candidates []string
	for _, f := range r.fields {
		candidates = append(candidates, f.name)
	}
	for _, assignment := range flags {
		name, text, found := strings.Cut(assignment, "=")
		i := slices.Index(candidates, name)
		switch {
		case !found:
			r.problems = append(r.problems, fmt.Sprintf("flag %q: expected NAME=VALUE", assignment))
		case i < 0:
			r.addUnknown(SourceFlag, name, candidates)
		default:
			r.values[name] = rawValue{source: SourceFlag, raw: r.fields[i].encode(text), location: "flag " + name}
		}
	}
}

// assign decodes the values into the fields, applies defaults, and returns the values in the order of the fields.
func (r *settingsReader) assign() []Value {
	var values []Value
	for _, f := range r.fields {
		input := r.values[f.name]
		v := Value{Name: f.name, Unit: f.unit, Source: input.source}
		if input.source != SourceNone {
			if err := f.set(input.raw); err != nil {
				r.addProblem(input, f.name, "found %s, expected %s", f.formatRaw(input.raw), f.expected())
				continue
			}
		}
		if f.target.IsZero() {
			v.Source = SourceNone
			if f.defaultText != "" && f.set(f.encode(f.defaultText)) == nil {
				v.Source = SourceDefault
			} else if f.required {
				r.addProblem(input, f.name, "is missing; expected %s", f.expected())
			}
		}
		v.Text = f.currentText()
		values = append(values, v)
	}
	return values
}

func fault(op string, err error) error {
	return &Error{Fault: cherviltide.Fault{Op: op, Kind: cherviltide.KindInvalid, Err: err}, Problems: []string{err.Error()}}
}
