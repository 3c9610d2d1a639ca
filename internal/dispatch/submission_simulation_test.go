package dispatch

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

var (
	submissionSeeds     = flag.Uint64("submission-seeds", 30, "number of seeds of TestStoredJobsArePlannedOnce")
	firstSubmissionSeed = flag.Uint64("first-submission-seed", 0, "first seed of TestStoredJobsArePlannedOnce")
)

// Guards against disagreement between what the store holds and what the leader plans, and against untrue answers, while the store
// refuses appends, loses them or their answers or applies them late, other machines append the same jobs, clients cancel, and
// leaders are replaced. At rest each stored job that isn't cancelled has exactly one run, and no other has any.
func TestStoredJobsArePlannedOnce(t *testing.T) {
	for i := range *submissionSeeds {
		seed := *firstSubmissionSeed + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { newSubmissionPlay(t, seed).run() })
		})
	}
}

// appendFault is what happens to an append.
type appendFault int

const (
	noFault    appendFault = iota
	refusal                // the store refuses it
	lostAnswer             // it is applied, and the answer is lost
	lostAppend             // it is never applied, and there is no answer
	lateAppend             // it is applied seconds later, and there is no answer
)

// faultyLog is a store with faults in appends of records.
type faultyLog struct {
	*clusterStore
	mu         sync.Mutex
	faultShare int // in percent
}

func (l *faultyLog) setFaultShare(percent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faultShare = percent
}

func (l *faultyLog) drawFault() appendFault {
	l.mu.Lock()
	defer l.mu.Unlock()
	if int(l.random.between(0, 99)) >= l.faultShare {
		return noFault
	}
	return appendFault(l.random.between(time.Duration(refusal), time.Duration(lateAppend)))
}

func (l *faultyLog) Append(ctx context.Context, a platform.Append) (platform.Offset, error) {
	fault := noFault
	if len(a.Records) > 0 {
		fault = l.drawFault()
	}
	time.Sleep(l.random.between(time.Millisecond, 40*time.Millisecond))
	switch fault {
	case noFault:
		return l.apply(a)
	case refusal:
		return 0, platform.ErrUnavailable
	case lostAnswer:
		_, _ = l.apply(a) // the answer is lost
	case lateAppend:
		time.AfterFunc(l.random.between(200*time.Millisecond, 6*time.Second), func() { _, _ = l.apply(a) })
	}
	<-ctx.Done()
	return 0, platform.ErrUncertain
}

// submissionPlay is one play of a cell whose jobs are submitted to the leader and appended by other machines.
type submissionPlay struct {
	*testCell
	log    *faultyLog
	random *randomSource

	mu       sync.Mutex
	jobs     map[work.ID]*submittedJob
	problems []string
}

// submittedJob is what is known about a job that clients have submitted.
type submittedJob struct {
	appendedElsewhere bool // an append of another machine may be applied
	mayBeStored       bool // an answer was Stored or StoreUnknown
	cancelled         bool
}

func newSubmissionPlay(t *testing.T, seed uint64) *submissionPlay {
	p := &submissionPlay{testCell: newTestCell(t), random: &randomSource{rng: rand.New(rand.NewPCG(seed, 3))}, jobs: make(map[work.ID]*submittedJob)}
	p.log = &faultyLog{clusterStore: &clusterStore{memoryStore: p.store, random: p.random, sequences: make(map[uint64]map[uint64]platform.Offset)}}
	p.testCell.log = p.log
	p.executor.onStart = func(run platform.Run) {
		if !p.store.recordsStart(run) {
			p.addProblem("run %d of %s is ordered, and no record says so", run.Number, run.Task)
		}
	}
	return p
}

func (p *submissionPlay) run() {
	p.register("ready")
	p.takeOver()
	const length, step = 20 * time.Second, 20 * time.Millisecond
	nextTakeover, nextShare := p.random.between(2*time.Second, 10*time.Second), time.Duration(0)
	for elapsed := time.Duration(0); elapsed < length; elapsed += step {
		time.Sleep(step)
		if elapsed >= nextShare {
			nextShare += p.random.between(300*time.Millisecond, 2*time.Second)
			p.log.setFaultShare(int(p.random.between(-1, 2)) * 40)
		}
		if elapsed >= nextTakeover {
			nextTakeover += p.random.between(time.Second, 8*time.Second)
			p.takeOver()
		}
		if p.random.between(0, 3) == 0 {
			p.submitSomehow()
		}
	}
	p.log.setFaultShare(0)
	time.Sleep(time.Minute) // late appends are applied, and orders that weren't sent are void
	p.check()
	p.stop()
}

// submitSomehow submits a job to the leader and has another machine append it, each once, twice or not at all.
func (p *submissionPlay) submitSomehow() {
	p.mu.Lock()
	n := len(p.jobs)
	id, j := work.ID{byte(n >> 8), byte(n), 7: byte(n)}, &submittedJob{}
	p.jobs[id] = j
	p.mu.Unlock()
	job := &work.Job{ID: id, Queue: "q", Service: "svc", AcceptedMs: time.Now().UnixMilli(),
		Steps: []work.Step{{TaskCount: 1 + int(p.random.between(0, 2)), TaskResources: api.Resources{MilliCPU: 10}, Estimate: time.Hour}}}
	value, err := work.EncodeJob(job)
	if err != nil {
		p.t.Fatal(err)
	}
	record := platform.Record{Key: work.Key(work.KindJob, id), Value: value}
	for range p.random.between(0, 2) {
		delay := p.random.between(0, 800*time.Millisecond)
		go func() {
			time.Sleep(delay)
			p.submitToLeader(j, record)
		}()
	}
	if p.random.between(0, 1) == 0 {
		j.appendedElsewhere = true
		delay := p.random.between(0, 800*time.Millisecond)
		go func() {
			time.Sleep(delay)
			p.appendAsOther(record)
		}()
	}
	if p.random.between(0, 9) == 0 {
		j.cancelled = true
		delay := p.random.between(0, 2*time.Second)
		cancellation := platform.Record{Key: work.Key(work.KindCancellation, id), Value: work.CancellationValue}
		go func() {
			time.Sleep(delay)
			p.store.put(jobsPartition, cancellation.Key, string(cancellation.Value))
			p.submitToLeader(j, cancellation)
		}()
	}
}

// submitToLeader submits a record and checks the answer.
func (p *submissionPlay) submitToLeader(j *submittedJob, r platform.Record) {
	known := p.replica.HasRequest(r.Key)
	ctx, cancel := context.WithTimeout(p.t.Context(), 3*time.Second)
	defer cancel()
	outcome := p.runner.Store(ctx, []platform.Record{r})[0].Outcome
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case outcome == assist.Stored && !p.holds(r.Key):
		p.problems = append(p.problems, fmt.Sprintf("%s is answered as stored and isn't", r.Key))
	case outcome != assist.Stored && known:
		p.problems = append(p.problems, fmt.Sprintf("%s was known to be stored, the answer is %v", r.Key, outcome))
	}
	kind, _, _ := work.ParseKey(r.Key)
	if kind == work.KindJob && (outcome == assist.Stored || outcome == assist.StoreUnknown) {
		j.mayBeStored = true
	}
}

// appendAsOther appends a record as another machine does.
func (p *submissionPlay) appendAsOther(r platform.Record) {
	deadline := time.Now().Add(3 * time.Second)
	for time.Now().Before(deadline) {
		ctx, cancel := context.WithTimeout(p.t.Context(), 800*time.Millisecond)
		_, err := p.log.Append(ctx, platform.Append{Partition: jobsPartition, Records: []platform.Record{r}})
		cancel()
		if err == nil {
			return
		}
		time.Sleep(30 * time.Millisecond)
	}
}

// holds reports whether the store holds a record with a key.
func (p *submissionPlay) holds(key string) bool {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	for _, r := range p.store.partitions[jobsPartition.Topic] {
		if r.Key == key {
			return true
		}
	}
	return false
}

func (p *submissionPlay) addProblem(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.problems = append(p.problems, fmt.Sprintf(format, args...))
}

// check compares the runs with what the store holds.
func (p *submissionPlay) check() {
	p.executor.mu.Lock()
	runs := make(map[work.TaskKey]int)
	for run := range p.executor.running {
		runs[run.Task]++
	}
	p.executor.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	planned := 0
	for id, j := range p.jobs {
		stored := p.holds(work.Key(work.KindJob, id))
		if stored && !j.appendedElsewhere && !j.mayBeStored {
			p.problems = append(p.problems, fmt.Sprintf("job %s is stored, and no answer says that it may be", id))
		}
		e, _ := p.replica.Get(id)
		want := 0
		if stored && !j.cancelled {
			want = 1
			planned++
		}
		for index := range 3 {
			key := work.TaskKey{StepKey: work.StepKey{Job: id}, Index: index}
			if e.Job != nil && index >= e.Job.Steps[0].TaskCount {
				continue
			}
			if runs[key] != want {
				p.problems = append(p.problems, fmt.Sprintf("task %s has %d runs, want %d", key, runs[key], want))
			}
		}
	}
	if missing := p.counters.Get(missingJobs); missing != nil {
		p.problems = append(p.problems, fmt.Sprintf("%s stored jobs were missing from the planner", missing))
	}
	for i, problem := range p.problems {
		if i < 5 {
			p.t.Error(problem)
		}
	}
	if planned < len(p.jobs)/3 {
		p.t.Errorf("%d of %d jobs are planned", planned, len(p.jobs))
	}
}
