package worker

import (
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/lease"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// A task that overruns its declared run time is checked at growing intervals.
func TestOverrunCheckIntervalGrows(t *testing.T) {
	const declared = 2 * time.Second
	if got := untilNextCheck(declared, 500*time.Millisecond); got != 1500*time.Millisecond {
		t.Fatalf("next check after %v, want it at the end of the declared run time", got)
	}
	cfg := DefaultConfig(lease.Params{Lease: 10 * time.Second})
	checks := 0
	for ran := declared; ran < 20*declared; checks++ {
		ran += min(max(untilNextCheck(declared, ran), cfg.MinInterval), cfg.Interval)
	}
	if regular := int(19 * declared / cfg.Interval); checks > regular+6 {
		t.Errorf("%d checks of a task that runs 20 times its declared time, %d with regular exchanges only", checks, regular)
	}
}

func TestStopCheckIntervalDoubles(t *testing.T) {
	v := newVM(api.VM{}, tenure{}, DefaultConfig(lease.Params{Lease: 10 * time.Second}))
	want := []time.Duration{v.cfg.MinInterval, 2 * v.cfg.MinInterval, 4 * v.cfg.MinInterval}
	for _, interval := range want {
		if v.stopCheckInterval = v.nextStopCheckInterval(true); v.stopCheckInterval != interval {
			t.Fatalf("next check after %v, want %v", v.stopCheckInterval, interval)
		}
	}
	for range 10 {
		v.stopCheckInterval = v.nextStopCheckInterval(true)
	}
	if v.stopCheckInterval != v.cfg.Interval {
		t.Errorf("next check after %v, want at most %v", v.stopCheckInterval, v.cfg.Interval)
	}
	if v.nextStopCheckInterval(false) != 0 {
		t.Error("checks continue without pending stops")
	}
}

// Early checks keep the minimum interval between the exchanges with a VM.
func TestNextExchangeKeepsMinInterval(t *testing.T) {
	v := newVM(api.VM{}, tenure{}, DefaultConfig(lease.Params{Lease: 10 * time.Second}))
	v.lastExchange = time.Unix(100, 0)
	v.report = &platform.WorkerReport{}
	for after, want := range map[time.Duration]time.Duration{
		time.Millisecond: v.cfg.MinInterval, time.Second: time.Second, time.Hour: v.cfg.Interval,
	} {
		v.nextCheck = v.lastExchange.Add(after)
		if got := v.nextExchange().Sub(v.lastExchange); got != want {
			t.Errorf("a task ends after %v: next exchange after %v, want %v", after, got, want)
		}
	}
	v.nextCheck = v.lastExchange.Add(time.Millisecond)
	v.failures = 1
	if got := v.nextExchange().Sub(v.lastExchange); got != v.cfg.RetryInterval {
		t.Errorf("next exchange with an unresponsive VM after %v, want %v", got, v.cfg.RetryInterval)
	}
}
