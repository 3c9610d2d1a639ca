package dispatch

import (
	"bytes"
	"context"
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

// records is a keyed partition in memory. Below first its history is gone.
type records struct {
	platform.PartitionLog
	all   []platform.Record
	first platform.Offset
}

func (l *records) put(key, value string) {
	l.all = append(l.all, platform.Record{Offset: platform.Offset(len(l.all)), Key: key, Value: []byte(value)})
}

func (l *records) Read(_ context.Context, _ platform.Partition, from platform.Offset, _ time.Duration) (platform.RecordBatch, error) {
	if from < l.first {
		return platform.RecordBatch{}, &platform.TrimmedError{From: from, First: l.first}
	}
	end := platform.Offset(len(l.all))
	return platform.RecordBatch{Records: slices.Clone(l.all[from:]), Next: end, End: end}, nil
}

func (l *records) Newest(_ context.Context, _ platform.Partition, after string) (platform.NewestPage, error) {
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

// executorOf returns the record of an executor.
func executorOf(service, state, rack string) string {
	return string(standin.Registration{Service: service, Address: "10.0.0.9:80", State: state, Rack: rack, MilliCPU: 16000, MemoryMB: 32768}.Record())
}

// loggedRegistry returns a registry that reads the records, and what it logs.
func loggedRegistry(log *records) (*registry, *bytes.Buffer) {
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

// An executor whose record can't be read any more is no executor to use, until
// its record can be read again.
func TestExecutorWithUnreadableRecordIsNotListed(t *testing.T) {
	log := &records{}
	log.put("e", executorOf("svc", "ready", "r1"))
	g, _ := loggedRegistry(log)
	mustRefresh(t, g)
	if g.listed["e"] == nil {
		t.Fatal("executor isn't listed")
	}
	log.put("e", executorOf("svc", "parked", "r1"))
	if changed := mustRefresh(t, g); !changed || g.listed["e"] != nil {
		t.Errorf("changed %v, listed %v after a record that can't be read", changed, g.listed["e"])
	}
	log.put("e", executorOf("svc", "ready", "r1"))
	if changed := mustRefresh(t, g); !changed || g.listed["e"] == nil {
		t.Errorf("changed %v, listed %v after a record that can be read", changed, g.listed["e"])
	}
}

// What is read record by record and what is read from the newest records of
// each key lists the same executors, at each place of a history.
func TestReadAndRestoreListSameExecutors(t *testing.T) {
	good, draining, foreign := executorOf("svc", "ready", "r1"), executorOf("svc", "draining", "r1"), executorOf("other", "ready", "r1")
	history := []struct{ key, value string }{
		{"a", good}, {"b", good}, {"a", "{}"}, {"b", draining}, {"c", "null"}, {"c", good}, {"b", "\xff\xfe"},
		{"a", foreign}, {"", good}, {"a", good}, {"c", ""}, {"d", "[]"}, {"b", good}, {"a", executorOf("svc", "parked", "r1")},
		{"d", ""}, {"b", executorOf("svc", "ready", "r2")},
	}
	log := &records{}
	follows, _ := loggedRegistry(log)
	mustRefresh(t, follows)
	for i, r := range history {
		log.put(r.key, r.value)
		mustRefresh(t, follows)
		restores, _ := loggedRegistry(log)
		mustRefresh(t, restores)
		if !reflect.DeepEqual(follows.listed, restores.listed) {
			t.Errorf("after record %d: read %v, restored %v", i, names(follows.listed), names(restores.listed))
		}
	}
}

func names(listed map[string]*fleet.Executor) []string { return slices.Sorted(maps.Keys(listed)) }

// Whatever a record says otherwise than before is news, and a repeat is not.
func TestRefreshReportsEachChange(t *testing.T) {
	log := &records{}
	log.put("e", executorOf("other", "ready", "r1"))
	g, _ := loggedRegistry(log)
	mustRefresh(t, g)
	for _, c := range []struct {
		what, record string
		news         bool
	}{
		{"a heartbeat", executorOf("other", "ready", "r1"), false},
		{"another service", executorOf("svc", "ready", "r1"), true},
		{"another rack", executorOf("svc", "ready", "r2"), true},
		{"another state", executorOf("svc", "draining", "r2"), true},
		{"a record that can't be read", "{}", true},
		{"another one", "null", false},
		{"a deletion of what isn't listed", "", false},
	} {
		log.put("e", c.record)
		if changed := mustRefresh(t, g); changed != c.news {
			t.Errorf("%s: changed %v, want %v", c.what, changed, c.news)
		}
	}
}

// An unreadable record is logged once with its place, not at each heartbeat of
// its writer and each restore.
func TestUnreadableRecordIsLoggedOnce(t *testing.T) {
	log := &records{}
	log.put("good", executorOf("svc", "ready", "r1"))
	log.put("bad", "{}")
	g, logged := loggedRegistry(log)
	mustRefresh(t, g)
	for range 3 {
		log.put("bad", "{}")
		mustRefresh(t, g)
		log.first = platform.Offset(len(log.all))
		log.put("good", executorOf("svc", "ready", "r1"))
		g.next = 0 // what it knew is gone: it restores
		mustRefresh(t, g)
	}
	if n := strings.Count(logged.String(), "level=error"); n != 1 || !strings.Contains(logged.String(), "offset=1") {
		t.Errorf("logged %d times:\n%s", n, logged)
	}
	log.put("bad", executorOf("svc", "ready", "r1"))
	log.put("bad", "null")
	mustRefresh(t, g)
	if n := strings.Count(logged.String(), "level=error"); n != 2 {
		t.Errorf("a record that was readable meanwhile: logged %d times:\n%s", n, logged)
	}
}

// A malformed record doesn't keep those after it from being read, and is logged
// once with its place; one whose key is known names no executor.
func TestMalformedRecordIsSkipped(t *testing.T) {
	log := &records{}
	log.put("e", executorOf("svc", "ready", "r1"))
	g, logged := loggedRegistry(log)
	mustRefresh(t, g)
	malformed := func(key string) {
		log.put(key, "")
		log.all[len(log.all)-1].Err = platform.ErrMalformed
	}
	malformed("")
	malformed("e")
	malformed("")
	log.put("f", executorOf("svc", "ready", "r1"))
	for range 2 {
		mustRefresh(t, g)
		g.next = 1 // the records are read once more
	}
	if listed := names(g.listed); !slices.Equal(listed, []string{"f"}) {
		t.Errorf("listed: %v", listed)
	}
	if n := strings.Count(logged.String(), "level=error"); n != 3 || !strings.Contains(logged.String(), "topic=servers") {
		t.Errorf("three records are logged %d times:\n%s", n, logged)
	}
}

func TestFormerExecutorsAreFoundInHistory(t *testing.T) {
	log := &records{}
	log.put("a", executorOf("svc", "ready", "r1"))
	log.put("b", executorOf("svc", "ready", "r1"))
	log.put("a", executorOf("svc", "draining", "r1"))
	log.put("a", "")
	log.put("b", "")
	log.put("c", executorOf("svc", "ready", "r1"))
	g, _ := loggedRegistry(log)
	mustRefresh(t, g)
	found, err := g.former(t.Context(), []string{"a", "b", "x"})
	if err != nil || len(found) != 2 || !found["a"].Draining || found["b"].Draining {
		t.Errorf("found %v, %v; want the last records of a and b", names(found), err)
	}
	log.first = 2
	found, err = g.former(t.Context(), []string{"a", "b"})
	if err != nil || len(found) != 1 || found["a"] == nil {
		t.Errorf("found %v, %v in what is left of the history; want a", names(found), err)
	}
}
