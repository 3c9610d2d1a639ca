package filter

import (
	"context"
	"fmt"
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/skylarklock/skylarklock/api"
)

const (
	limitShards = 16
	// maxCallersPerShard bounds the callers tracked in one shard. Callers
	// without requests in flight are dropped first.
	maxCallersPerShard = 4096
	// contentionShare is the share of MaxInFlight above which CallerShare is
	// enforced.
	contentionShare = 0.5
	// averageWeight is the weight of the latest request in a caller's average
	// duration.
	averageWeight = 0.2
)

// limiter limits each caller's rate and concurrency and the share of batch
// requests. It refuses requests and never delays them.
type limiter struct {
	limits      Limits
	maxInFlight int64
	callerShare int64 // maximum requests of one caller under contention
	batchShare  int64
	retryAfter  time.Duration
	inFlight    atomic.Int64
	batch       atomic.Int64
	seed        maphash.Seed
	shards      [limitShards]limitShard
}

type limitShard struct {
	mu      sync.Mutex
	callers map[string]*callerState
}

// callerState is guarded by its shard's lock.
type callerState struct {
	shard           *limitShard
	rate            *rate.Limiter
	spec            api.LimitsSpec // limits that rate was created from
	inFlight        int64
	averageDuration time.Duration // of recent requests
}

func newLimiter(s Settings, limits Limits) *limiter {
	l := &limiter{
		limits:      limits,
		maxInFlight: int64(s.MaxInFlight),
		callerShare: max(int64(s.CallerShare*float64(s.MaxInFlight)), 1),
		batchShare:  max(int64(s.BatchShare*float64(s.MaxInFlight)), 1),
		retryAfter:  s.RetryAfter,
		seed:        maphash.MakeSeed(),
	}
	for i := range l.shards {
		l.shards[i].callers = make(map[string]*callerState)
	}
	return l
}

// admit admits one request of caller or refuses it immediately.
func (l *limiter) admit(caller string, class api.Class, now time.Time) (*callerState, *api.Refusal) {
	if class == api.ClassBatch && l.batch.Add(1) > l.batchShare {
		l.batch.Add(-1)
		return nil, api.NotRun(api.ReasonClassLimit, l.retryAfter, "batch requests use their share of this entry VM")
	}
	total := l.inFlight.Add(1)
	state, refusal := l.admitCaller(caller, total, now)
	if refusal != nil {
		l.releaseClass(class)
	}
	return state, refusal
}

func (l *limiter) releaseClass(class api.Class) {
	l.inFlight.Add(-1)
	if class == api.ClassBatch {
		l.batch.Add(-1)
	}
}

func (l *limiter) admitCaller(caller string, total int64, now time.Time) (*callerState, *api.Refusal) {
	spec := l.limits.CallerLimits(caller)
	s := &l.shards[maphash.String(l.seed, caller)%limitShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state(caller, spec)
	if spec.Concurrency > 0 && state.inFlight >= int64(spec.Concurrency) {
		return nil, state.refuse(l, fmt.Sprintf("caller %s has %d requests in flight", caller, state.inFlight))
	}
	if float64(total) > contentionShare*float64(l.maxInFlight) && state.inFlight >= l.callerShare {
		return nil, state.refuse(l, fmt.Sprintf("caller %s uses its share of a busy entry VM", caller))
	}
	if refusal := state.takeToken(caller, now); refusal != nil {
		return nil, refusal
	}
	state.inFlight++
	return state, nil
}

// state returns the caller's state and creates it, or its rate limiter when
// the limits have changed.
func (s *limitShard) state(caller string, spec api.LimitsSpec) *callerState {
	state, ok := s.callers[caller]
	if !ok {
		s.evictIdle()
		state = &callerState{shard: s}
		s.callers[caller] = state
	}
	if !ok || state.spec != spec {
		state.spec = spec
		state.rate = newRate(spec)
	}
	return state
}

func newRate(spec api.LimitsSpec) *rate.Limiter {
	if spec.RatePerSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(spec.RatePerSecond), max(spec.Burst, 1))
}

// evictIdle drops one caller without requests in flight when the shard is
// full.
func (s *limitShard) evictIdle() {
	if len(s.callers) < maxCallersPerShard {
		return
	}
	for name, state := range s.callers {
		if state.inFlight == 0 {
			delete(s.callers, name)
			return
		}
	}
}

// refuse returns a refusal whose retry delay is the caller's average request
// duration, after which a slot is probably free.
func (s *callerState) refuse(l *limiter, detail string) *api.Refusal {
	after := s.averageDuration
	if after == 0 {
		after = l.retryAfter
	}
	return api.NotRun(api.ReasonCallerLimit, after, detail)
}

// takeToken takes one token, or refuses with the time until the caller's next
// token as the retry delay.
func (s *callerState) takeToken(caller string, now time.Time) *api.Refusal {
	if s.rate == nil || s.rate.AllowN(now, 1) {
		return nil
	}
	reservation := s.rate.ReserveN(now, 1)
	after := reservation.DelayFrom(now)
	reservation.CancelAt(now)
	return api.NotRun(api.ReasonCallerLimit, after, fmt.Sprintf("caller %s is over its rate", caller))
}

func (l *limiter) release(state *callerState, class api.Class, took time.Duration) {
	l.releaseClass(class)
	state.shard.mu.Lock()
	defer state.shard.mu.Unlock()
	state.inFlight--
	if state.averageDuration == 0 {
		state.averageDuration = took
		return
	}
	state.averageDuration += time.Duration(averageWeight * float64(took-state.averageDuration))
}

// limit refuses requests beyond the limits of their caller or class. Services
// with the baseline policy are not limited.
func (c *Chain) limit(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) (*api.Answer, error) {
		if x.Spec.RoutingPolicy == BaselinePolicy {
			return next(ctx, x)
		}
		start := c.deps.Now()
		state, refusal := c.limits.admit(x.Request.Caller, x.Request.Class, start)
		if refusal != nil {
			return nil, c.refuseUnmarked(x, refusal)
		}
		defer func() {
			c.limits.release(state, x.Request.Class, c.deps.Now().Sub(start))
		}()
		return next(ctx, x)
	}
}
