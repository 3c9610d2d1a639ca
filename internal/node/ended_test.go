package node

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	platformapi "github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/platform"
)

// maxEndedJobBytes bounds what an ended job may leave in the store for a starting
// process to read: its key, state and queue, with some margin.
const maxEndedJobBytes = 60

// Guards against start-up reads that grow with every job ever accepted. After 110 s of
// traffic they were 8.9 MB, which took 13 s on a link of 10 Mbit/s. Restarted machines
// were not ready for that long, and after a power loss neither was the whole cell. It
// was seen in the bytes that a machine with a fast link received until it was ready,
// and in how long the other machines received at the full rate of their links.
func TestEndedJobsLeaveSmallRecords(t *testing.T) {
	env := newTestEnv(t, 2)
	a := env.start(t, "a")
	a.awaitReady(t)
	const jobs = 20
	id := func(i int) string { return fmt.Sprintf("00000000000001%02x", i) }
	specification := strings.Repeat("0", 2000) + "5ms"
	for i := range jobs {
		a.submit(t, id(i), specification, 2)
	}
	for i := range jobs {
		a.awaitState(t, id(i), "completed")
	}
	client := platform.NewStoreClient(env.store.Address(), nil)
	defer client.Close()
	var size int
	eventually(t, "ended jobs leave only small records", func() bool {
		size = 0
		_, err := platformapi.ReadNewest(context.Background(), client, platformapi.Partition{Topic: topicJobs, Keyed: true}, platformapi.PageTimeout{Initial: time.Second}, func(records []platformapi.Record) {
			for _, r := range records {
				size += r.Size()
			}
		}, nil)
		return err == nil && size <= jobs*maxEndedJobBytes
	})
	b := env.start(t, "b") // reads only the small records
	b.awaitReady(t)
	for i := range jobs {
		b.awaitState(t, id(i), "completed")
		if status, _ := b.request(t, http.MethodDelete, "/q/"+id(i), ""); status != http.StatusOK {
			t.Errorf("cancellation of an ended job: answered %d, want 200", status)
		}
	}
	before := len(env.starts())
	b.submit(t, id(0), specification, 2) // late repetition of the first submission
	b.awaitState(t, id(0), "completed")
	if after := env.starts(); len(after) != before || after[id(0)+".0.0.0"] != 1 {
		t.Errorf("an ended job ran again: %v", after)
	}
	if status, _ := b.request(t, http.MethodGet, "/q/00000000000001ff", ""); status != http.StatusGone {
		t.Errorf("state of a job that was never submitted: answered %d, want 410", status)
	}
}
