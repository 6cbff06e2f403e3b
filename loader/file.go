package loader

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// readFile reads the values of the settings file.
func (r *settingsReader) readFile() {
	var candidates []string
	for _, f := range r.fields {
		candidates = append(candidates, f.name)
	}
	r.readObject("", r.data, 0, candidates)
}

// readObject reads the members of the JSON object that starts at the given offset of the file.
func (r *settingsReader) readObject(path string, raw []byte, offset int, candidates []string) {
	d := json.NewDecoder(bytes.NewReader(raw))
	start, err := d.Token()
	if err == nil && start != json.Delim('{') {
		r.problems = append(r.problems, fmt.Sprintf("%s: found %v, expected an object in braces", r.location(offset), start))
		return
	}
	for err == nil && d.More() {
		var key json.Token
		if key, err = d.Token(); err != nil {
			break
		}
		var value json.RawMessage
		if err = d.Decode(&value); err == nil {
			r.readMember(path+fmt.Sprint(key), value, offset+int(d.InputOffset())-len(value), candidates)
		}
	}
	if err == nil {
		_, err = d.Token()
	}
	if err != nil {
		r.addSyntaxError(err, offset, d)
		return
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		r.problems = append(r.problems, fmt.Sprintf("%s: found more text after the settings", r.location(offset+int(d.InputOffset()))))
	}
}

// addSyntaxError reports a syntax error in the JSON text.
func (r *settingsReader) addSyntaxError(err error, offset int, d *json.Decoder) {
	position := offset + int(d.InputOffset())
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) && errors.Is(err, io.ErrUnexpectedEOF) {
		position = len(r.data)
	}
	text := err.Error()
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		text = "found the end of the file, expected JSON"
	}
	r.problems = append(r.problems, fmt.Sprintf("%s: not JSON: %s", r.location(position), text))
}

// readMember reads one value, or the members of a group such as TLS.
func (r *settingsReader) readMember(name string, value json.RawMessage, offset int, candidates []string) {
	location := r.location(offset)
	isGroup := slices.ContainsFunc(candidates, func(c string) bool { return strings.HasPrefix(c, name+".") })
	switch {
	case isGroup && string(value) != "null":
		r.readObject(name+".", value, offset, candidates)
	case isGroup:
	case !slices.Contains(candidates, name):
		r.addUnknown(location, name, candidates)
	case r.values[name].source != SourceNone:
		r.addProblem(rawValue{location: location}, name, "is given twice")
	default:
		if s := string(value); s == "null" || s == `""` {
			// A null or empty value counts as missing, so that the default applies.
			return
		}
		r.values[name] = rawValue{source: SourceFile, raw: value, location: location}
	}
}

// location returns the location of an offset of the file as FILE:LINE:COLUMN.
func (r *settingsReader) location(offset int) string {
	before := r.data[:min(offset, len(r.data))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len([]rune(string(before[bytes.LastIndexByte(before, '\n')+1:]))) + 1
	return fmt.Sprintf("%s:%d:%d", r.path, line, column)
}
