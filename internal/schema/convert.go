package schema

import (
	"math"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/finding"
	"github.com/skylarklock/skylarklock/internal/strictjson"
)

// serviceV1 is schema version 1 of a service. It counts retries where
// version 2 counts attempts, and has no shares, budgets or bounds of answers.
type serviceV1 struct {
	Service       string `json:"service"`
	RoutingPolicy string `json:"routing_policy"`
	TimeoutMs     int64  `json:"timeout_ms"`
	Retries       int    `json:"retries"`
	QueueLength   int    `json:"queue_length"`
	MaxBodyBytes  int64  `json:"max_body_bytes"`
}

// current converts s to version 2; what version 1 lacks takes its default.
func (s serviceV1) current() api.ServiceSpec {
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
	l.Check(s.Retries >= 0 && s.Retries < maxAttempts, path+".retries", s.Retries, rangeOf(0, maxAttempts-1))
	s.Retries = min(max(s.Retries, 0), maxAttempts-1) // reported above, under its own name
	out := s.current()
	checkService(rec.Name, out, path, l)
	return Spec{Service: &out}
}

// limitsV1 is schema version 1 of a caller's limits. It has no burst; the
// burst of one second's rate is taken.
type limitsV1 struct {
	Caller        string  `json:"caller"`
	RatePerSecond float64 `json:"rate_per_second"`
	Concurrency   int     `json:"concurrency"`
}

// current converts s to version 2.
func (s limitsV1) current() api.LimitsSpec {
	burst := int(math.Ceil(s.RatePerSecond))
	return api.LimitsSpec{Caller: s.Caller, RatePerSecond: s.RatePerSecond, Burst: max(burst, 1), Concurrency: s.Concurrency}
}

func decodeLimitsV1(rec api.Record, path string, l *finding.List) Spec {
	d := DefaultLimits()
	s := limitsV1{Caller: rec.Name, RatePerSecond: d.RatePerSecond, Concurrency: d.Concurrency}
	strictjson.Decode(rec.Spec, &s, path, l)
	out := s.current()
	out.Burst = min(out.Burst, maxBurst) // a rate above the bound is reported as a rate
	checkLimits(rec.Name, out, path, l)
	return Spec{Limits: &out}
}
