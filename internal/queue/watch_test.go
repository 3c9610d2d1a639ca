package queue_test

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	adapter "github.com/skylarklock/skylarklock/platform"
)

// operatorLog is a fake log of operator records. The first trimmedReads reads
// return TrimmedError, which makes the watcher read the newest records again.
type operatorLog struct {
	platform.PartitionLog
	newest       []platform.Record
	later        []platform.Record
	trimmedReads int
	allRead      func() // called when all records have been read
}

func (l *operatorLog) Newest(_ context.Context, _ platform.Partition, after string) (platform.NewestPage, error) {
	page := platform.NewestPage{End: 100}
	for _, r := range l.newest {
		if r.Key > after || r.Err != nil {
			page.Records = append(page.Records, r)
		}
	}
	return page, nil
}

func (l *operatorLog) Read(ctx context.Context, _ platform.Partition, from platform.Offset, _ time.Duration) (platform.RecordBatch, error) {
	if l.trimmedReads > 0 {
		l.trimmedReads--
		return platform.RecordBatch{}, &platform.TrimmedError{From: from, First: 100}
	}
	batch := platform.RecordBatch{Records: slices.Clone(l.later), Next: 100 + platform.Offset(len(l.later)), End: 100 + platform.Offset(len(l.later))}
	if from == batch.Next {
		l.allRead()
		<-ctx.Done()
		return platform.RecordBatch{}, ctx.Err()
	}
	return batch, nil
}

// runWatcher runs a watcher until it has read all records. It returns the
// configuration in force and the log output.
func runWatcher(t *testing.T, l *operatorLog) (configuration *queue.Configuration, logged string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var buf bytes.Buffer
		logger := logrus.New()
		logger.SetOutput(&buf)
		ctx, cancel := context.WithCancel(t.Context())
		l.allRead = cancel
		w := &queue.Watcher{Log: l, Partition: adapter.OperatorPartition, Key: adapter.ConfigurationKey, Decode: adapter.DecodeConfiguration, Logger: logrus.NewEntry(logger)}
		if err := w.Run(ctx); err != nil {
			t.Error(err)
		}
		configuration, logged = w.Configuration(), buf.String()
	})
	return configuration, logged
}

func newRecord(at platform.Offset, key, value string) platform.Record {
	return platform.Record{Offset: at, Key: key, Value: []byte(value)}
}

// No configuration is in force before the first valid record, and an invalid
// record never replaces a valid one.
func TestOnlyValidConfigurationComesIntoForce(t *testing.T) {
	const valid = `{"version":3,"routes":[{"name":"q","host":"h","path_prefix":"/","service":"s"}],"services":[{"name":"s"}]}`
	for _, invalid := range []string{"null", "{}", "[]", "7", "\xff", `{"version":"9"}`, `{"version":-1}`, `{"version":null}`, `{"routes":[]}`, valid[:20], valid + "x", valid[:len(valid)-1] + ",\"x\":\"\xff\"}"} {
		if configuration, _ := runWatcher(t, &operatorLog{newest: []platform.Record{newRecord(1, "config", invalid)}, later: []platform.Record{newRecord(100, "config", invalid)}}); configuration != nil {
			t.Errorf("%s: version %d is in force", invalid, configuration.Version)
		}
		for name, records := range map[string][]platform.Record{
			"after a readable one":  {newRecord(100, "config", valid), newRecord(101, "config", invalid)},
			"before a readable one": {newRecord(100, "config", invalid), newRecord(101, "config", valid)},
		} {
			if configuration, _ := runWatcher(t, &operatorLog{later: records}); configuration == nil || configuration.Version != 3 || len(configuration.Queues) != 1 {
				t.Errorf("%s %s: %+v is in force", invalid, name, configuration)
			}
		}
	}
}

// Records under other keys are ignored and not reported as unreadable.
func TestRecordsUnderOtherKeysAreIgnored(t *testing.T) {
	const valid = `{"version":3}`
	configuration, logged := runWatcher(t, &operatorLog{newest: []platform.Record{newRecord(1, "", "x"), newRecord(2, "config", valid), newRecord(3, "config2", `{"version":9}`), newRecord(4, "wave/1", "\xff")}, later: []platform.Record{newRecord(100, "wave/2", "{}"), newRecord(101, "Config", `{"version":9}`)}})
	if configuration == nil || configuration.Version != 3 || strings.Contains(logged, "level=error") {
		t.Errorf("%+v is in force, logged:\n%s", configuration, logged)
	}
}

// An invalid configuration is logged once with its offset, also when the newest
// records are read again.
func TestInvalidConfigurationIsLoggedOnce(t *testing.T) {
	_, logged := runWatcher(t, &operatorLog{newest: []platform.Record{newRecord(7, "config", "[]")}, trimmedReads: 3})
	if n := strings.Count(logged, "level=error"); n != 1 || !strings.Contains(logged, "offset=7") {
		t.Errorf("logged %d times:\n%s", n, logged)
	}
}

// A malformed record is logged once and changes nothing.
func TestMalformedRecordIsLoggedOnce(t *testing.T) {
	malformed := platform.Record{Offset: 2, Err: platform.ErrMalformed}
	configuration, logged := runWatcher(t, &operatorLog{newest: []platform.Record{newRecord(1, "config", `{"version":3}`), malformed}, trimmedReads: 3})
	if configuration == nil || configuration.Version != 3 {
		t.Errorf("%+v is in force", configuration)
	}
	if n := strings.Count(logged, "level=error"); n != 1 || !strings.Contains(logged, "offset=2") {
		t.Errorf("logged %d times:\n%s", n, logged)
	}
}
