package leader

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// lateLog does what it is asked at once and answers late or not at all.
type lateLog struct {
	*memoryLog
	late   atomic.Int64 // nanoseconds until it answers
	lose   atomic.Int32 // so many of the next appends have no answer
	claims atomic.Int32 // that were stored
}

func (l *lateLog) Append(ctx context.Context, a platform.Append) (platform.Offset, error) {
	at, err := l.memoryLog.Append(ctx, a)
	if rec, bad := decode(a.Records[0].Value); err == nil && bad == nil && rec.Kind == claims {
		l.claims.Add(1)
	}
	if l.lose.Add(-1) >= 0 {
		<-ctx.Done()
		return 0, platform.ErrUncertain
	}
	if !l.answer(ctx) {
		return 0, platform.ErrUncertain
	}
	return at, err
}

func (l *lateLog) Read(ctx context.Context, p platform.Partition, from platform.Offset, wait time.Duration) (platform.RecordBatch, error) {
	batch, err := l.memoryLog.Read(ctx, p, from, wait)
	if !l.answer(ctx) {
		return platform.RecordBatch{}, platform.ErrUncertain
	}
	return batch, err
}

// answer waits until the answer is there, and reports whether it was waited for.
func (l *lateLog) answer(ctx context.Context) bool {
	select {
	case <-time.After(time.Duration(l.late.Load())):
		return true
	case <-ctx.Done():
		return false
	}
}

// succession plays a leader that steps down once the log is as prepare makes it, and
// returns how long it takes until the other process leads, and its claims.
func succession(t *testing.T, prepare func(*lateLog)) (time.Duration, int32) {
	t.Helper()
	all := election(t, 0.8, 0.8)
	log := &lateLog{memoryLog: &memoryLog{}}
	all[0].cfg.Log, all[1].cfg.Log = log, log
	defer run(all[0])()
	time.Sleep(time.Second)
	defer run(all[1])()
	time.Sleep(time.Second)
	if leads, _ := all[0].state(); !leads {
		t.Fatal("the first process doesn't lead")
	}
	former := log.claims.Load()
	all[0].Release(context.Background())
	prepare(log)
	began := time.Now()
	for {
		if leads, _ := all[1].state(); leads {
			return time.Since(began), log.claims.Load() - former
		}
		if time.Since(began) > 20*time.Second {
			t.Fatal("nobody leads")
		}
		time.Sleep(time.Millisecond)
	}
}

// Users saw 44 to 102 of 100 requests fail for 4 s and longer, four times in a day,
// after the leader had been stopped or killed while the store was slow (286 ms a call).
// Order of events: another process claimed; its append was given 200 ms, so the answer
// came too late; it read on, found its claim, threw it away and claimed again, 0.9 s
// later, while all others asked it in vain. Cause: what an append may take was learned
// from own appends only, and a process that hasn't led has made none; the reading right
// before the claim had taken as long. Evidence: an epoch that was claimed twice by one
// process, and others' line that the process at the leader's address doesn't lead.
func TestClaimAtAStoreThatHasBecomeSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const late = 290 * time.Millisecond
		took, claimed := succession(t, func(l *lateLog) { l.late.Store(int64(late)) })
		// The release is read, then the end once more, then the claim is stored.
		if most := 3*late + 300*time.Millisecond; took > most || claimed != 1 {
			t.Errorf("leads after %v and %d claims, want %v at most and one", took, claimed, most)
		}
	})
}

// A claim that was stored and whose answer was lost is a claim: thrown away it cost one
// more, and others a leader that says it doesn't lead.
func TestClaimWhoseAnswerIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		took, claimed := succession(t, func(l *lateLog) { l.lose.Store(1) })
		if timing := DefaultTiming(); claimed != 1 || took > timing.MinAppendTimeout+timing.ClaimJitter+300*time.Millisecond {
			t.Errorf("leads after %v and %d claims, want one", took, claimed)
		}
	})
}

// A process that could plan nothing any more doesn't take up a claim that it finds.
func TestClaimThatIsFoundByAProcessThatCannotPlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := election(t, 0.8)[0]
		log := &lateLog{memoryLog: &memoryLog{}}
		log.lose.Store(1)
		c.cfg.Log = log
		c.cfg.Suitability = func() Suitability {
			if log.claims.Load() > 0 {
				return Unsynced
			}
			return Suitable
		}
		defer run(c)()
		time.Sleep(5 * time.Second)
		if leads, gained := c.state(); leads || gained > 0 {
			t.Errorf("it leads: %v, after %d claims taken up", leads, gained)
		}
	})
}

// A leader that is stopped while the store takes 150 ms a call was followed after reading
// that it has stepped down, reading once more and claiming. One that is told claims.
func TestInvitedProcessClaimsAtOnce(t *testing.T) {
	const call = 150 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		all := election(t, 0.8, 0.8)
		log := &lateLog{memoryLog: &memoryLog{}}
		log.late.Store(int64(call))
		all[0].cfg.Log, all[1].cfg.Log = log, log
		all[0].cfg.OnReleased = func(i Invitation) {
			all[0].Current() // what is told may ask the elector
			go all[1].Invite(i)
		}
		defer run(all[0])()
		time.Sleep(2 * time.Second)
		defer run(all[1])()
		time.Sleep(2 * time.Second)
		all[0].Release(context.Background())
		stopped := time.Now()
		for {
			if leads, _ := all[1].state(); leads {
				break
			}
			if time.Since(stopped) > 10*time.Second {
				t.Fatal("nobody leads")
			}
			time.Sleep(time.Millisecond)
		}
		if took := time.Since(stopped); took > call+50*time.Millisecond {
			t.Errorf("it is followed %v after it has stepped down, want one call", took)
		}
	})
}

// An invitation says where the partition ended. A claim elsewhere that came since wins.
func TestLateInvitationClaimsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := election(t, 0.8, 0.8, 0.8)
		var late Invitation
		all[0].cfg.OnReleased = func(i Invitation) { late = i }
		for _, c := range all {
			defer run(c)()
			time.Sleep(time.Second)
		}
		all[0].Release(context.Background())
		time.Sleep(2 * time.Second)
		before := all[1].Current()
		all[2].Invite(late)
		all[1].Invite(late)
		time.Sleep(2 * time.Second)
		if now := all[1].Current(); now != before || now.Epoch == 0 {
			t.Errorf("leader %+v, was %+v", now, before)
		}
	})
}
