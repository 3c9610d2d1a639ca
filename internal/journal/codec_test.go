package journal

import (
	"testing"

	"github.com/skylarklock/skylarklock/api"
)

func TestEntryCodecIsCompact(t *testing.T) {
	e := Entry{Type: TypeCellFirst, Body: Encode(api.TaskID{Job: "j", Index: 7})}
	data := Encode(e)
	if len(data) > 12 {
		t.Fatalf("entry has %d bytes, want at most 12", len(data))
	}
	var back Entry
	if err := Decode(data, &back); err != nil {
		t.Fatal(err)
	}
	var id api.TaskID
	if err := Decode(back.Body, &id); err != nil || id.Index != 7 || id.Job != "j" {
		t.Fatalf("got %v, %v", id, err)
	}
}

// TestDecodeAcceptsLargeArrays guards against the library's default limit of
// 131072 elements, which is below the number of running tasks.
func TestDecodeAcceptsLargeArrays(t *testing.T) {
	tasks := make([]api.TaskID, 500_000)
	if err := Decode(Encode(tasks), &tasks); err != nil {
		t.Fatal(err)
	}
}
