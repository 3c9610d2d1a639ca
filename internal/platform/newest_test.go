package platform

import (
	"context"
	"testing"
	"time"
)

// growingPartition is a partition to which a record is written while each page is
// created. The records of a page are therefore older than the end that it states.
type growingPartition struct {
	PartitionLog
	keys []string
}

func (l *growingPartition) Newest(_ context.Context, _ Partition, after string) (NewestPage, error) {
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

// ReadNewest passes every record below the offset that it returns, even if the end
// stated by a page is later than the page's records.
func TestReadNewestPassesAllRecords(t *testing.T) {
	l := &growingPartition{keys: []string{"a", "b"}}
	got := make(map[Offset]bool)
	next, err := ReadNewest(context.Background(), l, Partition{}, PageTimeout{Initial: time.Second}, func(records []Record) {
		for _, r := range records {
			got[r.Offset] = true
		}
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	for offset := Offset(0); offset < next; offset++ {
		if !got[offset] {
			t.Fatalf("next offset is %d, but the record at %d was not passed", next, offset)
		}
	}
}

// repeatingPartition is a partition that answers with the same page every time and claims that
// there are more.
type repeatingPartition struct {
	PartitionLog
	records []Record
	calls   int
}

func (o *repeatingPartition) Newest(context.Context, Partition, string) (NewestPage, error) {
	o.calls++
	return NewestPage{Records: o.records, More: true}, nil
}

// ReadNewest fails on a page without a key after which to continue, since the records
// after that page can't be requested.
func TestReadNewestFailsOnPageWithoutNewKey(t *testing.T) {
	for name, records := range map[string][]Record{
		"no keys":      {{Err: ErrMalformed}, {Err: ErrMalformed}},
		"the same key": {{Key: "a", Value: []byte("x")}, {Err: ErrMalformed}},
	} {
		o := &repeatingPartition{records: records}
		if _, err := ReadNewest(context.Background(), o, Partition{Topic: "x"}, PageTimeout{Initial: time.Second}, func([]Record) {}, nil); err == nil {
			t.Errorf("%s: ReadNewest succeeded", name)
		}
		if o.calls > 3 {
			t.Errorf("%s: %d calls", name, o.calls)
		}
	}
}
