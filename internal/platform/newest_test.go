package platform

import (
	"context"
	"testing"
	"time"
)

// lateEnd is a partition whose pages hold records from before the end that
// they name: one more is written while each page is made.
type lateEnd struct {
	PartitionLog
	keys []string
}

func (l *lateEnd) Newest(_ context.Context, _ Partition, after string) (NewestPage, error) {
	var page NewestPage
	for i, k := range l.keys {
		if k > after {
			page.Records = append(page.Records, Record{Key: k, Offset: Offset(i)})
		}
	}
	l.keys = append(l.keys, string(rune('a'+len(l.keys))))
	page.End = Offset(len(l.keys))
	return page, nil
}

// What ReadNewest says to be passed has been passed, also where a page's end
// is later than its records.
func TestReadNewestMissesNothing(t *testing.T) {
	l := &lateEnd{keys: []string{"a", "b"}}
	got := make(map[Offset]bool)
	next, err := ReadNewest(context.Background(), l, Partition{}, time.Second, func(records []Record) {
		for _, r := range records {
			got[r.Offset] = true
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	for at := Offset(0); at < next; at++ {
		if !got[at] {
			t.Fatalf("reading goes on at %d, but the record at %d was not passed", next, at)
		}
	}
}
