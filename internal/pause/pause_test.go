package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		For(t.Context(), time.Second)
		if d := time.Since(start); d != time.Second {
			t.Errorf("waited %v, want 1s", d)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		For(ctx, time.Hour)
		For(t.Context(), -time.Second)
		if d := time.Since(start); d != time.Second+time.Millisecond {
			t.Errorf("waited %v in total, want 1.001s", d)
		}
	})
}
