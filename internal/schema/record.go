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

// MaxSpecBytes is the maximum size of the spec of a record.
const MaxSpecBytes = 64 << 10

const allowedName = "1 to 128 of a-z, A-Z, 0-9, '.', '_', '-', ':', '@'"

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9._:@-]{1,128}$`)
	kindPattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,31}$`)
)

// UnknownSchemaMode determines whether CheckRecord accepts a record whose kind or
// schema version this binary cannot decode.
type UnknownSchemaMode int

// Modes for unknown schemas.
const (
	// RejectUnknownSchema rejects the record. It is used where records are
	// written, since the author must know their schema.
	RejectUnknownSchema UnknownSchemaMode = iota
	// AllowUnknownSchema accepts the record if its spec is valid JSON, so that
	// it reaches the binaries that know its kind and schema version.
	AllowUnknownSchema
)

// CheckRecord adds a finding to l for every error in rec. path is the position of
// the record in its file, empty for a file with a single record.
func CheckRecord(rec api.Record, mode UnknownSchemaMode, path string, l *finding.List) {
	fieldPath := func(field string) string { return strings.TrimPrefix(path+"."+field, ".") }
	before := len(l.Findings)
	l.Check(kindPattern.MatchString(string(rec.Kind)), fieldPath("kind"), rec.Kind, "one of "+kindNames())
	anyCaller := rec.Kind == api.KindLimits && rec.Name == AnyCaller
	l.Check(anyCaller || namePattern.MatchString(rec.Name), fieldPath("name"), rec.Name, allowedName)
	l.Check(rec.SchemaVersion >= 1, fieldPath("schema_version"), rec.SchemaVersion, "at least 1")
	l.Check(len(rec.Spec) <= MaxSpecBytes, fieldPath("spec"), fmt.Sprintf("%d bytes", len(rec.Spec)), fmt.Sprintf("at most %d bytes", MaxSpecBytes))
	if len(l.Findings) > before {
		return
	}
	if rec.Deleted {
		l.Check(len(rec.Spec) == 0, fieldPath("spec"), "a spec", "none in a deletion")
		l.Check(rec.BasedOn > 0, fieldPath("based_on"), rec.BasedOn, "the revision to delete")
		return
	}
	if CanDecode(rec) {
		decodeSpec(rec, fieldPath("spec"), l)
		return
	}
	if mode == RejectUnknownSchema {
		checkVersion(rec, path, l)
		return
	}
	l.Check(json.Valid(rec.Spec), fieldPath("spec"), "not JSON", "valid JSON")
}

// checkVersion adds a finding for a kind or schema version that this binary
// cannot decode.
func checkVersion(rec api.Record, path string, l *finding.List) {
	if CanDecode(rec) && !rec.Deleted {
		return
	}
	prefix := strings.TrimPrefix(path+".", ".")
	latest := LatestVersion(rec.Kind)
	if latest == 0 {
		l.Add(prefix+"kind", rec.Kind, "one of "+kindNames())
		return
	}
	l.Add(prefix+"schema_version", rec.SchemaVersion, formatRange(1, int64(latest)))
}

// CheckFile decodes and checks the records of a file, which holds a single record
// or an array of records. The list holds a finding for every error in the file;
// it is never nil.
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
	names := make([]string, 0, len(decodersByKind))
	for _, k := range Kinds() {
		names = append(names, string(k))
	}
	return strings.Join(names, ", ")
}
