package assist

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/leader"
	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/replica"
	"github.com/skylarklock/skylarklock/internal/work"
)

// thinLink is a machine's link with a rate and one queue for everything that is
// sent by it.
type thinLink struct {
	rate float64 // bytes a second

	mu   sync.Mutex
	free time.Time
	sent int
}

// send returns when so many bytes have left.
func (l *thinLink) send(bytes int) {
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(bytes) / l.rate * float64(time.Second)))
	l.sent += bytes
	wait := l.free.Sub(now)
	l.mu.Unlock()
	time.Sleep(wait)
}

// frameBytes is what a call takes beside its arguments: frame, header of the call,
// packets.
const frameBytes = 100

// linkedCaller calls machines by a link.
type linkedCaller struct {
	link *thinLink

	mu       sync.Mutex
	machines map[string]*machine
}

func (c *linkedCaller) Call(ctx context.Context, addr, method string, args, reply any) error {
	body, err := cbor.Marshal(args)
	if err != nil {
		return err
	}
	c.link.send(len(body) + frameBytes)
	if err := ctx.Err(); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machines[addr].Call(ctx, addr, method, args, reply)
}

// Load of 90 executors: bytes a second of orders, reports and appends that were
// measured at 105 starts a second, and the records that 17 jobs a second bring.
const (
	otherBytes    = 130_000
	recordsPerS   = 220
	recordBytes   = 150
	changesPerS   = 50
	thinMachines  = 17
	thinLinkBytes = 250_000 // a second: 2 Mbit/s
)

// thinCell plays the load of a leader on a thin link for a while and returns the
// longest time that a renewal of its leadership took.
func thinCell(t *testing.T, deliver func(p *Publisher, l *thinLink, a replica.AppliedBatch)) (slowest time.Duration, machines map[string]*machine, end platform.Offset) {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 2))
	l := &thinLink{rate: thinLinkBytes}
	machines = make(map[string]*machine)
	h := NewPeers("self", nil, nil)
	var attached []Attachment
	for i := range thinMachines {
		name := fmt.Sprintf("m%d", i)
		machines[name] = &machine{position: 10, content: 10, whole: true}
		attached = append(attached, Attachment{Node: api.NodeID(name), Address: name, DataCentre: api.DataCentre(fmt.Sprintf("z%d", i%6)), Fitness: 0.12, HasContent: true})
	}
	c := &linkedCaller{link: l, machines: machines}
	p := NewPublisher(PublisherConfig{
		Self: leader.Leader{Epoch: 3, Node: "front-eagle-1", Incarnation: 1 << 60, Address: "10.1.0.13:7720"}, LinkBytesPerSecond: thinLinkBytes, Peers: h, Caller: c, BulkCaller: c,
		LastRenewal: func() leader.Renewal { return leader.Renewal{} }, OnReplaced: func(api.Epoch) {}, Logger: logging.Silent(),
	}, 10)
	ctx, cancel := context.WithCancel(t.Context())
	defer time.Sleep(10 * time.Second) // everything ends
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			for _, m := range attached {
				h.HandleAttachment(m, time.Now())
			}
			time.Sleep(time.Second)
		}
	}()
	go p.Run(ctx)
	go func() {
		for ctx.Err() == nil {
			go l.send(otherBytes / 100)
			time.Sleep(10 * time.Millisecond)
		}
	}()
	end = 10
	for began, renewed := time.Now(), time.Now(); time.Since(began) < 20*time.Second; {
		var a replica.AppliedBatch
		for range recordsPerS / 50 {
			job := work.ID{byte(random.IntN(85))} // 17 jobs a second of 5 s are alive
			a.Records = append(a.Records, platform.Record{Offset: end, Key: work.Key(work.KindProgress, job), Value: make([]byte, recordBytes)})
			if random.IntN(recordsPerS) < changesPerS {
				a.Updates = append(a.Updates, replica.SummaryUpdate{Offset: end, Summary: work.Summary{ID: job, Queue: "r-j4fr7ep", State: work.Running}})
			}
			end++
		}
		p.Add(a)
		if deliver != nil {
			deliver(p, l, a)
		}
		time.Sleep(20 * time.Millisecond)
		if time.Since(renewed) > 250*time.Millisecond {
			renewed = time.Now()
			l.send(300)
			slowest = max(slowest, time.Since(renewed))
			renewed = time.Now()
		}
	}
	time.Sleep(5 * time.Second) // what was written last is delivered
	return slowest, machines, end
}

// A leader on a link of 2 Mbit/s lost its cell on a calm day, and so did each of
// its 23 successors. Order of events: traffic came; the link was filled by
// deliveries of every record to every machine; renewals of its leadership waited
// behind them, and another machine claimed. The evidence: of 190 KB a second that
// the leader sent 152 were deliveries, and appends took 60 to 110 ms.
func TestLeaderOnSlowLinkKeepsLeadership(t *testing.T) {
	takeover := leader.DefaultTiming().MinTakeoverSilence
	t.Run("states to all and content to standbys", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			slowest, machines, end := thinCell(t, nil)
			if slowest > takeover/4 {
				t.Errorf("a renewal took %v", slowest)
			}
			whole := 0
			for name, m := range machines {
				if m.position != end {
					t.Errorf("%s knows states up to %d of %d", name, m.position, end)
				}
				if m.content == end {
					whole++
				}
			}
			if whole != standbys {
				t.Errorf("%d machines keep all content, want %d", whole, standbys)
			}
		})
	})
	t.Run("every record to every machine", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			slowest, _, _ := thinCell(t, func(p *Publisher, l *thinLink, a replica.AppliedBatch) {
				for range thinMachines {
					body, err := cbor.Marshal(packContent(a.Records))
					if err != nil {
						t.Error(err)
					}
					go l.send(len(body) + frameBytes)
				}
			})
			if slowest < takeover {
				t.Errorf("a renewal took at most %v: the model doesn't show the collapse", slowest)
			}
		})
	})
}

// What the leader sends of the same load grows at most with the square root of the
// machines.
func TestLeaderTrafficByMachineCount(t *testing.T) {
	a := replica.AppliedBatch{}
	for i := range platform.Offset(400) {
		a.Records = append(a.Records, platform.Record{Offset: 10 + i, Key: work.Key(work.KindProgress, work.ID{byte(i)}), Value: make([]byte, recordBytes)})
		if i%4 == 0 {
			a.Updates = append(a.Updates, replica.SummaryUpdate{Offset: 10 + i, Summary: work.Summary{ID: work.ID{byte(i)}, Queue: "r-j4fr7ep", State: work.Running}})
		}
	}
	const link = 25e6
	bytesFor := func(machines int) float64 {
		f := newFeed(&machine{position: 10}, link)
		f.Add(a)
		f.target("a").position = 10
		d, _ := f.next("a", deliverEvery, f.now)
		body, err := cbor.Marshal(&d)
		if err != nil {
			t.Fatal(err)
		}
		// 400 records are 1.8 s of the load; a delivery is due each pace.
		calls := float64(machines) * 1.8 / f.pace(machines).Seconds()
		content := float64(standbys) * 400 * recordBytes
		return calls*frameBytes + float64(machines)*float64(len(body)) + content
	}
	small, large := bytesFor(17), bytesFor(96)
	t.Logf("%.0f bytes for 17 machines, %.0f for 96", small, large)
	if limit := math.Sqrt(96.0 / 17); large/small > limit {
		t.Errorf("%.0f bytes for 17 machines and %.0f for 96: %.2f times, want at most the root of the machines, %.2f", small, large, large/small, limit)
	}
}
