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
func TestReadNewestPassesAllRecords(t *testing.T) {
	l := &lateEnd{keys: []string{"a", "b"}}
	got := make(map[Offset]bool)
	next, err := ReadNewest(context.Background(), l, Partition{}, PageTimeout{Initial: time.Second}, func(records []Record) {
		for _, r := range records {
			got[r.Offset] = true
		}
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	for at := Offset(0); at < next; at++ {
		if !got[at] {
			t.Fatalf("reading goes on at %d, but the record at %d was not passed", next, at)
		}
	}
}

// onePage is a partition whose pages are all alike and never the last.
type onePage struct {
	PartitionLog
	records []Record
	calls   int
}

func (o *onePage) Newest(context.Context, Partition, string) (NewestPage, error) {
	o.calls++
	return NewestPage{Records: o.records, More: true}, nil
}

// A page that names no key to go on after ends the reading with an error: what
// follows can't be reached.
func TestReadNewestFailsOnPageWithoutNewKey(t *testing.T) {
	for name, records := range map[string][]Record{
		"no keys":      {{Err: ErrMalformed}, {Err: ErrMalformed}},
		"the same key": {{Key: "a", Value: []byte("x")}, {Err: ErrMalformed}},
	} {
		o := &onePage{records: records}
		if _, err := ReadNewest(context.Background(), o, Partition{Topic: "x"}, PageTimeout{Initial: time.Second}, func([]Record) {}, nil); err == nil {
			t.Errorf("%s: read to the end", name)
		}
		if o.calls > 3 {
			t.Errorf("%s: %d calls", name, o.calls)
		}
	}
}
