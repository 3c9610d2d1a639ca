package schema

import (
	"fmt"
	"strings"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/finding"
)

// Bounds of fields.
const (
	maxTimeoutMs   = 3_600_000
	maxAttempts    = 20
	maxQueueLength = 1_000_000
	maxBytes       = 1 << 30
	maxTasks       = 100_000
	maxRunTime     = 365 * 24 * time.Hour
	maxSampleSize  = 10_000
	maxFactor      = 1000
	maxRate        = 1_000_000
	maxBurst       = 1_000_000
	maxWeight      = 1_000_000
	maxMilliCPU    = 1_000_000_000_000 // of a quota: a fleet's worth
)

// bounded checks low <= n <= high at path.field.
func bounded(l *finding.List, path, field string, n, low, high int64) {
	l.Check(n >= low && n <= high, path+"."+field, n, rangeOf(low, high))
}

// fraction checks low <= x <= high at path.field; NaN fails.
func fraction(l *finding.List, path, field string, x, low, high float64) {
	l.Check(x >= low && x <= high, path+"."+field, x, fmt.Sprintf("%v to %v", low, high))
}

func rangeOf(low, high int64) string {
	return fmt.Sprintf("%d to %d", low, high)
}

// sameName checks that the spec repeats the record's name.
func sameName(l *finding.List, path, field, got, name string) {
	l.Check(got == name, path+"."+field, got, "the record's name, "+name)
}

func checkService(name string, s api.ServiceSpec, path string, l *finding.List) {
	sameName(l, path, "service", s.Service, name)
	known := s.RoutingPolicy == RoutingLeastLoaded || s.RoutingPolicy == RoutingBaseline
	l.Check(known, path+".routing_policy", s.RoutingPolicy, RoutingLeastLoaded+", "+RoutingBaseline)
	bounded(l, path, "timeout_ms", s.TimeoutMs, 1, maxTimeoutMs)
	bounded(l, path, "max_attempts", int64(s.MaxAttempts), 1, maxAttempts)
	bounded(l, path, "queue_length", int64(s.QueueLength), 0, maxQueueLength)
	bounded(l, path, "queue_ms", s.QueueTimeoutMs, 0, maxTimeoutMs)
	bounded(l, path, "max_body_bytes", s.MaxBodyBytes, 0, maxBytes)
	bounded(l, path, "max_answer_bytes", s.MaxAnswerBytes, 1, maxBytes)
	fraction(l, path, "retry_budget", s.RetryBudget, 0, 1)
	fraction(l, path, "caller_share", s.CallerShare, 0.01, 1)
	checkDataCentres(s.DataCentres, path+".data_centres", l)
	if s.Job != nil {
		checkJob(name, *s.Job, api.ClassService, path+".job", l)
	}
}

func checkJob(name string, j api.JobSpec, class api.Class, path string, l *finding.List) {
	sameName(l, path, "id", string(j.ID), name)
	l.Check(namePattern.MatchString(string(j.ID)), path+".id", j.ID, allowedName)
	l.Check(namePattern.MatchString(j.Team), path+".team", j.Team, allowedName)
	l.Check(j.Class == class, path+".class", j.Class, string(class))
	bounded(l, path, "priority", int64(j.Priority), api.PriorityLowest, api.PriorityHighest)
	bounded(l, path, "tasks", int64(j.Tasks), 1, maxTasks)
	bounded(l, path, "max_attempts", int64(j.MaxAttempts), 1, maxAttempts)
	checkResources(j.Resources, path+".resources", l)
	l.Check(!j.Resources.IsZero(), path+".resources", j.Resources, "more than nothing")
	checkRunTime(j.RunTime, class, path, l)
	checkDataCentres(j.DataCentres, path+".data_centres", l)
}

func checkRunTime(d time.Duration, class api.Class, path string, l *finding.List) {
	if class == api.ClassService {
		l.Check(d == 0, path+".run_time_ns", int64(d), "0: a service has no run time")
		return
	}
	bounded(l, path, "run_time_ns", int64(d), 1, int64(maxRunTime))
}

func checkResources(r api.Resources, path string, l *finding.List) {
	bounded(l, path, "milli_cpu", r.MilliCPU, 0, maxMilliCPU)
	bounded(l, path, "memory_mb", r.MemoryMB, 0, maxMilliCPU)
	bounded(l, path, "accelerators", r.Accelerators, 0, maxMilliCPU)
}

func checkDataCentres(dcs []api.DataCentre, path string, l *finding.List) {
	for i, dc := range dcs {
		at := fmt.Sprintf("%s[%d]", path, i)
		l.Check(namePattern.MatchString(string(dc)), at, dc, allowedName)
	}
}

func checkPolicy(name string, p api.PolicySpec, path string, l *finding.List) {
	l.Check(name == PolicyName, strings.TrimSuffix(path, "spec")+"name", name, PolicyName)
	bounded(l, path, "sample_size", int64(p.SampleSize), 1, maxSampleSize)
	bounded(l, path, "quarantine_failures", int64(p.QuarantineFailures), 1, maxTasks)
	bounded(l, path, "max_preemptions", int64(p.MaxPreemptions), 0, maxTasks)
	fraction(l, path, "quarantine_share", p.QuarantineShare, 0, 1)
	fraction(l, path, "overuse_factor", p.OveruseFactor, 1, maxFactor)
	fraction(l, path, "overrun_factor", p.OverrunFactor, 1, maxFactor)
}

func checkQuota(name string, q api.QuotaSpec, path string, l *finding.List) {
	sameName(l, path, "team", q.Team, name)
	checkResources(q.Max, path+".max", l)
	bounded(l, path, "weight", q.Weight, 1, maxWeight)
}

func checkLimits(name string, s api.LimitsSpec, path string, l *finding.List) {
	sameName(l, path, "caller", s.Caller, name)
	fraction(l, path, "rate_per_second", s.RatePerSecond, 0, maxRate)
	bounded(l, path, "burst", int64(s.Burst), 1, maxBurst)
	bounded(l, path, "concurrency", int64(s.Concurrency), 1, maxBurst)
}
