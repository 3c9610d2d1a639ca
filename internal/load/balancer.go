package load

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// readyPath answers 200 while an entry VM takes requests.
const readyPath = "/v1/ready"

// balancer takes entry VMs in turn. When it watches them, it leaves out those
// that were not ready at the last look, as the platform's balancer does.
type balancer struct {
	entries []string
	unready []atomic.Bool
	turn    atomic.Uint64
}

func newBalancer(entries []string) *balancer {
	return &balancer{entries: entries, unready: make([]atomic.Bool, len(entries))}
}

// next returns the next entry VM; when none is ready, simply the next.
func (b *balancer) next() string {
	n := uint64(len(b.entries))
	var at uint64
	for range b.entries {
		at = b.turn.Add(1) % n
		if !b.unready[at].Load() {
			break
		}
	}
	return b.entries[at]
}

// watch looks at the readiness of every entry VM until ctx ends.
func (b *balancer) watch(ctx context.Context, every time.Duration) {
	client := &http.Client{Timeout: every}
	for i := range b.entries {
		go func() {
			for ctx.Err() == nil {
				b.unready[i].Store(!ready(ctx, client, b.entries[i]))
				sleepUntil(ctx, time.Now().Add(every))
			}
		}()
	}
}

func ready(ctx context.Context, client *http.Client, entry string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+readyPath, nil)
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
