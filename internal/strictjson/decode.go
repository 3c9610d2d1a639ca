// Package strictjson reads JSON into typed values and reports every fault
// with its path: unknown and doubled fields, nulls and wrong types. It works
// over encoding/json, which by itself stops at the first fault.
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

const maxValueShown = 80 // bytes of a faulty value in a finding

// Decode reads data into the value that into points at. Fields missing from
// data, and those with a fault, keep the value they had, so defaults are set
// before the call. Faults are added to l with paths that start with path. It reports whether there
// was none.
func Decode(data []byte, into any, path string, l *finding.List) bool {
	before := len(l.Findings)
	if !Valid(data, path, l) {
		return false
	}
	decodeValue(data, reflect.ValueOf(into).Elem(), path, l)
	return len(l.Findings) == before
}

// Valid reports whether data is JSON, and adds the place of a syntax error to
// l otherwise.
func Valid(data []byte, path string, l *finding.List) bool {
	var syntax json.RawMessage
	err := json.Unmarshal(data, &syntax)
	if err != nil {
		l.Add(rooted(path), describe(data, err), "valid JSON")
	}
	return err == nil
}

func decodeValue(raw []byte, v reflect.Value, path string, l *finding.List) {
	raw = bytes.TrimSpace(raw)
	if bytes.Equal(raw, []byte("null")) {
		l.Add(rooted(path), "null", "a value, or no such field")
		return
	}
	if u, ok := v.Addr().Interface().(json.Unmarshaler); ok {
		if err := u.UnmarshalJSON(raw); err != nil {
			l.Add(rooted(path), shown(raw), err.Error())
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
		decodeLeaf(raw, v, path, l)
	}
}

func decodeLeaf(raw []byte, v reflect.Value, path string, l *finding.List) {
	if err := json.Unmarshal(raw, v.Addr().Interface()); err != nil {
		l.Add(rooted(path), shown(raw), typeName(v.Type()))
	}
}

func decodeSlice(raw []byte, v reflect.Value, path string, l *finding.List) {
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		l.Add(rooted(path), shown(raw), "an array")
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
		l.Add(rooted(path), shown(raw), "an object")
		return
	}
	fields := fieldsOf(v.Type())
	seen := make(map[string]bool, len(members))
	for _, m := range members {
		at := join(path, m.name)
		index, known := fields[m.name]
		switch {
		case !known:
			l.Add(at, "unknown field", "one of "+names(fields))
		case seen[m.name]:
			l.Add(at, "field given twice", "one value")
		default:
			decodeValue(m.raw, v.Field(index), at, l)
		}
		seen[m.name] = true
	}
}

type member struct {
	name string
	raw  json.RawMessage
}

// objectMembers lists the members of an object in order, doubled ones too.
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

// fieldsOf maps the JSON names of a struct's fields to their indexes.
func fieldsOf(t reflect.Type) map[string]int {
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

func names(fields map[string]int) string {
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

// describe names the line and column of a syntax error.
func describe(data []byte, err error) string {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return err.Error()
	}
	upTo := data[:min(int(syntax.Offset), len(data))]
	line := 1 + bytes.Count(upTo, []byte("\n"))
	column := len(upTo) - (bytes.LastIndexByte(upTo, '\n') + 1)
	return fmt.Sprintf("line %d, column %d: %v", line, column, err)
}

func shown(raw []byte) string {
	if len(raw) <= maxValueShown {
		return string(raw)
	}
	return strings.ToValidUTF8(string(raw[:maxValueShown]), "") + "..."
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// rooted names the whole document, which has no path of its own.
func rooted(path string) string {
	if path == "" {
		return "(document)"
	}
	return path
}
