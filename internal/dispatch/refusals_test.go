package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/refusal"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Guards against machines that are never told of a full queue, or not told that it is full no longer. A
// leader without plan.Config.Overload tells them nothing.
func TestLeaderListsTheQueueThatItRefuses(t *testing.T) {
	for _, overload := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			p := newTestCell(t)
			p.register("ready")
			p.overload = overload
			p.takeOver()
			wide := work.Step{TaskCount: 1, TaskResources: api.Resources{MilliCPU: 32000}, Estimate: 30 * time.Second}
			n := byte(0)
			submit := func(s work.Step) assist.StoreOutcome {
				n++
				return p.runner.Store(t.Context(), []platform.Record{p.recordOf(n, s)})[0].Outcome
			}
			for range 2 { // the executor is busy for a long time; the forecast sees its runs once they have started
				for submit(wide) == assist.Stored && n < 20 {
				}
				time.Sleep(time.Second)
			}
			refused := 0
			for range 10 {
				if submit(wide) == assist.TooBusy {
					refused++
				}
				time.Sleep(100 * time.Millisecond)
			}
			news := p.runner.refusals.news(40, time.Now())
			switch {
			case refused < 10:
				t.Errorf("%d of 10 refused; the test needs a full cell", refused)
			case !overload && news != nil:
				t.Errorf("listed without Overload: %+v", news)
			case overload && (news == nil || len(news.Refused) != 1 || news.Refused[0].Queue != "q" || news.AtMs <= 0):
				t.Errorf("news %+v, want queue q", news)
			}
			time.Sleep(2 * time.Second)
			if news := p.runner.refusals.news(40, time.Now()); news != nil {
				t.Errorf("listed 2 s after the last refusal: %+v", news)
			}
			p.stop()
		})
	}
}

// Guards against refusing a repeated submission of a job whose append is in progress: while the store
// doesn't answer, the leader lists no queue of a job that it has accepted.
func TestQueueOfAJobInProgressIsNotListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestCell(t)
		p.register("ready")
		p.overload = true
		p.takeOver()
		key := refusal.Key{Queue: "q"}
		listed := func() bool { // as if admission refused jobs of the queue for a while
			p.runner.refusals.mu.Lock()
			now := time.Now()
			for i := range 10 {
				at := now.Add(time.Duration(i-9) * 100 * time.Millisecond)
				p.runner.refusals.recorder.Refused(key, refusal.Size{}, time.Second, at)
			}
			p.runner.refusals.mu.Unlock()
			return p.runner.refusals.news(1, now) != nil
		}
		p.store.setStalled(true)
		p.submit(1)
		time.Sleep(1200 * time.Millisecond) // the submission has been abandoned; its append is still repeated
		if listed() {
			t.Error("listed while the append of an accepted job is in progress")
		}
		p.store.setStalled(false)
		time.Sleep(2 * time.Second)
		if !listed() {
			t.Error("not listed after the job was stored")
		}
		p.stop()
	})
}
