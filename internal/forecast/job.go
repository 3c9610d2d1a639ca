package forecast

import "time"

// Step is one step of a job.
type Step struct {
	Demand
	DependsOn []int // indexes of the steps that must have ended before; all are lower than its own
}

// Job is a job that is submitted.
type Job struct {
	Steps     []Step
	Submitted time.Duration // from the moment of the profile; all other times of the job are from there as well
	// SincePlacement is the time from the newest placement of waiting steps to the submission.
	SincePlacement time.Duration
	// Objective is the time until which the job should have ended.
	Objective time.Duration
}

// Forecast says when a job is expected to start and to end, as durations from the moment of
// the profile.
type Forecast struct {
	Times               // of the job's first and last start
	End   time.Duration // expected end
	// FreeNow is true if the tasks of all steps that depend on no other step fit into what is
	// free at present.
	FreeNow bool
	// InTimeEnd is the expected end if only those steps ahead of the job were served that can
	// still be in time. If it is later than the objective, the capacity until then is booked by
	// such steps.
	InTimeEnd time.Duration
}

// Start returns when the tasks of a demand would start if it were placed behind a number of
// the waiting steps.
func (p *Profile) Start(d Demand, position int) Times {
	return p.place(&p.layers[p.layerOf(position)], &d, nil)
}

// Forecast returns the forecast of a job that is placed behind a number of the waiting steps.
// It doesn't change the profile.
func (p *Profile) Forecast(j *Job, position int) Forecast {
	l := &p.layers[p.layerOf(position)]
	f := Forecast{FreeNow: p.freeNow(l, j)}
	f.Times, f.End = p.placeJob(l, j, nil)
	f.InTimeEnd = f.End
	if f.End > j.Objective {
		_, f.InTimeEnd = p.placeJob(&layer{free: l.inTime}, j, nil)
	}
	return f
}

// Add books an accepted job behind a number of the waiting steps. Steps behind it are left
// where they are; the job takes other capacity of the same amount from what is seen by demands
// behind them, until the next profile is built.
func (p *Profile) Add(j *Job, position int, f Forecast) {
	for i := p.layerOf(position); i < len(p.layers); i++ {
		p.bookJob(&p.layers[i], j, f)
	}
	p.bookJob(&p.accepted, j, f)
	p.noteAdded(j, position)
}

// bookJob books a job in one layer.
func (p *Profile) bookJob(l *layer, j *Job, f Forecast) {
	p.placeJob(l, j, func(d *Demand, isFirst bool) {
		if f.FreeNow && isFirst {
			// It starts in capacity that is kept free for a gang, and jobs submitted at the same
			// moment must not be accepted because of the same capacity.
			p.starts = append(p.starts[:0], booking{p.bucketOf(j.Submitted), d.Tasks})
		}
		p.book(l, d)
		if l.inTime != nil {
			p.book(&layer{free: l.inTime}, d)
		}
	})
}

// placeJob places the steps of a job in a layer, each after those that it depends on. It calls
// place, if that is not nil, for each step after its starts were determined. Otherwise nothing
// is booked, and steps of the job that may run at the same time don't take capacity from each
// other.
func (p *Profile) placeJob(l *layer, j *Job, place func(d *Demand, isFirst bool)) (t Times, end time.Duration) {
	t.Known = true
	var buffer [8]time.Duration
	ends := append(buffer[:0], make([]time.Duration, len(j.Steps))...)
	for i := range j.Steps { // steps that others depend on come first
		s := &j.Steps[i]
		d := s.Demand
		for _, before := range s.DependsOn {
			d.NotBefore = max(d.NotBefore, ends[before])
		}
		times := p.place(l, &d, nil)
		if i == 0 {
			t.First = times.First
		}
		t.First = min(t.First, times.First)
		t.Last = max(t.Last, times.Last)
		t.Known = t.Known && times.Known
		ends[i] = times.Last + d.Run
		end = max(end, ends[i])
		if place != nil {
			place(&d, len(s.DependsOn) == 0)
		}
	}
	return t, end
}

// freeMargin is the part of a job's width that must be free at present. What a job can use of the
// free capacity is known only roughly, and a refusal while executors are free is worse than a job
// that is late.
const freeMargin = 0.6

// freeNow reports whether the steps that depend on no other fit into what was free when the profile
// was built, beside what is booked.
func (p *Profile) freeNow(l *layer, j *Job) bool {
	left := l.free[p.bucketOf(j.Submitted)].unpack()
	for i := range j.Steps {
		s := &j.Steps[i]
		if len(s.DependsOn) > 0 || s.Tasks <= 0 {
			continue
		}
		amount := amountOf(p.free, s.Task)
		if amount == 0 {
			return false
		}
		slots := 0.0
		for k := range p.executors {
			slots += float64(int(amountOf(p.executors[k].Free, s.Task)))
		}
		shape := p.shapeOf(&s.Demand)
		if shape.share*slots*min(1, amountOf(left, s.Task)/amount) < freeMargin*float64(shape.width(s.Tasks)) {
			return false
		}
		left = left.sub(s.Task.times(s.Tasks))
	}
	return true
}

// bucketOf returns the bucket that contains a time.
func (p *Profile) bucketOf(at time.Duration) int { return min(int(at/BucketWidth), p.buckets-1) }
