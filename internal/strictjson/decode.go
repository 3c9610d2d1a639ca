// Package strictjson decodes JSON into typed values and reports every error with
// its path: unknown and duplicate fields, nulls and wrong types. It is built on
// encoding/json, which by itself stops at the first error.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/skylarklock/skylarklock/internal/finding"
)

const maxShownValueBytes = 80 // a longer invalid value is truncated in its finding

// Decode decodes data into the value that into points to. Fields that are missing
// from data or invalid keep their value, so that defaults can be set before the
// call. Errors are added to l, with paths that start with path. Decode reports
// whether data was valid.
func Decode(data []byte, into any, path string, l *finding.List) bool {
	before := len(l.Findings)
	if !Valid(data, path, l) {
		return false
	}
	decodeValue(data, reflect.ValueOf(into).Elem(), path, l)
	return len(l.Findings) == before
}

// Valid reports whether data is valid JSON. If not, it adds a finding with the
// position of the syntax error to l.
func Valid(data []byte, path string, l *finding.List) bool {
	var raw json.RawMessage
	err := json.Unmarshal(data, &raw)
	if err != nil {
		l.Add(displayPath(path), describeSyntaxError(data, err), "valid JSON")
	}
	return err == nil
}

func decodeValue(raw []byte, v reflect.Value, path string, l *finding.List) {
	raw = bytes.TrimSpace(raw)
	if bytes.Equal(raw, []byte("null")) {
		l.Add(displayPath(path), "null", "a value, or no such field")
		return
	}
	if u, ok := v.Addr().Interface().(json.Unmarshaler); ok {
		if err := u.UnmarshalJSON(raw); err != nil {
			l.Add(displayPath(path), truncateValue(raw), err.Error())
		}
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			v.Set(reflect.New(v.Type().Elem()))
		}
		decodeValue(raw, v.Elem(), path, l)
	case reflect.Struct:
		decodeStruct(raw, v, path, l)
	case reflect.Slice:
		decodeSlice(raw, v, path, l)
	default:
		decodeScalar(raw, v, path, l)
	}
}

func decodeScalar(raw []byte, v reflect.Value, path string, l *finding.List) {
	if err := json.Unmarshal(raw, v.Addr().Interface()); err != nil {
		l.Add(displayPath(path), truncateValue(raw), typeName(v.Type()))
	}
}

func decodeSlice(raw []byte, v reflect.Value, path string, l *finding.List) {
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		l.Add(displayPath(path), truncateValue(raw), "an array")
		return
	}
	out := reflect.MakeSlice(v.Type(), len(items), len(items))
	for i, item := range items {
		decodeValue(item, out.Index(i), fmt.Sprintf("%s[%d]", path, i), l)
	}
	v.Set(out)
}

func decodeStruct(raw []byte, v reflect.Value, path string, l *finding.List) {
	members, ok := objectMembers(raw)
	if !ok {
		l.Add(displayPath(path), truncateValue(raw), "an object")
		return
	}
	fields := fieldIndexes(v.Type())
	seen := make(map[string]bool, len(members))
	for _, m := range members {
		memberPath := joinPath(path, m.name)
		index, known := fields[m.name]
		switch {
		case !known:
			l.Add(memberPath, "unknown field", "one of "+sortedFieldNames(fields))
		case seen[m.name]:
			l.Add(memberPath, "field given twice", "one value")
		default:
			decodeValue(m.raw, v.Field(index), memberPath, l)
		}
		seen[m.name] = true
	}
}

// member is a name/value pair of a JSON object.
type member struct {
	name string
	raw  json.RawMessage
}

// objectMembers returns the members of an object in order, including duplicates.
// It returns false if raw is not an object.
func objectMembers(raw []byte) ([]member, bool) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	if open, err := dec.Token(); err != nil || open != json.Delim('{') {
		return nil, false
	}
	var members []member
	for dec.More() {
		name, err := dec.Token()
		if err != nil {
			return nil, false
		}
		m := member{name: fmt.Sprint(name)}
		if err := dec.Decode(&m.raw); err != nil {
			return nil, false
		}
		members = append(members, m)
	}
	return members, true
}

// fieldIndexes maps the JSON names of the fields of a struct type to their
// indexes.
func fieldIndexes(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if !f.IsExported() || name == "-" {
			continue
		}
		if name == "" {
			name = f.Name
		}
		fields[name] = i
	}
	return fields
}

func sortedFieldNames(fields map[string]int) string {
	list := make([]string, 0, len(fields))
	for name := range fields {
		list = append(list, name)
	}
	sort.Strings(list)
	return strings.Join(list, ", ")
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number of at least 0, within " + t.Kind().String()
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return "a whole number, within " + t.Kind().String()
	}
	return "a " + t.Kind().String()
}

// describeSyntaxError returns the text of err, with line and column if it is a
// syntax error.
func describeSyntaxError(data []byte, err error) string {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return err.Error()
	}
	consumed := data[:min(int(syntax.Offset), len(data))]
	line := 1 + bytes.Count(consumed, []byte("\n"))
	column := len(consumed) - (bytes.LastIndexByte(consumed, '\n') + 1)
	return fmt.Sprintf("line %d, column %d: %v", line, column, err)
}

func truncateValue(raw []byte) string {
	if len(raw) <= maxShownValueBytes {
		return string(raw)
	}
	return strings.ToValidUTF8(string(raw[:maxShownValueBytes]), "") + "..."
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// displayPath returns path as shown in findings; the empty path is that of the
// whole document.
func displayPath(path string) string {
	if path == "" {
		return "(document)"
	}
	return path
}
