package dispatch

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/fleet"
	"github.com/skylarklock/skylarklock/internal/platform"
	adapter "github.com/skylarklock/skylarklock/platform"
	"github.com/skylarklock/skylarklock/platform/standin"
)

// memoryPartition is a keyed partition in memory. Records before offset first have been trimmed.
type memoryPartition struct {
	platform.PartitionLog
	all   []platform.Record
	first platform.Offset
}

func (l *memoryPartition) put(key, value string) {
	l.all = append(l.all, platform.Record{Offset: platform.Offset(len(l.all)), Key: key, Value: []byte(value)})
}

func (l *memoryPartition) Read(_ context.Context, _ platform.Partition, from platform.Offset, _ time.Duration) (platform.RecordBatch, error) {
	if from < l.first {
		return platform.RecordBatch{}, &platform.TrimmedError{From: from, First: l.first}
	}
	end := platform.Offset(len(l.all))
	return platform.RecordBatch{Records: slices.Clone(l.all[from:]), Next: end, End: end}, nil
}

func (l *memoryPartition) Newest(_ context.Context, _ platform.Partition, after string) (platform.NewestPage, error) {
	newest := make(map[string]platform.Record)
	for _, r := range l.all {
		newest[r.Key] = r
		if len(r.Value) == 0 {
			delete(newest, r.Key)
		}
	}
	page := platform.NewestPage{End: platform.Offset(len(l.all))}
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		if key > after {
			page.Records = append(page.Records, newest[key])
		}
	}
	return page, nil
}

// executorRecord returns the registry record of an executor.
func executorRecord(service, state, rack string) string {
	return string(standin.Registration{Service: service, Address: "10.0.0.9:80", State: state, Rack: rack, MilliCPU: 16000, MemoryMB: 32768}.Record())
}

// newTestRegistry returns a registry that reads the partition, and the buffer that it logs to.
func newTestRegistry(log *memoryPartition) (*registry, *bytes.Buffer) {
	var logged bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&logged)
	return newRegistry(log, platform.Partition{Topic: "servers", Keyed: true}, adapter.DecodeExecutor, logrus.NewEntry(logger)), &logged
}

func mustRefresh(t *testing.T, g *registry) (changed bool) {
	t.Helper()
	changed, err := g.refresh(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return changed
}

// An executor whose record has become unreadable must not be used until its record is readable again.
func TestExecutorWithUnreadableRecordIsNotListed(t *testing.T) {
	log := &memoryPartition{}
	log.put("e", executorRecord("svc", "ready", "r1"))
	g, _ := newTestRegistry(log)
	mustRefresh(t, g)
	if g.listed["e"] == nil {
		t.Fatal("the executor is not listed")
	}
	log.put("e", executorRecord("svc", "parked", "r1"))
	if changed := mustRefresh(t, g); !changed || g.listed["e"] != nil {
		t.Errorf("changed %v, listed %v after an unreadable record", changed, g.listed["e"])
	}
	log.put("e", executorRecord("svc", "ready", "r1"))
	if changed := mustRefresh(t, g); !changed || g.listed["e"] == nil {
		t.Errorf("changed %v, listed %v after a readable record", changed, g.listed["e"])
	}
}

// Reading a partition record by record and restoring from the newest record of each key list the
// same executors at each point of a history.
func TestReadAndRestoreListSameExecutors(t *testing.T) {
	good, draining, foreign := executorRecord("svc", "ready", "r1"), executorRecord("svc", "draining", "r1"), executorRecord("other", "ready", "r1")
	history := []struct{ key, value string }{
		{"a", good}, {"b", good}, {"a", "{}"}, {"b", draining}, {"c", "null"}, {"c", good}, {"b", "\xff\xfe"},
		{"a", foreign}, {"", good}, {"a", good}, {"c", ""}, {"d", "[]"}, {"b", good}, {"a", executorRecord("svc", "parked", "r1")},
		{"d", ""}, {"b", executorRecord("svc", "ready", "r2")},
	}
	log := &memoryPartition{}
	reader, _ := newTestRegistry(log)
	mustRefresh(t, reader)
	for i, r := range history {
		log.put(r.key, r.value)
		mustRefresh(t, reader)
		restored, _ := newTestRegistry(log)
		mustRefresh(t, restored)
		if !reflect.DeepEqual(reader.listed, restored.listed) {
			t.Errorf("after record %d: read %v, restored %v", i, names(reader.listed), names(restored.listed))
		}
	}
}

func names(listed map[string]*fleet.Executor) []string { return slices.Sorted(maps.Keys(listed)) }

// refresh reports a change whenever a record differs from the previous one of its executor, but not
// when it repeats it.
func TestRefreshReportsEachChange(t *testing.T) {
	log := &memoryPartition{}
	log.put("e", executorRecord("other", "ready", "r1"))
	g, _ := newTestRegistry(log)
	mustRefresh(t, g)
	for _, c := range []struct {
		name, record string
		want         bool
	}{
		{"a heartbeat", executorRecord("other", "ready", "r1"), false},
		{"another service", executorRecord("svc", "ready", "r1"), true},
		{"another rack", executorRecord("svc", "ready", "r2"), true},
		{"another state", executorRecord("svc", "draining", "r2"), true},
		{"an unreadable record", "{}", true},
		{"another unreadable record", "null", false},
		{"a deletion of an unlisted executor", "", false},
	} {
		log.put("e", c.record)
		if changed := mustRefresh(t, g); changed != c.want {
			t.Errorf("%s: changed %v, want %v", c.name, changed, c.want)
		}
	}
}

// An unreadable record is logged once with its offset, not again for each heartbeat of its writer
// and each restore.
func TestUnreadableRecordIsLoggedOnce(t *testing.T) {
	log := &memoryPartition{}
	log.put("good", executorRecord("svc", "ready", "r1"))
	log.put("bad", "{}")
	g, logged := newTestRegistry(log)
	mustRefresh(t, g)
	for range 3 {
		log.put("bad", "{}")
		mustRefresh(t, g)
		log.first = platform.Offset(len(log.all))
		log.put("good", executorRecord("svc", "ready", "r1"))
		g.next = 0 // the registry's position was trimmed, so it restores
		mustRefresh(t, g)
	}
	if n := strings.Count(logged.String(), "level=error"); n != 1 || !strings.Contains(logged.String(), "offset=1") {
		t.Errorf("logged %d times:\n%s", n, logged)
	}
	log.put("bad", executorRecord("svc", "ready", "r1"))
	log.put("bad", "null")
	mustRefresh(t, g)
	if n := strings.Count(logged.String(), "level=error"); n != 2 {
		t.Errorf("an executor whose record was readable in between: logged %d times:\n%s", n, logged)
	}
}

// A malformed record does not prevent later records from being read and is logged once with its
// offset. If its key is known, the executor is no longer listed.
func TestMalformedRecordIsSkipped(t *testing.T) {
	log := &memoryPartition{}
	log.put("e", executorRecord("svc", "ready", "r1"))
	g, logged := newTestRegistry(log)
	mustRefresh(t, g)
	malformed := func(key string) {
		log.put(key, "")
		log.all[len(log.all)-1].Err = platform.ErrMalformed
	}
	malformed("")
	malformed("e")
	malformed("")
	log.put("f", executorRecord("svc", "ready", "r1"))
	for range 2 {
		mustRefresh(t, g)
		g.next = 1 // read the records once more
	}
	if listed := names(g.listed); !slices.Equal(listed, []string{"f"}) {
		t.Errorf("listed: %v, want f", listed)
	}
	if n := strings.Count(logged.String(), "level=error"); n != 3 || !strings.Contains(logged.String(), "topic=servers") {
		t.Errorf("three records were logged %d times:\n%s", n, logged)
	}
}

// findFormer returns the last record of each executor that is no longer registered, unless that
// record has been trimmed.
func TestFormerExecutorsAreFoundInHistory(t *testing.T) {
	log := &memoryPartition{}
	log.put("a", executorRecord("svc", "ready", "r1"))
	log.put("b", executorRecord("svc", "ready", "r1"))
	log.put("a", executorRecord("svc", "draining", "r1"))
	log.put("a", "")
	log.put("b", "")
	log.put("c", executorRecord("svc", "ready", "r1"))
	g, _ := newTestRegistry(log)
	mustRefresh(t, g)
	found, err := g.findFormer(t.Context(), []string{"a", "b", "x"})
	if err != nil || len(found) != 2 || !found["a"].Draining || found["b"].Draining {
		t.Errorf("found %v, error %v; want the last records of a and b", names(found), err)
	}
	log.first = 2
	found, err = g.findFormer(t.Context(), []string{"a", "b"})
	if err != nil || len(found) != 1 || found["a"] == nil {
		t.Errorf("found %v, error %v in the trimmed history; want a", names(found), err)
	}
}

// answerLimitPartition is a partition whose answers to reads hold few records.
type answerLimitPartition struct {
	*memoryPartition
	limit platform.Offset
}

func (l answerLimitPartition) Read(ctx context.Context, p platform.Partition, from platform.Offset, wait time.Duration) (platform.RecordBatch, error) {
	batch, err := l.memoryPartition.Read(ctx, p, from, wait)
	if n := platform.Offset(len(batch.Records)); n > l.limit {
		batch.Records, batch.Next = batch.Records[:l.limit], from+l.limit
	}
	return batch, err
}

// Guards against a list of executors that falls behind for good, since more is written between two reads than one answer holds:
// by a large fleet, or by another writer's large entries.
func TestRegistryIsReadToItsEnd(t *testing.T) {
	log := &memoryPartition{}
	g, _ := newTestRegistry(log)
	g.log = answerLimitPartition{log, 10}
	mustRefresh(t, g)
	for round := range 5 {
		for i := range 35 {
			log.put(fmt.Sprint("e", i), executorRecord("svc", "ready", fmt.Sprint("r", round)))
		}
		mustRefresh(t, g)
		for i := range 35 {
			if e := g.listed[fmt.Sprint("e", i)]; e == nil || e.Rack() != fmt.Sprint("r", round) {
				t.Fatalf("round %d: executor %d is listed as %+v", round, i, e)
			}
		}
	}
}
