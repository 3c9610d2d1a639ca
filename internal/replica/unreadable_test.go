package replica

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// recordTime is the time of the records in these tests.
var recordTime = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// loggedReplica returns a replica with one job, and the buffer that it logs to.
func loggedReplica(t *testing.T, id work.ID) (*Replica, *bytes.Buffer) {
	t.Helper()
	var logged bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&logged)
	r := New(time.Minute, logrus.NewEntry(logger))
	value, err := work.EncodeJob(&work.Job{ID: id, Queue: "q"})
	if err != nil {
		t.Fatal(err)
	}
	r.apply([]platform.Record{{Key: work.Key(work.KindJob, id), Value: value}}, 1, recordTime)
	return r, &logged
}

// Records whose keys have an unknown kind affect no job.
func TestUnknownKeysChangeNoJob(t *testing.T) {
	known, other := work.ID{1}, work.ID{2}
	for _, value := range []string{"", "x"} {
		r, _ := loggedReplica(t, known)
		var records []platform.Record
		for i, key := range []string{"", "x", "x" + known.String(), "x" + other.String(), "\xff" + known.String(), "config"} {
			records = append(records, platform.Record{Offset: platform.Offset(1 + i), Key: key, Value: []byte(value)})
		}
		r.apply(records, platform.Offset(1+len(records)), recordTime)
		if e, ok := r.Get(known); !ok || e.Job == nil {
			t.Errorf("value %q: the job was dropped", value)
		}
		if _, ok := r.Get(other); ok {
			t.Errorf("value %q: a job is known that was never submitted", value)
		}
		if r.Position() != platform.Offset(1+len(records)) {
			t.Errorf("value %q: position is %d", value, r.Position())
		}
	}
}

// A submission that can't be decoded, or that belongs to another job than its key, adds
// no job.
func TestUnreadableSubmissionAddsNoJob(t *testing.T) {
	id := work.ID{3}
	other, err := work.EncodeJob(&work.Job{ID: work.ID{4}, Queue: "q"})
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string][]byte{"bytes": {0xff}, "null": {0xf6}, "another job": other} {
		r, _ := loggedReplica(t, work.ID{1})
		r.apply([]platform.Record{{Offset: 1, Key: work.Key(work.KindJob, id), Value: value}}, 2, recordTime)
		if e, ok := r.Get(id); ok {
			t.Errorf("%s: job was added as %+v", name, e)
		}
	}
}

// A record that can't be decoded is logged once with its offset, however often the newest
// records are read.
func TestUnreadableRecordIsLoggedOnce(t *testing.T) {
	r, logged := loggedReplica(t, work.ID{1})
	bad := []platform.Record{
		{Offset: 5, Key: "foreign", Value: []byte("x")},
		{Offset: 6, Key: work.Key(work.KindProgress, work.ID{1}), Value: []byte{0xff}},
	}
	for range 3 {
		r.apply(bad, 0, recordTime)
	}
	if n := strings.Count(logged.String(), "level=error"); n != 2 {
		t.Errorf("%d log lines for two records:\n%s", n, logged)
	}
	for _, place := range []string{"offset=5", "offset=6"} {
		if !strings.Contains(logged.String(), place) {
			t.Errorf("%s is not logged", place)
		}
	}
}

// A malformed record advances the position and changes nothing else. With the key of a
// job it doesn't count as a deletion.
func TestMalformedRecord(t *testing.T) {
	id := work.ID{1}
	r, logged := loggedReplica(t, id)
	var published []platform.Record
	r.SetPublisher(func(a AppliedBatch) { published = append(published, a.Records...) })
	malformed := []platform.Record{
		{Offset: 1, Err: platform.ErrMalformed},
		{Offset: 2, Key: work.Key(work.KindJob, id), Err: platform.ErrMalformed},
		{Offset: 3, Err: platform.ErrMalformed},
	}
	r.apply(malformed, 4, recordTime)
	if _, ok := r.Get(id); !ok || r.Position() != 4 || len(published) != len(malformed) {
		t.Errorf("job known %v, position %d, %d records published", ok, r.Position(), len(published))
	}
	if n := strings.Count(logged.String(), "level=error"); n != len(malformed) {
		t.Errorf("%d malformed records, %d log lines:\n%s", len(malformed), n, logged)
	}
}
