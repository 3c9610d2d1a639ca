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

// slowLink models a machine's link as a transmission rate and a single queue for everything that is
// sent over it.
type slowLink struct {
	rate float64 // bytes a second

	mu     sync.Mutex
	idleAt time.Time
	sent   int
}

// send queues the given number of bytes and returns once they have been transmitted.
func (l *slowLink) send(bytes int) {
	l.mu.Lock()
	now := time.Now()
	if l.idleAt.Before(now) {
		l.idleAt = now
	}
	l.idleAt = l.idleAt.Add(time.Duration(float64(bytes) / l.rate * float64(time.Second)))
	l.sent += bytes
	wait := l.idleAt.Sub(now)
	l.mu.Unlock()
	time.Sleep(wait)
}

// frameBytes is the size of a call without its arguments: frame, call header and packet headers.
const frameBytes = 100

// linkCaller makes calls to machines over a link.
type linkCaller struct {
	link *slowLink

	mu       sync.Mutex
	machines map[string]*fakeMachine
}

func (c *linkCaller) Call(ctx context.Context, addr, method string, args, reply any) error {
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

// Load of 90 executors: the bytes per second of orders, reports and appends, measured at 105 starts a
// second, and the records of 17 jobs a second.
const (
	otherBytesPerSecond    = 130_000
	recordsPerSecond       = 220
	recordBytes            = 150
	changesPerSecond       = 50
	slowLinkMachines       = 17
	slowLinkBytesPerSecond = 250_000 // 2 Mbit/s
)

// simulateSlowLink runs the load of a leader on a slow link and returns the longest time that a renewal
// of its leadership took, the machines and the end of the partition. It calls deliver, unless nil, for
// each batch of records.
func simulateSlowLink(t *testing.T, deliver func(p *Publisher, l *slowLink, a replica.AppliedBatch)) (slowest time.Duration, machines map[string]*fakeMachine, end platform.Offset) {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 2))
	l := &slowLink{rate: slowLinkBytesPerSecond}
	machines = make(map[string]*fakeMachine)
	peers := NewPeers("self", nil, nil)
	var attached []Attachment
	for i := range slowLinkMachines {
		name := fmt.Sprintf("m%d", i)
		machines[name] = &fakeMachine{position: 10, contentPosition: 10, hasContent: true}
		attached = append(attached, Attachment{Node: api.NodeID(name), Address: name, DataCentre: api.DataCentre(fmt.Sprintf("z%d", i%6)), Fitness: 0.12, HasContent: true})
	}
	c := &linkCaller{link: l, machines: machines}
	p := NewPublisher(PublisherConfig{
		Self: leader.Leader{Epoch: 3, Node: "front-eagle-1", Incarnation: 1 << 60, Address: "10.1.0.13:7720"}, LinkBytesPerSecond: slowLinkBytesPerSecond, Peers: peers, Caller: c, BulkCaller: c,
		LastRenewal: func() leader.Renewal { return leader.Renewal{} }, OnReplaced: func(api.Epoch) {}, Logger: logging.Nop(),
	}, 10)
	ctx, cancel := context.WithCancel(t.Context())
	defer time.Sleep(10 * time.Second) // everything in flight ends
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			for _, m := range attached {
				peers.HandleAttachment(m, time.Now())
			}
			time.Sleep(time.Second)
		}
	}()
	go p.Run(ctx)
	go func() {
		for ctx.Err() == nil {
			go l.send(otherBytesPerSecond / 100)
			time.Sleep(10 * time.Millisecond)
		}
	}()
	end = 10
	for start, renewed := time.Now(), time.Now(); time.Since(start) < 20*time.Second; {
		var a replica.AppliedBatch
		for range recordsPerSecond / 50 {
			job := work.ID{byte(random.IntN(85))} // 17 jobs a second, each running for 5 s
			a.Records = append(a.Records, platform.Record{Offset: end, Key: work.Key(work.KindProgress, job), Value: make([]byte, recordBytes)})
			if random.IntN(recordsPerSecond) < changesPerSecond {
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
	time.Sleep(5 * time.Second) // the last records are delivered
	return slowest, machines, end
}

// A leader on a link of 2 Mbit/s lost leadership under normal load, and so did each of its 23 successors.
// Deliveries of every record to every machine filled the link (152 of 190 KB a second), appends took 60
// to 110 ms, and renewals of leadership waited behind the deliveries until another machine claimed it.
func TestLeaderOnSlowLinkKeepsLeadership(t *testing.T) {
	takeover := leader.DefaultTiming().MinTakeoverSilence
	t.Run("summaries to all machines and content to standbys", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			slowest, machines, end := simulateSlowLink(t, nil)
			if slowest > takeover/4 {
				t.Errorf("a renewal took %v", slowest)
			}
			withContent := 0
			for name, m := range machines {
				if m.position != end {
					t.Errorf("%s knows states up to offset %d of %d", name, m.position, end)
				}
				if m.contentPosition == end {
					withContent++
				}
			}
			if withContent != standbyCount {
				t.Errorf("%d machines keep all content, want %d", withContent, standbyCount)
			}
		})
	})
	t.Run("every record to every machine", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			slowest, _, _ := simulateSlowLink(t, func(p *Publisher, l *slowLink, a replica.AppliedBatch) {
				for range slowLinkMachines {
					body, err := cbor.Marshal(packContent(a.Records))
					if err != nil {
						t.Error(err)
					}
					go l.send(len(body) + frameBytes)
				}
			})
			if slowest < takeover {
				t.Errorf("the slowest renewal took %v: the simulation does not reproduce the overload", slowest)
			}
		})
	})
}

// The bytes that the leader sends for the same load grow at most with the square root of the number of
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
		f := newTestPublisher(&fakeMachine{position: 10}, link)
		f.Add(a)
		f.target("a").position = 10
		d, _ := f.nextDelivery("a", minDeliveryInterval, f.now)
		body, err := cbor.Marshal(&d)
		if err != nil {
			t.Fatal(err)
		}
		// 400 records are 1.8 s of the load; one delivery is due per interval.
		calls := float64(machines) * 1.8 / f.updateInterval(machines).Seconds()
		content := float64(standbyCount) * 400 * recordBytes
		return calls*frameBytes + float64(machines)*float64(len(body)) + content
	}
	small, large := bytesFor(17), bytesFor(96)
	t.Logf("%.0f bytes for 17 machines, %.0f for 96", small, large)
	if limit := math.Sqrt(96.0 / 17); large/small > limit {
		t.Errorf("%.0f bytes for 17 machines and %.0f for 96: %.2f times as many, want at most %.2f, the root of the ratio of machines", small, large, large/small, limit)
	}
}
