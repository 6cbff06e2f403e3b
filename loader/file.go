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

// file takes the values of the settings file.
func (r *reading) file() {
	var candidates []string
	for _, f := range r.fields {
		candidates = append(candidates, f.name)
	}
	r.object("", r.data, 0, candidates)
}

// object takes the members of a JSON object that starts at an offset of the file.
func (r *reading) object(path string, raw []byte, offset int, candidates []string) {
	d := json.NewDecoder(bytes.NewReader(raw))
	start, err := d.Token()
	if err == nil && start != json.Delim('{') {
		r.problems = append(r.problems, fmt.Sprintf("%s: found %v, expected an object in braces", r.place(offset), start))
		return
	}
	for err == nil && d.More() {
		var key json.Token
		if key, err = d.Token(); err != nil {
			break
		}
		var value json.RawMessage
		if err = d.Decode(&value); err == nil {
			r.member(path+fmt.Sprint(key), value, offset+int(d.InputOffset())-len(value), candidates)
		}
	}
	if err == nil {
		_, err = d.Token()
	}
	if err != nil {
		r.broken(err, offset, d)
		return
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		r.problems = append(r.problems, fmt.Sprintf("%s: found more text after the settings", r.place(offset+int(d.InputOffset()))))
	}
}

// broken reports text that is not JSON.
func (r *reading) broken(err error, offset int, d *json.Decoder) {
	position := offset + int(d.InputOffset())
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) && errors.Is(err, io.ErrUnexpectedEOF) {
		position = len(r.data)
	}
	text := err.Error()
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		text = "found the end of the file, expected JSON"
	}
	r.problems = append(r.problems, fmt.Sprintf("%s: not JSON: %s", r.place(position), text))
}

// member takes one value, or the members of a group such as TLS.
func (r *reading) member(name string, value json.RawMessage, offset int, candidates []string) {
	place := r.place(offset)
	isGroup := slices.ContainsFunc(candidates, func(c string) bool { return strings.HasPrefix(c, name+".") })
	switch {
	case isGroup && string(value) != "null":
		r.object(name+".", value, offset, candidates)
	case isGroup:
	case !slices.Contains(candidates, name):
		r.unknown(place, name, candidates)
	case r.values[name].source != SourceNone:
		r.fail(given{place: place}, name, "is given twice")
	default:
		if s := string(value); s == "null" || s == `""` {
			// A setting without a value counts as left out, so that its default holds.
			return
		}
		r.values[name] = given{source: SourceFile, raw: value, place: place}
	}
}

// place returns FILE:LINE:COLUMN of an offset.
func (r *reading) place(offset int) string {
	before := r.data[:min(offset, len(r.data))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len([]rune(string(before[bytes.LastIndexByte(before, '\n')+1:]))) + 1
	return fmt.Sprintf("%s:%d:%d", r.path, line, column)
}
