// Package schema defines the schema versions of configuration records. It decodes
// every supported version into a common representation, and validates records
// for skylarkctl, the operator service and the config state machine.
package schema

import (
	"encoding/json"
	"slices"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/finding"
	"github.com/skylarklock/skylarklock/internal/strictjson"
)

// PolicyName is the only valid name of a record of api.KindPolicy.
const PolicyName = "default"

// AnyCaller is the name of the limits record for callers without a record of
// their own.
const AnyCaller = "*"

// Spec is the decoded spec of a record. Only the field for the record's kind is
// set. Its value is shared and must not be modified.
type Spec struct {
	Service *api.ServiceSpec
	Job     *api.JobSpec // of batch and gang jobs
	Policy  *api.PolicySpec
	Quota   *api.QuotaSpec
	Limits  *api.LimitsSpec
}

// specDecoder decodes one schema version of one kind over its defaults, converts
// it to the latest version and checks it.
type specDecoder func(rec api.Record, path string, l *finding.List) Spec

// decodersByKind holds the decoders of each kind, in order of schema version from 1.
var decodersByKind = map[api.Kind][]specDecoder{
	api.KindService:  {decodeServiceV1, decodeServiceV2},
	api.KindBatchJob: {decodeBatchJobV1},
	api.KindGangJob:  {decodeGangJobV1},
	api.KindPolicy:   {decodePolicyV1},
	api.KindQuota:    {decodeQuotaV1},
	api.KindLimits:   {decodeLimitsV1, decodeLimitsV2},
}

// Kinds returns the kinds that this binary can decode, sorted.
func Kinds() []api.Kind {
	kinds := make([]api.Kind, 0, len(decodersByKind))
	for k := range decodersByKind {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	return kinds
}

// LatestVersion returns the latest schema version of kind that this binary can
// decode, or 0 if the kind is unknown.
func LatestVersion(kind api.Kind) int {
	return len(decodersByKind[kind])
}

// CanDecode reports whether this binary knows the kind and schema version of rec.
// It is always true for a deletion, which has no spec.
func CanDecode(rec api.Record) bool {
	return rec.Deleted || (rec.SchemaVersion >= 1 && rec.SchemaVersion <= LatestVersion(rec.Kind))
}

// Decode decodes the record's spec and converts it to the latest schema version.
// It returns a *finding.List as the error if CanDecode is false or the spec
// violates its schema.
func Decode(rec api.Record) (Spec, error) {
	l := &finding.List{}
	checkVersion(rec, "", l)
	if err := l.Err(); err != nil {
		return Spec{}, err
	}
	spec := decodeSpec(rec, "spec", l)
	return spec, l.Err()
}

func decodeSpec(rec api.Record, path string, l *finding.List) Spec {
	if len(rec.Spec) == 0 {
		l.Add(path, nil, "the record's content")
		return Spec{}
	}
	return decodersByKind[rec.Kind][rec.SchemaVersion-1](rec, path, l)
}

func decodeServiceV2(rec api.Record, path string, l *finding.List) Spec {
	s := DefaultService(rec.Name)
	if hasJob(rec.Spec) {
		j := DefaultJob(api.JobID(rec.Name), api.ClassService)
		s.Job = &j
	}
	strictjson.Decode(rec.Spec, &s, path, l)
	checkService(rec.Name, s, path, l)
	return Spec{Service: &s}
}

// hasJob reports whether the spec of a service has a job.
func hasJob(spec []byte) bool {
	var fields struct {
		Job json.RawMessage `json:"job"`
	}
	return json.Unmarshal(spec, &fields) == nil && len(fields.Job) > 0
}

func decodeBatchJobV1(rec api.Record, path string, l *finding.List) Spec {
	return decodeJob(rec, api.ClassBatch, path, l)
}

func decodeGangJobV1(rec api.Record, path string, l *finding.List) Spec {
	return decodeJob(rec, api.ClassGang, path, l)
}

func decodeJob(rec api.Record, class api.Class, path string, l *finding.List) Spec {
	j := DefaultJob(api.JobID(rec.Name), class)
	strictjson.Decode(rec.Spec, &j, path, l)
	checkJob(rec.Name, j, class, path, l)
	return Spec{Job: &j}
}

func decodePolicyV1(rec api.Record, path string, l *finding.List) Spec {
	p := DefaultPolicy()
	strictjson.Decode(rec.Spec, &p, path, l)
	checkPolicy(rec.Name, p, path, l)
	return Spec{Policy: &p}
}

func decodeQuotaV1(rec api.Record, path string, l *finding.List) Spec {
	q := api.QuotaSpec{Team: rec.Name, Weight: 1}
	strictjson.Decode(rec.Spec, &q, path, l)
	checkQuota(rec.Name, q, path, l)
	return Spec{Quota: &q}
}

func decodeLimitsV2(rec api.Record, path string, l *finding.List) Spec {
	s := DefaultLimits()
	s.Caller = rec.Name
	strictjson.Decode(rec.Spec, &s, path, l)
	checkLimits(rec.Name, s, path, l)
	return Spec{Limits: &s}
}
