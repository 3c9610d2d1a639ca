package router

import (
	"math"
	"time"
)

// rate counts successes and failures that lose their weight with time.
type rate struct {
	ok     float64
	failed float64
	at     time.Duration // when both were last decayed
}

// decayed returns r as it stands at now.
func (r rate) decayed(now, halfLife time.Duration) rate {
	factor := math.Exp2(-float64(now-r.at) / float64(halfLife))
	return rate{ok: r.ok * factor, failed: r.failed * factor, at: now}
}

// with returns r with one more result.
func (r rate) with(ok bool) rate {
	if ok {
		r.ok++
	} else {
		r.failed++
	}
	return r
}

// without returns r less the results in o, taken at the same instant.
func (r rate) without(o rate) rate {
	return rate{ok: max(r.ok-o.ok, 0), failed: max(r.failed-o.failed, 0), at: r.at}
}

// count returns the weight of all results.
func (r rate) count() float64 { return r.ok + r.failed }

// share returns the share of failures, 0 when there is no result.
func (r rate) share() float64 {
	if r.count() == 0 {
		return 0
	}
	return r.failed / r.count()
}

// standing says whether an endpoint gets requests.
type standing uint8

// Standings of an endpoint.
const (
	standingGood    standing = iota
	standingEjected          // nothing until probeAt, then one request
	standingProbing          // one request is out, nothing else
)

// health is what results say about one endpoint.
type health struct {
	rate     rate
	latency  float64       // moving average, seconds; 0 before the first
	sampled  time.Duration // when latency was last updated
	streak   int           // failures since the last success
	standing standing
	probeAt  time.Duration // first instant of the next probe
	interval time.Duration // from the last ejection to its probe; 0 when never ejected
	restored time.Duration // last return
}

// latencyWeight is the weight of a new sample in the moving average.
const latencyWeight = 0.2

// observeLatency takes a sample. A failure only ever raises the average: a
// fast failure must not make an endpoint look fast.
func (h *health) observeLatency(now time.Duration, seconds float64, ok bool) {
	if !ok && seconds <= h.latency {
		return
	}
	h.sampled = now
	if h.latency == 0 {
		h.latency = seconds
		return
	}
	h.latency += latencyWeight * (seconds - h.latency)
}

// expectedLatency returns the average as it counts at now, in seconds: an old
// one tends towards the fleet's, so that a slow endpoint is tried again.
func (h *health) expectedLatency(now, halfLife time.Duration, fleet float64) float64 {
	if h.latency == 0 {
		return fleet
	}
	age := float64(now-h.sampled) / float64(halfLife)
	return fleet + (h.latency-fleet)/(1+age)
}

// failurePenalty is the factor by which an endpoint that always fails costs
// more than a sound one, less one.
const failurePenalty = 20

// priorSamples weighs the results of an endpoint that has few.
const priorSamples = 2

// penalty returns the factor by which failures raise an endpoint's cost.
func (h *health) penalty(now, halfLife time.Duration) float64 {
	if h.rate.failed == 0 {
		return 1
	}
	factor := 1 / (1 + float64(now-h.rate.at)/float64(halfLife))
	share := h.rate.failed * factor / (h.rate.count()*factor + priorSamples)
	return 1 + failurePenalty*share
}

// outlierRule holds the settings of ejection.
type outlierRule struct {
	margin      float64
	samples     float64
	maxShare    float64
	interval    time.Duration
	maxInterval time.Duration
	halfLife    time.Duration
}

// roundingSlack keeps a product such as 0.3*10 from being rounded down to 2.
const roundingSlack = 1e-9

// shouldEject decides after a failure whether an endpoint is an outlier among
// the others and may be ejected: ejected of total already are.
func (o outlierRule) shouldEject(h *health, others rate, ejected, total int) bool {
	if h.standing != standingGood {
		return false
	}
	if ejected+1 > int(o.maxShare*float64(total)+roundingSlack) {
		return false
	}
	return o.failsMore(h.rate, others.share()) || o.failsInARow(h.streak, others.share())
}

const (
	// minFleetShare is taken for the others' rate when they hardly fail.
	minFleetShare = 0.001
	// maxChance is the chance below which failures are no accident.
	maxChance = 1e-9
)

// failsMore reports whether own results are so much worse than the others'
// that chance doesn't explain it, as when some requests fail everywhere.
func (o outlierRule) failsMore(own rate, others float64) bool {
	// The counts decay from the first result on, hence the tolerance.
	if own.count() < o.samples-0.5 {
		return false
	}
	return own.share() >= others+o.margin && chance(own.count(), own.share(), others) <= maxChance
}

// failsInARow reports whether a run of failures is no accident. It finds a
// sudden fault that the good results of earlier times would cover up.
func (o outlierRule) failsInARow(streak int, others float64) bool {
	return float64(streak) >= o.samples && chance(float64(streak), 1, others) <= maxChance
}

// chance returns Chernoff's bound on the chance that, of n results, at least
// the given share are failures when the others' rate is the true one. The
// share must be at least that rate.
func chance(n, share, others float64) float64 {
	p := min(max(others, minFleetShare), 1-minFleetShare)
	divergence := weighLog(share, p) + weighLog(1-share, 1-p)
	return math.Exp(-n * divergence)
}

// weighLog returns q times the logarithm of q/p, 0 for q of 0.
func weighLog(q, p float64) float64 {
	if q == 0 {
		return 0
	}
	return q * math.Log(q/p)
}

// observe counts a result.
func (h *health) observe(now, halfLife time.Duration, ok bool) {
	h.rate = h.rate.decayed(now, halfLife).with(ok)
	h.streak++
	if ok {
		h.streak = 0
	}
}

// eject takes the endpoint out until the next probe.
func (o outlierRule) eject(now time.Duration, h *health) {
	h.standing = standingEjected
	h.interval = o.nextInterval(h.interval)
	h.probeAt = now + h.interval
}

// nextInterval doubles the wait before the next probe.
func (o outlierRule) nextInterval(last time.Duration) time.Duration {
	if last == 0 {
		return o.interval
	}
	return min(2*last, o.maxInterval)
}

// endProbe decides what the probe's result means. An endpoint that comes back
// keeps its counts: it costs more than others until it has proved itself, and
// goes at the first relapse.
func (o outlierRule) endProbe(now time.Duration, h *health, ok bool) {
	if !ok {
		o.eject(now, h)
		return
	}
	h.standing = standingGood
	h.restored = now
}

// abandonProbe returns to waiting when a probe told nothing.
func (h *health) abandonProbe(now time.Duration) {
	h.standing = standingEjected
	h.probeAt = now
}

// forgive forgets old ejections after a long time without one.
func (o outlierRule) forgive(now time.Duration, h *health) {
	if h.standing == standingGood && now-h.restored > o.maxInterval {
		h.interval = 0
	}
}

// serviceTime is the moving average of a service's latency and of its mean
// deviation, in seconds; zero before the first sample.
type serviceTime struct {
	mean      float64
	deviation float64
}

// serviceWeight is the weight of a new sample.
const serviceWeight = 0.02

// deviations is how many mean deviations above the mean most requests stay.
const deviations = 2

// with returns t with one more sample.
func (t serviceTime) with(sample float64) serviceTime {
	if t.mean == 0 {
		return serviceTime{mean: sample, deviation: sample / deviations}
	}
	t.deviation += serviceWeight * (math.Abs(sample-t.mean) - t.deviation)
	t.mean += serviceWeight * (sample - t.mean)
	return t
}

// most returns the time within which most requests are answered.
func (t serviceTime) most() time.Duration {
	return seconds(t.mean + deviations*t.deviation)
}
