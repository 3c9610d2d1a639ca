package refusal

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/skylarklock/skylarklock/api"
)

func epochOf(n uint64) api.Epoch { return api.Epoch(n) }

func nodeID(n int) api.NodeID { return api.NodeID("m" + strconv.Itoa(n)) }

// refuse records refusals of full every 100 ms from start on, n in all, and returns the time of the last.
func refuse(r *Recorder, n int, start time.Time) time.Time {
	now := start
	for i := range n {
		now = start.Add(time.Duration(i) * 100 * time.Millisecond)
		r.Refused(full, typical, 2*time.Second, now)
	}
	return now
}

// Guards against declaring a queue from single refusals, which admission mixes with acceptances, and
// against a declaration that outlasts its cause.
func TestDeclarationNeedsRecentRefusalsOnly(t *testing.T) {
	var r Recorder
	now := refuse(&r, 3, epochStart)
	if got := r.Entries(40, now); len(got) != 0 {
		t.Errorf("declared after 200 ms: %v", got)
	}
	now = refuse(&r, 4, epochStart)
	got := r.Entries(40, now)
	if len(got) != 1 || got[0].key() != full || got[0].CapacityMs != 2000 || got[0].IntervalMs != (40*passInterval).Milliseconds() {
		t.Fatalf("after 300 ms: %+v", got)
	}
	if len(r.Entries(40, now.Add(maxSilence))) != 1 || len(r.Entries(40, now.Add(maxSilence+1))) != 0 {
		t.Error("want a declaration until maxSilence after the last refusal")
	}
	r.Refused(full, typical, time.Second, now.Add(10*time.Second))
	if len(r.Entries(40, now.Add(10*time.Second))) != 0 {
		t.Error("declared by one refusal after a pause")
	}
}

// Guards against a repeated submission being refused while the first one is accepted but not yet known to
// the machines.
func TestAcceptedJobEndsTheDeclarationUntilItIsSettled(t *testing.T) {
	var r Recorder
	now := refuse(&r, 5, epochStart)
	r.Accepted(full)
	if len(r.Entries(40, now)) != 0 {
		t.Fatal("declared although a job was accepted")
	}
	now = refuse(&r, 10, now)
	if len(r.Entries(40, now)) != 0 {
		t.Error("declared although an accepted job isn't settled")
	}
	r.Settled(full)
	if len(r.Entries(40, now)) != 1 {
		t.Error("not declared after the accepted job was settled and others were refused")
	}
}

// A job that was small or patient when it was refused counts for a limited time, because there may be
// capacity for such jobs since.
func TestBoundsFollowRecentRefusals(t *testing.T) {
	var r Recorder
	r.Refused(full, Size{1, 1, time.Hour}, time.Second, epochStart)
	now := refuse(&r, 30, epochStart.Add(100*time.Millisecond))
	got := r.Entries(1, now)
	if len(got) != 1 || got[0].Processing != typical.Processing || got[0].ObjectiveMs != 1000 {
		t.Errorf("bounds after 3 s: %+v, want those of the recent jobs", got)
	}
}

// Whatever happens, a machine that has the leader's newest list refuses a job only if the leader refused
// one that is no larger, and one that is no less patient, within two periods, and none of the queue was accepted since.
func TestMachineRefusesOnlyWhatTheLeaderRefused(t *testing.T) {
	type event struct {
		at   time.Time
		size Size
	}
	rapid.Check(t, func(t *rapid.T) {
		var r Recorder
		var b Board
		var refused []event // since the last accepted job
		unsettled := 0
		now := epochStart
		size := func() Size {
			return Size{
				Processing: rapid.Int64Range(1, 5).Draw(t, "processing"),
				Memory:     rapid.Int64Range(1, 5).Draw(t, "memory"),
				Objective:  time.Duration(rapid.Int64Range(1, 5).Draw(t, "objective")) * time.Second,
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 250).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 19).Draw(t, "action") {
			case 0:
				r.Accepted(full)
				refused = nil
				unsettled++
			case 1, 2:
				if unsettled > 0 {
					r.Settled(full)
					unsettled--
				}
			default:
				s := size()
				r.Refused(full, s, time.Second, now)
				refused = append(refused, event{now, s})
			}
			b.Receive(1, &News{AtMs: now.Sub(epochStart).Milliseconds(), Refused: r.Entries(40, now)}, "m", now)
			s := size()
			if !b.Decide(full, s, 1, now).Refused {
				continue
			}
			processing, memory, objective, recent := false, false, false, 0
			for _, e := range refused {
				if now.Sub(e.at) <= 2*boundsPeriod+maxSilence {
					recent++
					processing = processing || e.size.Processing <= s.Processing
					memory = memory || e.size.Memory <= s.Memory
					objective = objective || e.size.Objective >= s.Objective
				}
			}
			if unsettled > 0 || recent < minRefused || !processing || !memory || !objective {
				t.Fatalf("refused %+v with %d unsettled jobs after %+v", s, unsettled, refused)
			}
		}
	})
}
