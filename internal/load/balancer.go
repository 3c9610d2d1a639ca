package load

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// readinessPath answers 200 while an entry VM accepts requests.
const readinessPath = "/v1/ready"

// balancer selects entry VMs in round-robin order. Once watchReadiness runs, it
// skips those that were not ready at their last check, as the platform's
// balancer does.
type balancer struct {
	entries []string
	unready []atomic.Bool
	counter atomic.Uint64
}

func newBalancer(entries []string) *balancer {
	return &balancer{entries: entries, unready: make([]atomic.Bool, len(entries))}
}

// next returns the next ready entry VM. If none is ready, it returns one that is
// not ready.
func (b *balancer) next() string {
	n := uint64(len(b.entries))
	var index uint64
	for range b.entries {
		index = b.counter.Add(1) % n
		if !b.unready[index].Load() {
			break
		}
	}
	return b.entries[index]
}

// watchReadiness checks the readiness of every entry VM at the interval, in the
// background, until ctx ends.
func (b *balancer) watchReadiness(ctx context.Context, interval time.Duration) {
	client := &http.Client{Timeout: interval}
	for i := range b.entries {
		go func() {
			for ctx.Err() == nil {
				b.unready[i].Store(!isReady(ctx, client, b.entries[i]))
				sleepUntil(ctx, time.Now().Add(interval))
			}
		}()
	}
}

func isReady(ctx context.Context, client *http.Client, entry string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+readinessPath, nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
