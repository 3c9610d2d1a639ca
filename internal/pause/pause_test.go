package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		For(t.Context(), time.Second)
		if d := time.Since(began); d != time.Second {
			t.Errorf("waited %v", d)
		}
		ctx, stop := context.WithTimeout(t.Context(), time.Millisecond)
		defer stop()
		For(ctx, time.Hour)
		For(t.Context(), -time.Second)
		if d := time.Since(began); d != time.Second+time.Millisecond {
			t.Errorf("waited %v in all", d)
		}
	})
}
