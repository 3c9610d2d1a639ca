package intake

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// Guards against telling a client that its job is not stored, or may not be, while this machine knows that it is: an earlier attempt of
// the client at another machine has stored it.
func TestRecordStoredElsewhereIsConfirmed(t *testing.T) {
	for name, relayErr := range map[string]error{"refused": ErrStoreRefused, "in progress": ErrInProgress, "busy": &BusyError{RetryAfter: time.Second}} {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			isDelivered := func(string) bool { return time.Since(start) > 200*time.Millisecond }
			relay := func(ctx context.Context, records []platform.Record) []error {
				time.Sleep(300 * time.Millisecond)
				return relayReturning(relayErr)(ctx, records)
			}
			in := New(DefaultConfig(), &fakeLog{}, platform.Partition{}, relay, func() bool { return false }, isDelivered, logging.Nop())
			ctx, stop := context.WithCancel(t.Context())
			go func() { _ = in.Run(ctx) }()
			if err := in.Store(ctx, platform.Record{Key: "k", Value: []byte{1}}, 0); err != nil {
				t.Errorf("%s: the client of a stored record was told: %v", name, err)
			}
			stop()
			time.Sleep(5 * time.Second)
		})
	}
}
