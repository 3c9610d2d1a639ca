package schema

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/finding"
)

// paths returns the paths of the findings, separated by spaces.
func paths(l *finding.List) string {
	var out []string
	for _, f := range l.Findings {
		out = append(out, f.Path)
	}
	return strings.Join(out, " ")
}

// TestAllFindingsOfFileHavePaths checks that all errors in a file of several
// records are reported together, each with the path of its field.
func TestAllFindingsOfFileHavePaths(t *testing.T) {
	file := `[
	  {"kind":"service","name":"torquebench","schema_version":2,"based_on":0,
	   "spec":{"service":"other","max_attempts":0,"retries":1,"caller_share":2,
	     "job":{"id":"torquebench","team":"","class":"batch","resources":{"milli_cpu":-1,"gpus":1}}}},
	  {"kind":"service","name":"a","schema_version":1,"spec":{"retries":-1,"queue_ms":5}},
	  {"kind":"servce","name":"a","schema_version":1,"spec":{}},
	  {"kind":"limits","name":"*","schema_version":3,"spec":{}},
	  {"kind":"policy","name":"other","schema_version":1,"spec":{"overuse_factor":0.5},"note":1},
	  {"kind":"quota","name":"t","schema_version":1,"deleted":true,"spec":{}},
	  {"kind":"batchjob","name":"j/k","schema_version":1,"spec":{}},
	  {"kind":"gangjob","name":"g","schema_version":1,
	   "spec":{"team":"t","class":"gang","tasks":0,"resources":{"milli_cpu":1},"run_time_ns":0}},
	  {"kind":"policy","name":"default","schema_version":1,"spec":{"sample_size":0}}
	]`
	records, l := CheckFile("f.json", []byte(file), RejectUnknownSchema)
	want := strings.Join([]string{
		"[4].note [0].spec.retries [0].spec.job.resources.gpus",
		"[0].spec.service [0].spec.max_attempts [0].spec.caller_share",
		"[0].spec.job.team [0].spec.job.class [0].spec.job.resources.milli_cpu",
		"[1].spec.queue_ms [1].spec.retries", "[2].kind", "[3].schema_version",
		"[4].name [4].spec.overuse_factor", "[5].spec [5].based_on", "[6].name",
		"[7].spec.tasks [7].spec.run_time_ns", "[8].spec.sample_size",
	}, " ")
	if got := paths(l); got != want {
		t.Fatalf("got  %s\nwant %s", got, want)
	}
	if len(records) != 9 || l.Findings[0].File != "f.json" {
		t.Fatalf("%d records, %+v", len(records), l.Findings[0])
	}
}

// TestUnknownSchemaIsAllowedOrRejectedByMode checks that a record of an unknown
// kind is rejected when it is written but accepted when it is relayed.
func TestUnknownSchemaIsAllowedOrRejectedByMode(t *testing.T) {
	rec := api.Record{Kind: "future", Name: "x", SchemaVersion: 1, Spec: json.RawMessage(`{"a":1}`)}
	allowed, rejected := &finding.List{}, &finding.List{}
	CheckRecord(rec, AllowUnknownSchema, "", allowed)
	CheckRecord(rec, RejectUnknownSchema, "", rejected)
	if allowed.Err() != nil || paths(rejected) != "kind" {
		t.Fatalf("findings with AllowUnknownSchema: %v, with RejectUnknownSchema: %v", allowed, rejected)
	}
}

// TestDocumentedRecordsAreValid checks the examples in docs/operators/records.md.
func TestDocumentedRecordsAreValid(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/records.md")
	if err != nil {
		t.Fatal(err)
	}
	examples := strings.Split(string(page), "```json\n")[1:]
	for i, example := range examples {
		text, _, _ := strings.Cut(example, "```")
		if _, l := CheckFile(fmt.Sprintf("example %d", i), []byte(text), RejectUnknownSchema); l.Err() != nil {
			t.Error(l)
		}
	}
	if len(examples) != 4 {
		t.Errorf("%d examples, want 4", len(examples))
	}
}

// FuzzCheckFile checks arbitrary files. Every accepted record must decode, and
// must still be accepted after it is marshalled again.
func FuzzCheckFile(f *testing.F) {
	f.Add([]byte(`{"kind":"limits","name":"c","schema_version":1,"spec":{"rate_per_second":2}}`))
	f.Add([]byte(`[{"kind":"service","name":"s","schema_version":2,"spec":{"job":{"id":"s"}}},{}]`))
	f.Add([]byte(`{"kind":"quota","name":"t","schema_version":1,"deleted":true,"based_on":4}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		records, l := CheckFile("f", data, RejectUnknownSchema)
		if l.Err() != nil {
			return
		}
		for _, rec := range records {
			if rec.Deleted {
				continue
			}
			if _, err := Decode(rec); err != nil {
				t.Fatalf("accepted record does not decode: %v", err)
			}
			marshalled, err := json.Marshal(rec)
			if err != nil {
				t.Fatal(err)
			}
			if _, l := CheckFile("f", marshalled, RejectUnknownSchema); l.Err() != nil {
				t.Fatalf("accepted record is rejected after marshalling: %v", l)
			}
		}
	})
}
