package node

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	product "github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/platform"
)

// endedBytes is what an ended job may leave in the store for a process that
// starts: its key, its state and its queue, with some room.
const endedBytes = 60

// What a process reads when it starts grew with every job that was ever
// accepted: after 110 s of traffic 8.9 MB, 13 s on a link of 10 Mbit/s. Machines
// that were restarted stayed unready that long, and after a loss of power the
// cell did. The evidence: what a machine with a fast link took in until it was
// ready, and how long the others took in what their link carries.
func TestEndedJobsLeaveSmallRecords(t *testing.T) {
	o := newOutside(t, 2)
	a := o.start(t, "a")
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
	client := platform.NewStoreClient(o.store.Address(), nil)
	defer client.Close()
	var size int
	eventually(t, "ended jobs leave little", func() bool {
		size = 0
		_, err := product.ReadNewest(context.Background(), client, product.Partition{Topic: topicJobs, Keyed: true}, product.PageTimeout{Initial: time.Second}, func(records []product.Record) {
			for _, r := range records {
				size += r.Size()
			}
		}, nil)
		return err == nil && size <= jobs*endedBytes
	})
	b := o.start(t, "b") // reads only what is left
	b.awaitReady(t)
	for i := range jobs {
		b.awaitState(t, id(i), "completed")
		if status, _ := b.ask(t, http.MethodDelete, "/q/"+id(i), ""); status != http.StatusOK {
			t.Errorf("the cancel of an ended job is answered %d", status)
		}
	}
	before := len(o.starts())
	b.submit(t, id(0), specification, 2) // a late repeat of the first submission
	b.awaitState(t, id(0), "completed")
	if after := o.starts(); len(after) != before || after[id(0)+".0.0.0"] != 1 {
		t.Errorf("an ended job ran again: %v", after)
	}
	if status, _ := b.ask(t, http.MethodGet, "/q/00000000000001ff", ""); status != http.StatusGone {
		t.Errorf("a job that nobody submitted is answered %d", status)
	}
}
