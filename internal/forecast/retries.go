package forecast

import "time"

// Bounds of the time after which a client is asked to submit a refused job again.
const (
	MinRetryAfter = time.Second
	MaxRetryAfter = 60 * time.Second
)

// retrySlackShare is the part of a job's slack by which it may return before there is capacity
// for it. With all of its slack it would be at the edge of a refusal again; with none,
// capacity would be idle when clients return late.
const retrySlackShare = 0.5

// Retries spreads the retries of refused jobs over the capacity that accepted work leaves: the capacity for an expected retry is booked, so that the next refused job is
// sent to a later time. Bookings are kept from profile to profile. They don't affect whether
// other jobs are accepted, since a client may not return. The zero value has no bookings.
// It is not safe for concurrent use.
type Retries struct {
	profile  *Profile
	layer    layer     // of the profile, with the bookings
	builtAt  time.Time // moment of the profile
	booked   []packed  // by bucket
	overflow work      // booked work without a place within the horizon
}

// Next returns after which time, from now on, a refused job should be submitted again, and
// books it. The profile was built for the moment builtAt.
func (r *Retries) Next(p *Profile, builtAt time.Time, j *Job) time.Duration {
	if p != r.profile {
		r.move(p, builtAt)
	}
	passed := j.Submitted
	retry := Job{Steps: make([]Step, len(j.Steps))}
	copy(retry.Steps, j.Steps)
	for i := range retry.Steps {
		retry.Steps[i].NotBefore = max(retry.Steps[i].NotBefore, passed+MinRetryAfter)
	}
	run := j.shortestRun()
	_, end := p.placeJob(&r.layer, &retry, func(d *Demand, _ bool) { r.book(p, d) })
	wait := end - run - passed // wait of a job that is submitted now
	slack := max(0, j.Objective-run)
	at := wait - time.Duration(retrySlackShare*float64(slack))
	return min(MaxRetryAfter, max(MinRetryAfter, at))
}

// book takes the capacity of p.starts from the layer and remembers it.
func (r *Retries) book(p *Profile, d *Demand) {
	before := r.layer.overflow
	run := max(1, bucketsIn(d.Run))
	for _, s := range p.starts {
		for b := s.bucket; b < min(s.bucket+run, p.buckets); b++ {
			r.booked[b] += d.Task.times(s.tasks).pack()
		}
	}
	p.book(&r.layer, d)
	r.overflow = r.overflow.plus(r.layer.overflow.minus(before))
}

// move applies the bookings to a newer profile. Those before its moment are dropped: the
// clients have returned or will not.
func (r *Retries) move(p *Profile, builtAt time.Time) {
	elapsed := max(0, builtAt.Sub(r.builtAt))
	if r.profile == nil {
		elapsed = 0
	}
	booked := make([]packed, p.buckets)
	// The part of a bucket that the moments don't have in common is kept for the next move.
	shift := int(min(elapsed/BucketWidth, MaxHorizon/BucketWidth))
	if shift < len(r.booked) {
		copy(booked, r.booked[shift:])
	}
	r.overflow = r.overflow.done(p.total, elapsed)
	r.builtAt = r.builtAt.Add(time.Duration(shift) * BucketWidth)
	if r.profile == nil || elapsed >= MaxHorizon {
		r.builtAt = builtAt
	}
	r.profile, r.booked = p, booked
	r.layer = p.accepted.clone()
	for b := range r.layer.free {
		r.layer.free[b] -= booked[b]
	}
	r.layer.overflow = r.layer.overflow.plus(r.overflow)
}

// shortestRun returns how long the job takes if none of its steps waits for capacity.
func (j *Job) shortestRun() time.Duration {
	var buffer [8]time.Duration
	ends := append(buffer[:0], make([]time.Duration, len(j.Steps))...)
	longest := time.Duration(0)
	for i := range j.Steps {
		s := &j.Steps[i]
		start := time.Duration(0)
		for _, before := range s.DependsOn {
			start = max(start, ends[before])
		}
		ends[i] = start + s.Run
		longest = max(longest, ends[i])
	}
	return longest
}
