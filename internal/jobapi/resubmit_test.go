package jobapi

import (
	"net/http"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Guards against jobs that are answered as accepted and stored nowhere: a record of the job's progress or cancellation isn't its submission.
func TestJobKnownByOtherRecordsOnlyIsStored(t *testing.T) {
	progress, err := work.EncodeProgress(&work.Progress{State: work.Failed})
	if err != nil {
		t.Fatal(err)
	}
	for kind, value := range map[work.Kind][]byte{work.KindProgress: progress, work.KindCancellation: work.CancellationValue} {
		k := newKeyAPI(t, twoWorkspaces)
		id := work.ID{7: 0xa1}
		if err := k.Store.Store(t.Context(), platform.Record{Key: work.Key(kind, id), Value: value}, time.Second); err != nil {
			t.Fatal(err)
		}
		k.expect(t, http.StatusOK, http.MethodPost, jobPath, "key-a1")
		if e, _ := k.Replica.Get(id); !e.Submitted() {
			t.Errorf("known by a record of kind %c: the job was answered as accepted and isn't stored", kind)
		}
	}
}
