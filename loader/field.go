package loader

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"unicode"
)

// field is a setting of a role. The fields of a nested struct are settings of their own, except for structs that are list
// items.
type field struct {
	// name is the path of the setting, such as TLS.Key.
	name        string
	target      reflect.Value
	defaultText string
	unit        string
	required    bool
	secret      bool
}

// fieldsOf returns the settings in the struct that settings points to. The tags of a field are setting (required or
// secret), default and unit.
func fieldsOf(settings any) []field {
	return appendFields(nil, "", reflect.ValueOf(settings).Elem())
}

func appendFields(list []field, path string, s reflect.Value) []field {
	for i := range s.NumField() {
		t := s.Type().Field(i)
		if !t.IsExported() {
			continue
		}
		_, isText := s.Field(i).Addr().Interface().(encoding.TextUnmarshaler)
		switch {
		case t.Anonymous:
			list = appendFields(list, path, s.Field(i))
		case t.Type.Kind() == reflect.Struct && !isText:
			list = appendFields(list, path+t.Name+".", s.Field(i))
		default:
			list = append(list, field{
				name: path + t.Name, target: s.Field(i), defaultText: t.Tag.Get("default"), unit: t.Tag.Get("unit"),
				required: t.Tag.Get("setting") == "required", secret: t.Tag.Get("setting") == "secret",
			})
		}
	}
	return list
}

// variableName returns the name of the environment variable that overrides the setting.
func (f field) variableName() string {
	var b strings.Builder
	b.WriteString(variablePrefix)
	runes := []rune(f.name)
	for i, c := range runes {
		startsWord := i > 0 && unicode.IsUpper(c) && (unicode.IsLower(runes[i-1]) || i+1 < len(runes) && unicode.IsLower(runes[i+1]))
		if startsWord && runes[i-1] != '.' {
			b.WriteByte('_')
		}
		if c == '.' {
			c = '_'
		}
		b.WriteRune(unicode.ToUpper(c))
	}
	return b.String()
}

// encode converts the text of a variable or flag to JSON. The text of a list has its items separated by commas, or is JSON.
func (f field) encode(text string) []byte {
	if f.target.Kind() != reflect.Slice || strings.HasPrefix(text, "[") {
		return encodeScalar(f.target.Type(), text)
	}
	var parts [][]byte
	for _, p := range strings.Split(text, ",") {
		parts = append(parts, encodeScalar(f.target.Type().Elem(), p))
	}
	return []byte("[" + string(bytes.Join(parts, []byte(","))) + "]")
}

func encodeScalar(t reflect.Type, text string) []byte {
	_, isText := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if t.Kind() != reflect.String && !isText {
		return []byte(text)
	}
	quoted, err := json.Marshal(text)
	if err != nil {
		return []byte(text)
	}
	return quoted
}

// set decodes JSON into the setting. It rejects unknown fields.
func (f field) set(raw []byte) error {
	value := reflect.New(f.target.Type())
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(value.Interface()); err != nil {
		return err
	}
	if d.More() {
		return fmt.Errorf("more than one value")
	}
	f.target.Set(value.Elem())
	return nil
}

// formatRaw formats a value for an error message; the value of a secret is hidden.
func (f field) formatRaw(raw []byte) string {
	if f.secret {
		return "a hidden value"
	}
	var b bytes.Buffer
	if json.Compact(&b, raw) != nil {
		return fmt.Sprintf("%q", raw)
	}
	return b.String()
}

// currentText returns the current value as JSON without quotes: "hidden" for a secret, "" for a zero value.
func (f field) currentText() string {
	if f.target.IsZero() {
		return ""
	}
	if f.secret {
		return "hidden"
	}
	data, err := json.Marshal(f.target.Interface())
	if err != nil {
		return err.Error()
	}
	return strings.Trim(string(data), `"`)
}

// expected describes the values that the setting accepts, for error messages.
func (f field) expected() string {
	description := describeType(f.target.Type())
	if f.unit != "" {
		description += " (unit: " + f.unit + ")"
	}
	return description
}

func describeType(t reflect.Type) string {
	switch t {
	case reflect.TypeFor[netip.AddrPort]():
		return `an address with a port such as "127.0.0.1:7400"`
	case reflect.TypeFor[netip.Addr]():
		return `an address such as "127.0.0.1"`
	}
	switch t.Kind() {
	case reflect.Slice:
		return "a list, each item " + describeType(t.Elem())
	case reflect.Struct:
		var names []string
		for i := range t.NumField() {
			names = append(names, t.Field(i).Name+" ("+describeType(t.Field(i).Type)+")")
		}
		return "an object with " + strings.Join(names, " and ")
	case reflect.Uint16:
		return "a whole number from 0 to 65535"
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string in quotes"
	case reflect.Float32, reflect.Float64:
		return "a number"
	}
	return "a whole number"
}
