package worker

import (
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/lease"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// A task that overruns what was declared is looked at ever more rarely.
func TestOverrunCheckIntervalGrows(t *testing.T) {
	const declared = 2 * time.Second
	if got := untilEnd(declared, 500*time.Millisecond); got != 1500*time.Millisecond {
		t.Fatalf("looks after %v, want when the declared time is over", got)
	}
	cfg := DefaultConfig(lease.Params{Lease: 10 * time.Second})
	looks := 0
	for ran := declared; ran < 20*declared; looks++ {
		ran += min(max(untilEnd(declared, ran), cfg.MinInterval), cfg.Interval)
	}
	if regular := int(19 * declared / cfg.Interval); looks > regular+6 {
		t.Errorf("%d looks at a task that runs 20 times as long, %d without following its end", looks, regular)
	}
}

func TestStopCheckIntervalDoubles(t *testing.T) {
	v := newVM(api.VM{}, tenure{}, DefaultConfig(lease.Params{Lease: 10 * time.Second}))
	want := []time.Duration{v.cfg.MinInterval, 2 * v.cfg.MinInterval, 4 * v.cfg.MinInterval}
	for _, gap := range want {
		if v.stopGap = v.nextStopGap(true); v.stopGap != gap {
			t.Fatalf("looks again after %v, want %v", v.stopGap, gap)
		}
	}
	for range 10 {
		v.stopGap = v.nextStopGap(true)
	}
	if v.stopGap != v.cfg.Interval {
		t.Errorf("looks again after %v, want at most %v", v.stopGap, v.cfg.Interval)
	}
	if v.nextStopGap(false) != 0 {
		t.Error("goes on looking when no stop is under way")
	}
}

// Looking early doesn't break the bound on the exchanges with one VM.
func TestNextExchangeKeepsMinInterval(t *testing.T) {
	v := newVM(api.VM{}, tenure{}, DefaultConfig(lease.Params{Lease: 10 * time.Second}))
	v.last = time.Unix(100, 0)
	v.report = &platform.WorkerReport{}
	for after, want := range map[time.Duration]time.Duration{
		time.Millisecond: v.cfg.MinInterval, time.Second: time.Second, time.Hour: v.cfg.Interval,
	} {
		v.look = v.last.Add(after)
		if got := v.next().Sub(v.last); got != want {
			t.Errorf("a task ends after %v: next exchange after %v, want %v", after, got, want)
		}
	}
	v.look = v.last.Add(time.Millisecond)
	v.failures = 1
	if got := v.next().Sub(v.last); got != v.cfg.RetryInterval {
		t.Errorf("next exchange with a silent VM after %v, want %v", got, v.cfg.RetryInterval)
	}
}
