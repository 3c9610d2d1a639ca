package journal

import (
	"testing"

	"github.com/skylarklock/skylarklock/api"
)

func TestEntryCodecIsCompact(t *testing.T) {
	e := Entry{Type: TypeCellFirst, Body: Encode(api.TaskID{Job: "j", Index: 7})}
	data := Encode(e)
	if len(data) > 12 {
		t.Fatalf("entry takes %d bytes", len(data))
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

// TestDecodeAcceptsLargeArrays failed with the library's default
// bound of 131072 elements.
func TestDecodeAcceptsLargeArrays(t *testing.T) {
	tasks := make([]api.TaskID, 500_000)
	if err := Decode(Encode(tasks), &tasks); err != nil {
		t.Fatal(err)
	}
}
