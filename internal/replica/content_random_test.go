package replica

import (
	"flag"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

var contentSeeds = flag.Uint64("content-seeds", 300, "number of seeds of TestContentIsKeptUpToItsPosition")

// contentPlay is a machine whose reads, restores and deliveries overlap in any order, beside a store that is written to.
type contentPlay struct {
	rng     *rand.Rand
	store   []platform.Record
	written map[work.ID]int // number of records of each job
	replica *Replica
	calls   []func() bool // calls under way; each continues one and returns whether it has ended
	reads   int           // of them
	restore bool          // one of them is a restore
	now     time.Time
}

// Guards against content that counts as kept and was never read, however reads, restores, deliveries and changes of the role
// overlap: a leader without it doesn't plan jobs, or plans them from former progress.
func TestContentIsKeptUpToItsPosition(t *testing.T) {
	for seed := range *contentSeeds {
		p := &contentPlay{
			rng: rand.New(rand.NewPCG(seed, 1)), written: make(map[work.ID]int),
			replica: New(time.Minute, logging.Nop()), now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC),
		}
		p.replica.completeRestore(0)
		for step := range 400 {
			p.step(t)
			if id, missing := p.missing(); missing != "" {
				t.Fatalf("seed %d, step %d: job %s: %s", seed, step, id, missing)
			}
		}
	}
}

func (p *contentPlay) step(t *testing.T) {
	switch n := p.rng.IntN(10); {
	case n < 2:
		p.write(t)
	case n < 3:
		p.deliverSummaries()
	case n < 4 && p.reads < 2:
		p.startRead()
	case n < 5 && !p.restore:
		p.startRestore()
	case n < 6:
		p.startContent()
	case n == 6 && p.rng.IntN(3) == 0:
		p.replica.DropContent()
	case n == 6:
		p.replica.KeepContent()
	case len(p.calls) > 0:
		i := p.rng.IntN(len(p.calls))
		if p.calls[i]() {
			p.calls = slices.Delete(p.calls, i, i+1)
		}
	}
}

// write appends the next record of a job: its submission, its progress, or what replaces both after its end.
func (p *contentPlay) write(t *testing.T) {
	id := work.ID{byte(p.rng.IntN(12) + 1)}
	n := p.written[id]
	p.written[id]++
	add := func(kind work.Kind, value []byte, err error) {
		if err != nil {
			t.Fatal(err)
		}
		p.store = append(p.store, platform.Record{Offset: platform.Offset(len(p.store)), Key: work.Key(kind, id), Value: value})
	}
	switch {
	case n == 0:
		value, err := work.EncodeJob(&work.Job{ID: id, Queue: "q"})
		add(work.KindJob, value, err)
	case n < 6:
		value, err := work.EncodeProgress(&work.Progress{State: work.Running, FinishedBelow: n})
		add(work.KindProgress, value, err)
	case n == 6:
		value, err := work.EncodeOutcome(&work.Outcome{State: work.Completed, Queue: "q"})
		add(work.KindOutcome, value, err)
		add(work.KindJob, nil, nil)
		add(work.KindProgress, nil, nil)
	}
}

// end returns the end of the partition.
func (p *contentPlay) end() platform.Offset { return platform.Offset(len(p.store)) }

// deliverSummaries delivers what clients may ask for, as a leader does that has applied a part of the partition.
func (p *contentPlay) deliverSummaries() {
	from := p.replica.Position()
	to := from + platform.Offset(p.rng.IntN(int(p.end()-from)+1))
	jobs := make(map[work.ID]work.Summary)
	for _, r := range p.store[from:to] {
		kind, id, _ := work.ParseKey(r.Key)
		if len(r.Value) == 0 {
			continue // the outcome stands for the deletions
		}
		s := work.Summary{ID: id, Queue: "q"}
		switch kind {
		case work.KindOutcome:
			s.State = work.Completed
		case work.KindProgress:
			s.State = work.Running
		}
		jobs[id] = s
	}
	var list []work.Summary
	for _, s := range jobs {
		list = append(list, s)
	}
	p.replica.ApplySummaries(Span{From: from, To: to}, list, p.now)
}

// startRead sends a read, which is answered with what the store holds now.
func (p *contentPlay) startRead() {
	from := p.replica.readFrom()
	next := min(from+platform.Offset(p.rng.IntN(8)), p.end())
	records := slices.Clone(p.store[from:next])
	p.reads++
	p.calls = append(p.calls, func() bool {
		p.reads--
		p.replica.apply(records, next, p.now)
		return true
	})
}

// startRestore starts to read the newest record of each key, in pages of three.
func (p *contentPlay) startRestore() {
	end, before, after := p.end(), p.replica.beginRestore(), ""
	p.restore = true
	p.calls = append(p.calls, func() bool {
		newest := make(map[string]platform.Record)
		for _, r := range p.store {
			newest[r.Key] = r
		}
		var page []platform.Record
		for _, r := range newest {
			if r.Key > after && len(r.Value) > 0 {
				page = append(page, r)
			}
		}
		slices.SortFunc(page, func(a, b platform.Record) int { return strings.Compare(a.Key, b.Key) })
		page = page[:min(3, len(page))]
		if len(page) > 0 {
			p.replica.apply(page, 0, p.now)
			after = page[len(page)-1].Key
			return false
		}
		p.replica.completeRestore(end)
		p.replica.completeContent(end, before)
		p.restore = false
		return true
	})
}

// startContent sends the newest records of a span, as the leader knows the machine's position.
func (p *contentPlay) startContent() {
	from, kept := p.replica.ContentPosition()
	if !kept {
		return
	}
	to := min(from+platform.Offset(p.rng.IntN(8)), p.end())
	newest := make(map[string]platform.Offset)
	for _, r := range p.store[from:to] {
		newest[r.Key] = r.Offset
	}
	var records []platform.Record
	for _, r := range p.store[from:to] {
		if newest[r.Key] == r.Offset {
			records = append(records, r)
		}
	}
	p.calls = append(p.calls, func() bool {
		p.replica.ApplyContent(Span{From: from, To: to}, records, p.now)
		return true
	})
}

// missing returns a job of which content is missing that counts as kept, and what is missing.
func (p *contentPlay) missing() (work.ID, string) {
	end, kept := p.replica.ContentPosition()
	if !kept {
		return work.ID{}, ""
	}
	for _, r := range p.store[:end] {
		kind, id, _ := work.ParseKey(r.Key)
		e, known := p.replica.Get(id)
		switch {
		case kind == work.KindOutcome && !known:
			return id, "outcome is missing"
		case p.written[id] > 6: // its outcome may have been read in place of these
		case kind == work.KindJob && e.Job == nil:
			return id, "submission is missing"
		case kind == work.KindProgress && (e.Progress == nil || e.progressOffset < r.Offset):
			return id, "progress is missing or out of date"
		}
	}
	return work.ID{}, ""
}
