package router

import (
	"math"
	"time"
)

// resultCounts holds counts of successes and failures that decay exponentially
// with time.
type resultCounts struct {
	ok        float64
	failed    float64
	decayedAt time.Duration // time of the last decay of both counts
}

// decayed returns r decayed to now.
func (r resultCounts) decayed(now, halfLife time.Duration) resultCounts {
	factor := math.Exp2(-float64(now-r.decayedAt) / float64(halfLife))
	return resultCounts{ok: r.ok * factor, failed: r.failed * factor, decayedAt: now}
}

// with returns r with one more result.
func (r resultCounts) with(ok bool) resultCounts {
	if ok {
		r.ok++
	} else {
		r.failed++
	}
	return r
}

// without returns r minus the counts in o, which must be decayed to the same
// time.
func (r resultCounts) without(o resultCounts) resultCounts {
	return resultCounts{ok: max(r.ok-o.ok, 0), failed: max(r.failed-o.failed, 0), decayedAt: r.decayedAt}
}

// count returns the decayed number of results.
func (r resultCounts) count() float64 { return r.ok + r.failed }

// failureRate returns the share of failures, 0 when there are no results.
func (r resultCounts) failureRate() float64 {
	if r.count() == 0 {
		return 0
	}
	return r.failed / r.count()
}

// endpointState says whether an endpoint gets requests.
type endpointState uint8

// States of an endpoint.
const (
	stateActive  endpointState = iota
	stateEjected               // no requests until probeAt, then one probe
	stateProbing               // one probe is in flight, no other requests
)

// health is the state of one endpoint that follows from its results.
type health struct {
	counts           resultCounts
	latency          float64       // moving average, seconds; 0 before the first sample
	latencyUpdatedAt time.Duration // time of the last update of latency
	failureStreak    int           // failures since the last success
	state            endpointState
	probeAt          time.Duration // earliest time of the next probe
	probeInterval    time.Duration // from the last ejection to its probe; 0 when never ejected
	restoredAt       time.Duration // time of the last recovery
}

// isUntried reports whether the endpoint has had no result.
func (h *health) isUntried() bool { return h.latency == 0 && h.counts.count() == 0 }

// endpointLatencyWeight is the weight of a new sample in an endpoint's moving
// average.
const endpointLatencyWeight = 0.2

// observeLatency adds a latency sample. A failure can only raise the average,
// because a fast failure must not make an endpoint look fast.
func (h *health) observeLatency(now time.Duration, seconds float64, ok bool) {
	if !ok && seconds <= h.latency {
		return
	}
	h.latencyUpdatedAt = now
	if h.latency == 0 {
		h.latency = seconds
		return
	}
	h.latency += endpointLatencyWeight * (seconds - h.latency)
}

// expectedLatency returns the average at now, in seconds. An old average tends
// towards the average of the service, so that a slow endpoint is tried again.
func (h *health) expectedLatency(now, halfLife time.Duration, serviceLatency float64) float64 {
	if h.latency == 0 {
		return serviceLatency
	}
	age := float64(now-h.latencyUpdatedAt) / float64(halfLife)
	return serviceLatency + (h.latency-serviceLatency)/(1+age)
}

// failurePenalty is the extra cost of an endpoint that always fails, as a
// multiple of the cost of a healthy one.
const failurePenalty = 20

// priorSamples is the number of assumed successes added to the results, so
// that few results have little effect.
const priorSamples = 2

// penalty returns the factor by which failures raise an endpoint's cost.
func (h *health) penalty(now, halfLife time.Duration) float64 {
	if h.counts.failed == 0 {
		return 1
	}
	factor := 1 / (1 + float64(now-h.counts.decayedAt)/float64(halfLife))
	failureShare := h.counts.failed * factor / (h.counts.count()*factor + priorSamples)
	return 1 + failurePenalty*failureShare
}

// ejectionPolicy holds the settings for the ejection of outliers.
type ejectionPolicy struct {
	margin           float64
	minSamples       float64
	maxEjectedShare  float64
	probeInterval    time.Duration
	maxProbeInterval time.Duration
	halfLife         time.Duration
}

// roundingSlack prevents a product such as 0.3*10 from being rounded down to
// 2.
const roundingSlack = 1e-9

// shouldEject decides after a failure whether an endpoint is an outlier
// compared with the others and may be ejected, given that ejected of total
// endpoints already are.
func (p ejectionPolicy) shouldEject(h *health, others resultCounts, ejected, total int) bool {
	if h.state != stateActive {
		return false
	}
	if ejected+1 > int(p.maxEjectedShare*float64(total)+roundingSlack) {
		return false
	}
	return p.failsMoreThanOthers(h.counts, others.failureRate()) || p.failsInARow(h.failureStreak, others.failureRate())
}

const (
	// minOthersFailureRate is the lower bound for the failure rate assumed for
	// the other endpoints.
	minOthersFailureRate = 0.001
	// maxChanceProbability is the probability below which failures are not
	// attributed to chance.
	maxChanceProbability = 1e-9
)

// failsMoreThanOthers reports whether an endpoint's results are worse than
// those of the others by more than chance explains. When some requests fail on
// all endpoints, no endpoint stands out and the result is false.
func (p ejectionPolicy) failsMoreThanOthers(own resultCounts, others float64) bool {
	// The counts decay from the first result on, hence the tolerance of 0.5.
	if own.count() < p.minSamples-0.5 {
		return false
	}
	return own.failureRate() >= others+p.margin && chernoffBound(own.count(), own.failureRate(), others) <= maxChanceProbability
}

// failsInARow reports whether a streak of failures is longer than chance
// explains. It detects a sudden fault that earlier successes would hide in the
// failure rate.
func (p ejectionPolicy) failsInARow(streak int, others float64) bool {
	return float64(streak) >= p.minSamples && chernoffBound(float64(streak), 1, others) <= maxChanceProbability
}

// chernoffBound returns an upper bound on the probability that at least the
// given share of n results are failures when the true rate is that of the
// others. The share must be at least that rate.
func chernoffBound(n, share, others float64) float64 {
	p := min(max(others, minOthersFailureRate), 1-minOthersFailureRate)
	divergence := relativeEntropyTerm(share, p) + relativeEntropyTerm(1-share, 1-p)
	return math.Exp(-n * divergence)
}

// relativeEntropyTerm returns q*log(q/p), and 0 when q is 0.
func relativeEntropyTerm(q, p float64) float64 {
	if q == 0 {
		return 0
	}
	return q * math.Log(q/p)
}

// observe counts a result.
func (h *health) observe(now, halfLife time.Duration, ok bool) {
	h.counts = h.counts.decayed(now, halfLife).with(ok)
	h.failureStreak++
	if ok {
		h.failureStreak = 0
	}
}

// eject stops requests to the endpoint until the next probe.
func (p ejectionPolicy) eject(now time.Duration, h *health) {
	h.state = stateEjected
	h.probeInterval = p.nextProbeInterval(h.probeInterval)
	h.probeAt = now + h.probeInterval
}

// nextProbeInterval doubles the interval before the next probe.
func (p ejectionPolicy) nextProbeInterval(last time.Duration) time.Duration {
	if last == 0 {
		return p.probeInterval
	}
	return min(2*last, p.maxProbeInterval)
}

// handleProbeResult ejects the endpoint again or restores it. A restored
// endpoint keeps its counts: its cost stays higher than that of others until
// new successes outweigh them, and it is ejected at the first relapse.
func (p ejectionPolicy) handleProbeResult(now time.Duration, h *health, ok bool) {
	if !ok {
		p.eject(now, h)
		return
	}
	h.state = stateActive
	h.restoredAt = now
}

// cancelProbe makes another probe due when a probe gave no result.
func (h *health) cancelProbe(now time.Duration) {
	h.state = stateEjected
	h.probeAt = now
}

// resetProbeInterval resets the doubled interval when the endpoint has been
// active for longer than maxProbeInterval.
func (p ejectionPolicy) resetProbeInterval(now time.Duration, h *health) {
	if h.state == stateActive && now-h.restoredAt > p.maxProbeInterval {
		h.probeInterval = 0
	}
}

// latencyEstimate holds the moving averages of a service's latency and of its
// mean deviation, in seconds; zero before the first sample.
type latencyEstimate struct {
	mean      float64
	deviation float64
}

// serviceLatencyWeight is the weight of a new sample in the moving averages of
// a service.
const serviceLatencyWeight = 0.02

// upperBoundDeviations is the number of mean deviations above the mean within
// which most requests finish.
const upperBoundDeviations = 2

// with returns t with one more sample.
func (l latencyEstimate) with(sample float64) latencyEstimate {
	if l.mean == 0 {
		return latencyEstimate{mean: sample, deviation: sample / upperBoundDeviations}
	}
	l.deviation += serviceLatencyWeight * (math.Abs(sample-l.mean) - l.deviation)
	l.mean += serviceLatencyWeight * (sample - l.mean)
	return l
}

// upperBound returns the time within which most requests are answered.
func (l latencyEstimate) upperBound() time.Duration {
	return seconds(l.mean + upperBoundDeviations*l.deviation)
}
