package queue_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	adapter "github.com/skylarklock/skylarklock/platform"
)

// switchableLog is a store that serves one configuration until it turns the machine away.
type switchableLog struct {
	platform.PartitionLog
	version int
	away    atomic.Bool
}

// fakePeers are the other machines, which all know the same.
type fakePeers struct {
	mu        sync.Mutex
	reading   queue.Reading
	err       error
	questions int
}

func (p *fakePeers) ask(context.Context, uint64) (queue.Reading, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.questions++
	return p.reading, p.err
}

// set changes what the machines know.
func (p *fakePeers) set(version int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reading = queue.Reading{Record: []byte(versionRecord(version)), Age: 200 * time.Millisecond}
	p.err = err
}

func (p *fakePeers) asked() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.questions
}

func (l *switchableLog) Newest(context.Context, platform.Partition, string) (platform.NewestPage, error) {
	if l.away.Load() {
		return platform.NewestPage{}, platform.ErrUnavailable
	}
	return platform.NewestPage{End: 1, Records: []platform.Record{newRecord(0, "config", versionRecord(l.version))}}, nil
}

func (l *switchableLog) Read(ctx context.Context, _ platform.Partition, from platform.Offset, wait time.Duration) (platform.RecordBatch, error) {
	if l.away.Load() {
		return platform.RecordBatch{}, platform.ErrUnavailable
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return platform.RecordBatch{Next: from, End: from}, ctx.Err()
}

func versionRecord(version int) string {
	return fmt.Sprintf(`{"version":%d,"tenants":[{"name":"a","api_keys":["key-%d"]}]}`, version, version)
}

// A machine that the store turns away learns of a withdrawn key from the others within the time in
// which a version has to be in force, never goes back to an older version, and knows how old its
// knowledge is.
func TestConfigurationIsHeardFromPeers(t *testing.T) {
	const inForceWithin = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		store := &switchableLog{version: 4}
		peers := &fakePeers{}
		w := &queue.Watcher{
			Log: store, Partition: adapter.OperatorPartition, Key: adapter.ConfigurationKey, Decode: adapter.DecodeConfiguration,
			AskPeers: peers.ask, Logger: logging.Nop(),
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = w.Run(ctx) }() // returns when ctx ends
		defer synctest.Wait()
		defer cancel()
		hasKey := func(version int) bool {
			return w.Configuration().Workspaces.OfKey(queue.NewKeyDigest(fmt.Sprintf("key-%d", version))) != nil
		}
		time.Sleep(time.Second)
		if n := peers.asked(); !hasKey(4) || n != 0 {
			t.Fatalf("%d questions to peers while the store answers", n)
		}
		peers.set(5, nil)
		store.away.Store(true)
		time.Sleep(inForceWithin)
		if hasKey(4) || !hasKey(5) {
			t.Error("a withdrawn key is still in force")
		}
		if age := w.Age(); age > inForceWithin {
			t.Errorf("the configuration counts as %v old", age)
		}
		peers.set(3, nil)
		time.Sleep(inForceWithin)
		if !hasKey(5) {
			t.Error("an older version has come into force again")
		}
		peers.set(3, errors.New("cut off"))
		time.Sleep(10 * time.Second)
		if age := w.Age(); age < 8*time.Second {
			t.Errorf("without any news the configuration counts as %v old", age)
		}
		if r := w.Newest(4); string(r.Record) != versionRecord(5) || r.Age < 8*time.Second {
			t.Errorf("others are told %q, %v old", r.Record, r.Age)
		}
		if r := w.Newest(5); r.Record != nil {
			t.Errorf("who has the version is sent %q again", r.Record)
		}
	})
}
