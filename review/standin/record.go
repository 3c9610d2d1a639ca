package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// recorder keeps what was sent, answered and run, for record.txt and for the checks.
type recorder struct {
	began time.Time

	mu     sync.Mutex
	events []event
	doneAt map[string]doneEnd        // by task: the newest end as done
	active map[string]int            // by task: runs at work
	lapses map[string][]time.Time    // by executor
	twice  []string                  // starts after an end as done, which count once that end is taken note of
	long   map[string]int            // by executor: longest list of ends that an answer was cut from
	starts map[string]int            // by task
	ends   map[string]map[string]int // by job, by how
}

type event struct {
	at   time.Time
	text string
}

type doneEnd struct {
	executor string
	run      int
	at       time.Time
	notedAt  time.Time // zero: not taken note of
	again    []string  // starts since
}

func newRecorder() *recorder {
	return &recorder{
		began: time.Now(), doneAt: make(map[string]doneEnd), active: make(map[string]int), lapses: make(map[string][]time.Time),
		long: make(map[string]int), starts: make(map[string]int), ends: make(map[string]map[string]int),
	}
}

func (r *recorder) eventf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(fmt.Sprintf(format, args...))
}

func (r *recorder) add(text string) { r.events = append(r.events, event{time.Now(), text}) }

func (r *recorder) started(executor, task string, run int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("%s starts %s run %d", executor, task, run)
	r.add(text)
	r.starts[task]++
	if r.active[task]++; r.active[task] > 1 {
		r.twice = append(r.twice, text+" beside another run")
	}
	if d, ok := r.doneAt[task]; ok {
		d.again = append(d.again, text)
		r.doneAt[task] = d
	}
}

func (r *recorder) ended(executor, task string, run int, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(fmt.Sprintf("%s ends %s run %d %s", executor, task, run, how))
	r.active[task]--
	job, _, _ := strings.Cut(task, ".")
	if r.ends[job] == nil {
		r.ends[job] = make(map[string]int)
	}
	r.ends[job][how]++
	if _, known := r.doneAt[task]; how == "done" && !known {
		r.doneAt[task] = doneEnd{executor: executor, run: run, at: time.Now()}
	}
}

func (r *recorder) noted(executor, task string, run int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(fmt.Sprintf("%s: end of %s run %d is taken note of", executor, task, run))
	if d, ok := r.doneAt[task]; ok && d.executor == executor && d.run == run && d.notedAt.IsZero() {
		d.notedAt = time.Now()
		r.doneAt[task] = d
	}
}

func (r *recorder) lapsed(executor string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(executor + ": lease lapses")
	r.lapses[executor] = append(r.lapses[executor], time.Now())
}

func (r *recorder) longList(executor string, ends int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ends > r.long[executor] {
		r.long[executor] = ends
	}
}

// twiceBreaks returns what breaks the rule TWICE: two runs of a task at the same time, or a start after
// a run has ended done, if that end is taken note of then or later and the lease of its executor has not
// lapsed between the two.
func (r *recorder) twiceBreaks() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	breaks := append([]string(nil), r.twice...)
	for task, d := range r.doneAt {
		if len(d.again) == 0 || d.notedAt.IsZero() {
			continue
		}
		lapsed := false
		for _, at := range r.lapses[d.executor] {
			lapsed = lapsed || at.After(d.at) && at.Before(d.notedAt)
		}
		if !lapsed {
			breaks = append(breaks, fmt.Sprintf("%s ended done (run %d, %.3f s, taken note of at %.3f s); later: %s",
				task, d.run, d.at.Sub(r.began).Seconds(), d.notedAt.Sub(r.began).Seconds(), strings.Join(d.again, "; ")))
		}
	}
	return breaks
}

// write writes the record with its verdict.
func (r *recorder) write(path string, verdict []string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	for _, line := range verdict {
		fmt.Fprintln(w, line)
	}
	fmt.Fprintln(w)
	r.mu.Lock()
	for _, e := range r.events {
		fmt.Fprintf(w, "%9.3f  %s\n", e.at.Sub(r.began).Seconds(), e.text)
	}
	r.mu.Unlock()
	if err := w.Flush(); err != nil {
		return err
	}
	return f.Close()
}

// startCount returns how many runs have begun.
func (r *recorder) startCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, starts := range r.starts {
		n += starts
	}
	return n
}
