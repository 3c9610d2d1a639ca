package logread

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// Jobs that the lines of the tests name.
const (
	jobA = "00000000000000a1"
	jobB = "00000000000000b2"
)

// at formats a log line that a machine wrote at a second after 15:00.
func at(second float64, node, rest string) string {
	t := time.Date(2026, 9, 6, 15, 0, 0, 0, time.UTC).Add(time.Duration(second * float64(time.Second)))
	return fmt.Sprintf("time=%q level=info %s node=%s data_centre=z1\n", t.Format(time.RFC3339Nano), rest, node)
}

// mustRead reads lines and fails the test if that fails.
func mustRead(t *testing.T, text string) *Lines {
	t.Helper()
	lines, err := Read(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

// A line is read with and without a collector's prefix and without a final line break.
// Lines that hold no event or are too long are skipped.
func TestLinesAreReadWithAndWithoutAPrefix(t *testing.T) {
	lines := mustRead(t, "  10.7137 front-1 "+at(1, "n1", `msg="job ended" job=`+jobA+` epoch=7 ended_ms=12 detail="a=\"b\" c"`)+
		"no event\n\n"+at(2, "n1", `msg=`)+strings.Repeat("x", maxLineBytes+1)+"\n"+strings.TrimSuffix(at(3, "n2", `msg=plain`), "\n"))
	if len(lines.All) != 2 || lines.Skipped != 3 {
		t.Fatalf("%d lines and %d skipped, want 2 and 3", len(lines.All), lines.Skipped)
	}
	l := lines.All[0]
	if n, ok := l.Int("ended_ms"); l.Message != "job ended" || l.Node != "n1" || l.Epoch != 7 || l.Number != 1 || n != 12 || !ok || l.Field("detail") != `a="b" c` {
		t.Errorf("line 1 read as %+v", l)
	}
	if l := lines.All[1]; l.Number != 6 || l.Message != "plain" {
		t.Errorf("last line without an end read as %+v", l)
	}
}

// The lines of each machine keep their order, and lines of a leader come after the first
// line of the leader before it, although clocks differ and jump.
func TestLinesAreOrderedDespiteClockSkew(t *testing.T) {
	// n2's clock is 20 s behind, and n1's jumps back.
	lines := mustRead(t, at(10, "n1", `msg="this process leads the cell" epoch=1`)+
		at(12, "n1", `msg=first epoch=1`)+
		at(5, "n1", `msg=second epoch=1`)+
		at(-6, "n2", `msg="this process leads the cell" epoch=9`)+
		at(-5, "n2", `msg=third epoch=9`)+
		at(-4, "n2", `msg=fourth`))
	var order []string
	for _, e := range lines.Ordered() {
		order = append(order, e.Message)
	}
	first, second := slices.Index(order, "first"), slices.Index(order, "second")
	began, third, fourth := slices.Index(order, "this process leads the cell"), slices.Index(order, "third"), slices.Index(order, "fourth")
	if began != 0 || first > second || third > fourth || third < 1 {
		t.Errorf("order %v", order)
	}
}

func TestTraceJob(t *testing.T) {
	jobEnded := func(advised, started, ended int, state string) string {
		return fmt.Sprintf(`msg="job ended" job=%s queue=q epoch=5 advised_ms=%d started_ms=%d ended_ms=%d state=%s`, jobA, advised, started, ended, state)
	}
	for _, c := range []struct {
		name         string
		lines        string
		outcome      Outcome
		cause        Cause
		decisiveLine int // line number; 0: none
	}{
		{"no line names the job", at(1, "n1", `msg="job ended" job=`+jobB), NotMentioned, CauseUnknown, 0},
		{"completed without delay", at(1, "n1", jobEnded(20, 40, 900, "completed")), Completed, CauseRunTime, 1},
		{"waited for advice", at(9, "n1", jobEnded(7487, 7502, 9182, "completed")), Completed, CauseAdviceWait, 1},
		{"waited for capacity", at(9, "n1", jobEnded(200, 7502, 9182, "completed")), Completed, CauseCapacityWait, 1},
		{"waited for a new leader", at(3, "n2", `msg="this process begins to plan for the cell" epoch=5`) + at(9, "n2", jobEnded(6000, 6100, 8900, "completed")), Completed, CauseNoLeader, 1},
		{"taken over by another leader", at(3, "n2", `msg="this process begins to plan for the cell" epoch=5`) + at(9, "n2", jobEnded(-1, -1, 8900, "completed")), Completed, CauseTakeover, 1},
		{"lost with an executor", at(3, "n1", `msg="executor is lost with its runs" epoch=5 lost="`+jobB+`.0.0.1/1:3 `+jobA+`.0.0.0/1:10"`) + at(9, "n1", jobEnded(20, 40, 8000, "completed")), Completed, CauseExecutorLost, 1},
		{"failed in all attempts", at(9, "n1", jobEnded(20, 40, 900, "failed")), Failed, CauseMaxAttempts, 1},
		{"crashed its executors", at(8, "n1", `msg="job is given up: executors were lost under one of its tasks again and again" job=`+jobA+` task=`+jobA+`.0.0.0 epoch=5`) + at(9, "n1", jobEnded(20, 40, 9000, "failed")), Failed, CauseCrashes, 1},
		{"cancelled", at(9, "n1", jobEnded(20, 40, 900, "cancelled")), Cancelled, CauseClientCancelled, 1},
		{"refused twice", at(1, "n1", `msg="request not confirmed" error="the store has been silent for a while" answered=503 job=`+jobA) + at(2, "n2", `msg="request not confirmed" error="the store has been silent for a while" answered=503 job=`+jobA), Refused, CauseStore, 2},
		{"outcome unknown, then completed", at(1, "n1", `msg="request not confirmed" error="context deadline exceeded" answered=504 job=`+jobA) + at(9, "n1", jobEnded(20, 40, 900, "completed")), Completed, CauseRunTime, 2},
		{"outcome unknown", at(1, "n1", `msg="request not confirmed" error="context deadline exceeded" answered=504 job=`+jobA), Unknown, CauseStore, 1},
		{"its client left", at(1, "n1", `msg="request not confirmed" error="context canceled" answered=504 job=`+jobA), Unknown, CauseClientLeft, 1},
		{"too much waits", at(1, "n1", `msg="job refused: too much waits" short_of=room job=`+jobA), Refused, CauseAdmission, 1},
		{"leader's link is full", at(1, "n1", `msg="job refused: this machine's link is full" job=`+jobA), Refused, CauseLinkFull, 1},
		{"machine is cut off", at(1, "n1", `msg="request refused: this machine is cut off" job=`+jobA), Refused, CauseCutOff, 1},
		{"no such job", at(1, "n1", `msg="no such job" job=`+jobA), NotFound, CauseUnknown, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			trace := TraceJob(mustRead(t, c.lines).Ordered(), jobA)
			decisiveLine := 0
			if trace.DecisiveEvent != nil {
				decisiveLine = trace.DecisiveEvent.Number
			}
			if trace.Outcome != c.outcome || trace.Cause != c.cause || decisiveLine != c.decisiveLine {
				t.Errorf("%s: %s by line %d, want %s: %s by line %d", trace.Outcome, trace.Cause, decisiveLine, c.outcome, c.cause, c.decisiveLine)
			}
		})
	}
}

// A line that names several jobs counts for each of them, and each job is counted once.
func TestTallyCountsEachJobOnce(t *testing.T) {
	lines := mustRead(t, at(1, "n1", `msg="executor is lost with its runs" epoch=5 lost="`+jobA+`.0.0.0/1:10 `+jobB+`.0.0.0/1:7"`)+
		at(2, "n1", `msg="job ended" queue=q epoch=5 advised_ms=1 started_ms=2 ended_ms=900 state=completed job=`+jobA)+
		at(3, "n1", `msg="job ended" queue=q epoch=5 advised_ms=1 started_ms=2 ended_ms=900 state=completed job=`+jobB))
	got := Tally(lines.Ordered())
	want := []Count{{Queue: "q", Outcome: Completed, Cause: CauseExecutorLost, Jobs: 2}}
	if !slices.Equal(got, want) {
		t.Errorf("tally %+v, want %+v", got, want)
	}
}

// The lines of a machine keep their order whatever the lines of all machines contain.
func TestOrderPreservesEachMachinesLines(t *testing.T) {
	const seeds = 200
	for seed := range uint64(seeds) {
		r := rand.New(rand.NewPCG(seed, 2))
		var text strings.Builder
		for range 40 {
			epoch := ""
			if r.IntN(2) == 0 {
				epoch = fmt.Sprintf(" epoch=%d", 1+r.IntN(4))
			}
			text.WriteString(at(r.Float64()*20, fmt.Sprintf("n%d", r.IntN(3)), "msg=m"+epoch))
		}
		last := make(map[string]int)
		for _, e := range mustRead(t, text.String()).Ordered() {
			if e.Number < last[e.Node] {
				t.Fatalf("seed %d: line %d of %s comes after its line %d", seed, e.Number, e.Node, last[e.Node])
			}
			last[e.Node] = e.Number
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add(at(1, "n1", `msg="job ended" job=`+jobA+` epoch=7 ended_ms=12`))
	f.Add(`time="x" msg="`)
	f.Add("time=2026-09-06T15:00:00Z msg=a lost=\"a.b/1 .\" epoch=-1 advised_ms=9999999999999999999")
	f.Fuzz(func(t *testing.T, text string) {
		lines, err := Read(strings.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		events := lines.Ordered()
		Tally(events)
		TraceJob(events, jobA)
	})
}

// An end decides the outcome also if its line lacks the time, so that a later answer to the client doesn't.
func TestEndWithoutTimeDecidesOutcome(t *testing.T) {
	lines, err := Read(strings.NewReader(`time="2026-09-06T15:00:02Z" level=info msg="job ended" epoch=3 job=00000000000000b2 node=n2 queue=q state=completed
time="2026-09-06T15:00:03Z" level=info msg="request not confirmed" answered=503 error="e" job=00000000000000b2 node=n1 queue=q
`))
	if err != nil {
		t.Fatal(err)
	}
	if trace := TraceJob(lines.Ordered(), "00000000000000b2"); trace.Outcome != Completed {
		t.Errorf("the outcome is %q, want %q", trace.Outcome, Completed)
	}
}

// The usage of a workspace is that of its newest line.
func TestWorkspaceUsage(t *testing.T) {
	lines, err := Read(strings.NewReader(`time="2026-09-06T15:00:02Z" level=info msg="usage of a workspace" cap_cpu=0 cap_memory_mb=64 epoch=3 held_by_cap=0 in_excess=0 node=n2 over_share=false runs=1 tasks_waiting=9 used_cpu=500 used_memory_mb=32 workspace=b
time="2026-09-06T15:00:07Z" level=info msg="usage of a workspace" cap_cpu=4000 cap_memory_mb=64 epoch=3 held_by_cap=5 in_excess=2 node=n2 over_share=true runs=8 tasks_waiting=7 used_cpu=4000 used_memory_mb=32 workspace=a
time="2026-09-06T15:00:07Z" level=info msg="usage of a workspace" cap_cpu=0 cap_memory_mb=64 epoch=3 held_by_cap=0 in_excess=0 node=n2 over_share=false runs=2 tasks_waiting=1 used_cpu=900 used_memory_mb=40 workspace=b
`))
	if err != nil {
		t.Fatal(err)
	}
	usage := WorkspaceUsage(lines.Ordered())
	if len(usage) != 2 || usage[0].Workspace != "a" || usage[0].HeldByCap != 5 || usage[0].InExcess != 2 || !usage[0].OverShare || usage[1].UsedMilliCPU != 900 || usage[1].Runs != 2 {
		t.Errorf("usage %+v", usage)
	}
}
