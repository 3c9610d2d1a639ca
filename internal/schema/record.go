package schema

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"strings"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/finding"
	"github.com/skylarklock/skylarklock/internal/strictjson"
)

// MaxSpecBytes bounds the spec of one record.
const MaxSpecBytes = 64 << 10

const allowedName = "1 to 128 of a-z, A-Z, 0-9, '.', '_', '-', ':', '@'"

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9._:@-]{1,128}$`)
	kindPattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,31}$`)
)

// UnknownSchemaMode says how a record that this binary can't decode is judged.
type UnknownSchemaMode int

// Modes of checking.
const (
	// RejectUnknownSchema: whoever writes the record must know its schema.
	RejectUnknownSchema UnknownSchemaMode = iota
	// AllowUnknownSchema: a newer schema or kind is passed on unread, for the binaries
	// that know it.
	AllowUnknownSchema
)

// CheckRecord adds every fault of rec to l; path is the record's place in its
// file, empty for a file of one record.
func CheckRecord(rec api.Record, mode UnknownSchemaMode, path string, l *finding.List) {
	at := func(field string) string { return strings.TrimPrefix(path+"."+field, ".") }
	before := len(l.Findings)
	l.Check(kindPattern.MatchString(string(rec.Kind)), at("kind"), rec.Kind, "one of "+kindNames())
	anyCaller := rec.Kind == api.KindLimits && rec.Name == AnyCaller
	l.Check(anyCaller || namePattern.MatchString(rec.Name), at("name"), rec.Name, allowedName)
	l.Check(rec.SchemaVersion >= 1, at("schema_version"), rec.SchemaVersion, "at least 1")
	l.Check(len(rec.Spec) <= MaxSpecBytes, at("spec"), fmt.Sprintf("%d bytes", len(rec.Spec)), fmt.Sprintf("at most %d bytes", MaxSpecBytes))
	if len(l.Findings) > before {
		return
	}
	if rec.Deleted {
		l.Check(len(rec.Spec) == 0, at("spec"), "a spec", "none in a deletion")
		l.Check(rec.BasedOn > 0, at("based_on"), rec.BasedOn, "the revision to delete")
		return
	}
	if CanDecode(rec) {
		decodeSpec(rec, at("spec"), l)
		return
	}
	if mode == RejectUnknownSchema {
		checkVersion(rec, path, l)
		return
	}
	l.Check(json.Valid(rec.Spec), at("spec"), "not JSON", "valid JSON")
}

// checkVersion reports a kind or schema version that this binary can't decode.
func checkVersion(rec api.Record, path string, l *finding.List) {
	if CanDecode(rec) && !rec.Deleted {
		return
	}
	prefix := strings.TrimPrefix(path+".", ".")
	newest := LatestVersion(rec.Kind)
	if newest == 0 {
		l.Add(prefix+"kind", rec.Kind, "one of "+kindNames())
		return
	}
	l.Add(prefix+"schema_version", rec.SchemaVersion, rangeOf(1, int64(newest)))
}

// CheckFile reads the records of one file, a single one or an array, and
// checks each. The list carries every fault of the file; it is never nil.
func CheckFile(file string, data []byte, mode UnknownSchemaMode) ([]api.Record, *finding.List) {
	l := &finding.List{File: file}
	if !strictjson.Valid(data, "", l) {
		return nil, l
	}
	if bytes.HasPrefix(bytes.TrimSpace(data), []byte("[")) {
		return checkArray(data, mode, l), l
	}
	var rec api.Record
	strictjson.Decode(data, &rec, "", l)
	CheckRecord(rec, mode, "", l)
	return []api.Record{rec}, l
}

func checkArray(data []byte, mode UnknownSchemaMode, l *finding.List) []api.Record {
	var records []api.Record
	strictjson.Decode(data, &records, "", l)
	for i, rec := range records {
		CheckRecord(rec, mode, fmt.Sprintf("[%d]", i), l)
	}
	return records
}

func kindNames() string {
	names := make([]string, 0, len(versions))
	for _, k := range Kinds() {
		names = append(names, string(k))
	}
	return strings.Join(names, ", ")
}
