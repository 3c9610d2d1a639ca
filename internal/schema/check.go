package schema

import (
	"fmt"
	"strings"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/finding"
)

// Bounds of spec fields.
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
	maxMilliCPU    = 1_000_000_000_000 // high enough for the quota of a whole fleet
)

// checkRange adds a finding for path.field unless low <= n <= high.
func checkRange(l *finding.List, path, field string, n, low, high int64) {
	l.Check(n >= low && n <= high, path+"."+field, n, formatRange(low, high))
}

// checkFloatRange adds a finding for path.field unless low <= x <= high. NaN is
// out of range.
func checkFloatRange(l *finding.List, path, field string, x, low, high float64) {
	l.Check(x >= low && x <= high, path+"."+field, x, fmt.Sprintf("%v to %v", low, high))
}

func formatRange(low, high int64) string {
	return fmt.Sprintf("%d to %d", low, high)
}

// checkNameMatches adds a finding unless the spec field equals the record's name.
func checkNameMatches(l *finding.List, path, field, got, name string) {
	l.Check(got == name, path+"."+field, got, "the record's name, "+name)
}

func checkService(name string, s api.ServiceSpec, path string, l *finding.List) {
	checkNameMatches(l, path, "service", s.Service, name)
	known := s.RoutingPolicy == RoutingLeastLoaded || s.RoutingPolicy == RoutingBaseline
	l.Check(known, path+".routing_policy", s.RoutingPolicy, RoutingLeastLoaded+", "+RoutingBaseline)
	checkRange(l, path, "timeout_ms", s.TimeoutMs, 1, maxTimeoutMs)
	checkRange(l, path, "max_attempts", int64(s.MaxAttempts), 1, maxAttempts)
	checkRange(l, path, "queue_length", int64(s.QueueLength), 0, maxQueueLength)
	checkRange(l, path, "queue_ms", s.QueueTimeoutMs, 0, maxTimeoutMs)
	checkRange(l, path, "max_body_bytes", s.MaxBodyBytes, 0, maxBytes)
	checkRange(l, path, "max_answer_bytes", s.MaxAnswerBytes, 1, maxBytes)
	checkFloatRange(l, path, "retry_budget", s.RetryBudget, 0, 1)
	checkFloatRange(l, path, "caller_share", s.CallerShare, 0.01, 1)
	checkDataCentres(s.DataCentres, path+".data_centres", l)
	if s.Job != nil {
		checkJob(name, *s.Job, api.ClassService, path+".job", l)
	}
}

func checkJob(name string, j api.JobSpec, class api.Class, path string, l *finding.List) {
	checkNameMatches(l, path, "id", string(j.ID), name)
	l.Check(namePattern.MatchString(string(j.ID)), path+".id", j.ID, allowedName)
	l.Check(namePattern.MatchString(j.Team), path+".team", j.Team, allowedName)
	l.Check(j.Class == class, path+".class", j.Class, string(class))
	checkRange(l, path, "priority", int64(j.Priority), api.PriorityLowest, api.PriorityHighest)
	checkRange(l, path, "tasks", int64(j.Tasks), 1, maxTasks)
	checkRange(l, path, "max_attempts", int64(j.MaxAttempts), 1, maxAttempts)
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
	checkRange(l, path, "run_time_ns", int64(d), 1, int64(maxRunTime))
}

func checkResources(r api.Resources, path string, l *finding.List) {
	checkRange(l, path, "milli_cpu", r.MilliCPU, 0, maxMilliCPU)
	checkRange(l, path, "memory_mb", r.MemoryMB, 0, maxMilliCPU)
	checkRange(l, path, "accelerators", r.Accelerators, 0, maxMilliCPU)
}

func checkDataCentres(dcs []api.DataCentre, path string, l *finding.List) {
	for i, dc := range dcs {
		itemPath := fmt.Sprintf("%s[%d]", path, i)
		l.Check(namePattern.MatchString(string(dc)), itemPath, dc, allowedName)
	}
}

func checkPolicy(name string, p api.PolicySpec, path string, l *finding.List) {
	l.Check(name == PolicyName, strings.TrimSuffix(path, "spec")+"name", name, PolicyName)
	checkRange(l, path, "sample_size", int64(p.SampleSize), 1, maxSampleSize)
	checkRange(l, path, "quarantine_failures", int64(p.QuarantineFailures), 1, maxTasks)
	checkRange(l, path, "max_preemptions", int64(p.MaxPreemptions), 0, maxTasks)
	checkFloatRange(l, path, "quarantine_share", p.QuarantineShare, 0, 1)
	checkFloatRange(l, path, "overuse_factor", p.OveruseFactor, 1, maxFactor)
	checkFloatRange(l, path, "overrun_factor", p.OverrunFactor, 1, maxFactor)
}

func checkQuota(name string, q api.QuotaSpec, path string, l *finding.List) {
	checkNameMatches(l, path, "team", q.Team, name)
	checkResources(q.Max, path+".max", l)
	checkRange(l, path, "weight", q.Weight, 1, maxWeight)
}

func checkLimits(name string, s api.LimitsSpec, path string, l *finding.List) {
	checkNameMatches(l, path, "caller", s.Caller, name)
	checkFloatRange(l, path, "rate_per_second", s.RatePerSecond, 0, maxRate)
	checkRange(l, path, "burst", int64(s.Burst), 1, maxBurst)
	checkRange(l, path, "concurrency", int64(s.Concurrency), 1, maxBurst)
}
