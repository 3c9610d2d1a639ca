package leader

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// slowLog delays each append.
type slowLog struct{ platform.PartitionLog }

func (l slowLog) Append(ctx context.Context, a platform.Append) (platform.Offset, error) {
	time.Sleep(100 * time.Millisecond)
	return l.PartitionLog.Append(ctx, a)
}

// A process that is asked to stop while its claim is in progress ends planning when it
// steps down: OnLost is called for each OnElected.
func TestStopDuringClaimEndsLeadership(t *testing.T) {
	for after := time.Duration(0); after < 400*time.Millisecond; after += 10 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			c := election(t, 1)[0]
			c.cfg.Log = slowLog{c.cfg.Log}
			stop := run(c)
			time.Sleep(after)
			c.Release(context.Background())
			time.Sleep(5 * time.Second)
			leads, gained := c.state()
			if c.Current().Epoch == 0 && leads {
				t.Errorf("asked to stop after %v: stepped down but still leads, after %d claims", after, gained)
			}
			stop()
		})
	}
}

// A leader that can't plan resigns instead of renewing its claim, and a process is
// elected soon after.
func TestLeaderThatResignsIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := election(t, 1, 1)
		defer run(all[0])()
		time.Sleep(time.Second)
		before := all[0].Current().Epoch
		if leads, _ := all[0].state(); !leads {
			t.Fatal("the only process doesn't lead")
		}
		defer run(all[1])()
		time.Sleep(time.Second)
		all[0].Resign()
		time.Sleep(time.Second)
		now := all[1].Current()
		first, _ := all[0].state()
		second, _ := all[1].state()
		if now.Epoch <= before || first == second {
			t.Errorf("epoch %d after %d; the first leads: %t, the second: %t", now.Epoch, before, first, second)
		}
	})
}
