package schema

import (
	"math"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/finding"
	"github.com/skylarklock/skylarklock/internal/strictjson"
)

// serviceV1 is schema version 1 of a service. It counts retries, while version 2
// counts attempts, and it has no caller share, no retry budget and no bound on
// the answer size.
type serviceV1 struct {
	Service       string `json:"service"`
	RoutingPolicy string `json:"routing_policy"`
	TimeoutMs     int64  `json:"timeout_ms"`
	Retries       int    `json:"retries"`
	QueueLength   int    `json:"queue_length"`
	MaxBodyBytes  int64  `json:"max_body_bytes"`
}

// toV2 converts s to version 2. Fields that version 1 lacks get their defaults.
func (s serviceV1) toV2() api.ServiceSpec {
	out := DefaultService(s.Service)
	out.RoutingPolicy = s.RoutingPolicy
	out.TimeoutMs = s.TimeoutMs
	out.MaxAttempts = s.Retries + 1
	out.QueueLength = s.QueueLength
	out.MaxBodyBytes = s.MaxBodyBytes
	return out
}

func decodeServiceV1(rec api.Record, path string, l *finding.List) Spec {
	d := DefaultService(rec.Name)
	s := serviceV1{
		Service:       d.Service,
		RoutingPolicy: d.RoutingPolicy,
		TimeoutMs:     d.TimeoutMs,
		Retries:       d.MaxAttempts - 1,
		QueueLength:   d.QueueLength,
		MaxBodyBytes:  d.MaxBodyBytes,
	}
	strictjson.Decode(rec.Spec, &s, path, l)
	l.Check(s.Retries >= 0 && s.Retries < maxAttempts, path+".retries", s.Retries, formatRange(0, maxAttempts-1))
	s.Retries = min(max(s.Retries, 0), maxAttempts-1) // clamped, so that an invalid value gets no second finding for max_attempts
	out := s.toV2()
	checkService(rec.Name, out, path, l)
	return Spec{Service: &out}
}

// limitsV1 is schema version 1 of a caller's limits. It has no burst; toV2 sets
// the burst to the requests of one second at the given rate.
type limitsV1 struct {
	Caller        string  `json:"caller"`
	RatePerSecond float64 `json:"rate_per_second"`
	Concurrency   int     `json:"concurrency"`
}

// toV2 converts s to version 2.
func (s limitsV1) toV2() api.LimitsSpec {
	burst := int(math.Ceil(s.RatePerSecond))
	return api.LimitsSpec{Caller: s.Caller, RatePerSecond: s.RatePerSecond, Burst: max(burst, 1), Concurrency: s.Concurrency}
}

func decodeLimitsV1(rec api.Record, path string, l *finding.List) Spec {
	d := DefaultLimits()
	s := limitsV1{Caller: rec.Name, RatePerSecond: d.RatePerSecond, Concurrency: d.Concurrency}
	strictjson.Decode(rec.Spec, &s, path, l)
	out := s.toV2()
	out.Burst = min(out.Burst, maxBurst) // a rate above its bound gets a finding for the rate only
	checkLimits(rec.Name, out, path, l)
	return Spec{Limits: &out}
}
