package controller

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestRunPeriodicallyRunsOnTicksAndWakeups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
		defer cancel()
		wake := make(chan struct{}, 1)
		start := time.Now()
		var at []time.Duration
		err := RunPeriodically(ctx, time.Second, wake, func(context.Context) {
			at = append(at, time.Since(start))
			if len(at) == 2 {
				wake <- struct{}{}
			}
		})
		want := []time.Duration{0, time.Second, time.Second, 2 * time.Second}
		if err != context.DeadlineExceeded || len(at) != len(want) {
			t.Fatalf("got rounds at %v and error %v", at, err)
		}
		for i := range want {
			if at[i] != want[i] {
				t.Fatalf("got rounds at %v, want %v", at, want)
			}
		}
	})
}
