// Package schema knows the schema versions of operators' records: it decodes
// every version that is in force into the one form that decisions use, and
// holds the one validation that the operators' command, the publish path and
// the configuration machine share.
package schema

import (
	"encoding/json"
	"slices"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/finding"
	"github.com/skylarklock/skylarklock/internal/strictjson"
)

// PolicyName is the name of the one record of api.KindPolicy that is in force.
const PolicyName = "default"

// AnyCaller names the limits of callers without a record of their own.
const AnyCaller = "*"

// Spec is a decoded record. The field of the record's kind is set; the value
// is shared and must not be changed.
type Spec struct {
	Service *api.ServiceSpec
	Job     *api.JobSpec // of batch and gang jobs
	Policy  *api.PolicySpec
	Quota   *api.QuotaSpec
	Limits  *api.LimitsSpec
}

// decoder reads one schema version of one kind over its defaults, converts
// it to the form in use and checks it.
type decoder func(rec api.Record, path string, l *finding.List) Spec

// versions holds the decoders of each kind; the first is schema version 1.
var versions = map[api.Kind][]decoder{
	api.KindService:  {decodeServiceV1, decodeServiceV2},
	api.KindBatchJob: {decodeBatchJobV1},
	api.KindGangJob:  {decodeGangJobV1},
	api.KindPolicy:   {decodePolicyV1},
	api.KindQuota:    {decodeQuotaV1},
	api.KindLimits:   {decodeLimitsV1, decodeLimitsV2},
}

// Kinds returns the kinds that this binary knows, sorted.
func Kinds() []api.Kind {
	kinds := make([]api.Kind, 0, len(versions))
	for k := range versions {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	return kinds
}

// LatestVersion returns the newest schema version of kind that this binary knows,
// or 0 for a kind that it doesn't know.
func LatestVersion(kind api.Kind) int {
	return len(versions[kind])
}

// CanDecode reports whether this binary can decode the record. A deletion has no
// content and is always known.
func CanDecode(rec api.Record) bool {
	return rec.Deleted || (rec.SchemaVersion >= 1 && rec.SchemaVersion <= LatestVersion(rec.Kind))
}

// Decode converts the record's spec to the form in use. It fails with a
// *finding.List when the record isn't Known or breaks its schema.
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
	return versions[rec.Kind][rec.SchemaVersion-1](rec, path, l)
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

// hasJob reports whether a service's spec names tasks to run.
func hasJob(spec []byte) bool {
	var probe struct {
		Job json.RawMessage `json:"job"`
	}
	return json.Unmarshal(spec, &probe) == nil && len(probe.Job) > 0
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
