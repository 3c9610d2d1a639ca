package refusal

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/work"
)

// maxAge is the age above which news has no effect. Deliveries arrive at least every 200 ms. It is below
// the 1 s that is allowed, because a job that was accepted since the news was made may be unknown here.
const maxAge = 600 * time.Millisecond

// baselineDrift is the drift between the clocks of two machines, as a share of the elapsed time, that the
// estimate of a delivery's delay allows for.
const baselineDrift = 1e-3

// Board holds the newest news of an entry machine.
type Board struct {
	epoch      api.Epoch // of the leader that sent the news
	news       News
	receivedAt time.Time
	entries    map[Key]*held
	offset     time.Duration // smallest difference between the time of receipt and News.AtMs
	offsetAt   time.Time     // when offset was updated; zero: never
	start      time.Time     // origin of the times of receipt
}

// held is an entry that is in force.
type held struct {
	Entry
	nextPass time.Time // from when the next submission is passed to the leader
}

// Verdict is the decision about a submission.
type Verdict struct {
	Refused  bool
	Age      time.Duration // of the news
	Capacity time.Duration // after which capacity is expected
	Spread   time.Duration // over which callers should return after that
}

// Receive takes the news that came with a delivery of the leader of an epoch. Nil news refuses nothing. An
// older list than the newest, which has been overtaken on the way, is ignored. self distinguishes this
// machine from the others, so that they don't all pass submissions to the leader at the same time.
func (b *Board) Receive(epoch api.Epoch, news *News, self api.NodeID, now time.Time) {
	if epoch < b.epoch {
		return
	}
	if epoch > b.epoch {
		*b = Board{epoch: epoch, start: now}
	}
	if news == nil {
		b.entries = nil
		return
	}
	if news.AtMs < b.news.AtMs {
		return
	}
	b.news, b.receivedAt = *news, now
	b.updateOffset(now)
	previous := b.entries
	b.entries = make(map[Key]*held, len(news.Refused))
	for _, e := range news.Refused {
		h := &held{Entry: e}
		if p := previous[e.key()]; p != nil {
			h.nextPass = p.nextPass
		} else {
			h.nextPass = now.Add(share(xxhash.Sum64String(string(self)+"\x00"+e.Queue), e.interval()))
		}
		b.entries[e.key()] = h
	}
}

func (e Entry) interval() time.Duration { return time.Duration(e.IntervalMs) * time.Millisecond }

// share returns the part of d that a hash selects, below d.
func share(hash uint64, d time.Duration) time.Duration {
	const steps = 1 << 20
	return time.Duration(float64(d) * float64(hash%steps) / steps)
}

// excess returns how much longer than the fastest delivery the newest one was under way.
func (b *Board) excess() time.Duration {
	return max(0, b.receivedAt.Sub(b.start)-b.sentAt()-b.offset)
}

// sentAt returns when the newest news was made, on the leader's clock.
func (b *Board) sentAt() time.Duration { return time.Duration(b.news.AtMs) * time.Millisecond }

// updateOffset lowers the offset between the clocks of both machines if the newest delivery was the
// fastest so far. The offset grows slowly, so that a clock that runs faster than the leader's isn't taken
// for an ever longer delay.
func (b *Board) updateOffset(now time.Time) {
	observed := now.Sub(b.start) - b.sentAt()
	allowed := b.offset + time.Duration(baselineDrift*float64(now.Sub(b.offsetAt)))
	if b.offsetAt.IsZero() || observed < allowed {
		allowed = observed
	}
	b.offset, b.offsetAt = allowed, now
}

// age returns the age of the newest news: the time since its receipt, and how much longer than others the
// delivery was under way. A delivery that waited in a buffer while this process was suspended is old.
func (b *Board) age(now time.Time) time.Duration { return now.Sub(b.receivedAt) + b.excess() }

// Decide returns whether a submission is refused. leader is the epoch of the current leader, 0 if it isn't
// known.
func (b *Board) Decide(k Key, size Size, leader api.Epoch, now time.Time) Verdict {
	h := b.entries[k]
	if h == nil || leader == 0 || leader != b.epoch {
		return Verdict{}
	}
	age := b.age(now)
	if age > maxAge || !h.bounds().contain(size) {
		return Verdict{}
	}
	if !now.Before(h.nextPass) {
		h.nextPass = now.Add(h.interval())
		return Verdict{}
	}
	return Verdict{
		Refused:  true,
		Age:      age,
		Capacity: max(0, time.Duration(h.CapacityMs)*time.Millisecond-age),
		Spread:   max(0, time.Duration(h.SpreadMs)*time.Millisecond),
	}
}

// RetryAfter returns the time after which the client of a refused job should return, in whole seconds and
// at least 1 s. It depends on the job's ID, so that clients refused in the same second return spread over
// the time in which capacity is expected. It is at most remaining, the time that the client has left, if
// that is at least 1 s; 0 means that the client stated none.
func (v Verdict) RetryAfter(id work.ID, remaining time.Duration) time.Duration {
	from, to := v.Capacity, v.Capacity+v.Spread
	if limit := remaining.Truncate(time.Second); remaining > 0 {
		to = min(to, max(limit, time.Second))
		from = min(from, to/2)
	}
	wait := from + share(xxhash.Sum64(id[:]), to-from)
	return max(time.Second, wait.Truncate(time.Second)+time.Second) // rounded up: share is below its argument
}
