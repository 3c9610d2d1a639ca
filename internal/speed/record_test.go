package speed

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A record carries the speed over within its steps, and never makes it more certain.
func TestRecordRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := unlikeFleet(rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(0.3, 3).Draw(t, "speed"))
		f.runEach(rapid.IntRange(10, 60).Draw(t, "runs"), 5)
		var records []Record
		for i, e := range f.executors {
			if r, ok := f.Record(e, string(rune('a'+i)), int64(i+1), f.now); ok {
				records = append(records, r)
			}
		}
		snapshot := Snapshot{WrittenMs: 5, Executors: records}
		data, err := snapshot.Encode()
		if err != nil {
			t.Fatal(err)
		}
		read, err := DecodeSnapshot(data)
		if err != nil || read.WrittenMs != 5 || Changed(records, read.Executors) {
			t.Fatalf("read %+v, %v", read, err)
		}
		for _, r := range read.Executors {
			mean, sd, _ := f.Relative(f.executors[r.StartTimeMs-1], f.now)
			e := r.Executor(f.now)
			if math.Abs(e.mean-mean) > meanStep/2+1e-9 || math.Sqrt(e.varianceAt(f.now)) < math.Min(sd, math.Sqrt(priorVariance))-1e-9 {
				t.Fatalf("mean %.3f sd %.3f became %.3f %.3f", mean, sd, e.mean, math.Sqrt(e.varianceAt(f.now)))
			}
		}
	})
}

// An old record has no effect: executors that nobody has observed since may have changed.
func TestOldRecordIsUncertain(t *testing.T) {
	r := Record{ID: "a", StartTimeMs: 1, Mean: -16, Deviation: 4}
	e := r.Executor(testStart)
	if got := e.varianceAt(testStart.Add(5 * time.Minute)); got != priorVariance {
		t.Errorf("variance %.3f", got)
	}
}

// A value of another form is refused, whatever it is.
func TestUnreadableSnapshot(t *testing.T) {
	for _, data := range []string{"", "x", "\x80", "\x83\x01\x80\x00", `{"a":1}`} {
		if s, err := DecodeSnapshot([]byte(data)); err == nil {
			t.Errorf("%q is read as %+v", data, s)
		}
	}
}

// Only changes of more than maxUnrecorded steps are worth a record.
func TestChanged(t *testing.T) {
	before := []Record{{ID: "a", StartTimeMs: 1, Mean: 3, Deviation: 4}}
	for _, c := range []struct {
		after Record
		want  bool
	}{
		{Record{ID: "a", StartTimeMs: 1, Mean: 5, Deviation: 2}, false},
		{Record{ID: "a", StartTimeMs: 1, Mean: 6, Deviation: 4}, true},
		{Record{ID: "a", StartTimeMs: 1, Mean: 3, Deviation: 1}, true},
		{Record{ID: "a", StartTimeMs: 2, Mean: 3, Deviation: 4}, true},
		{Record{ID: "b", StartTimeMs: 1, Mean: 3, Deviation: 4}, true},
	} {
		if got := Changed(before, []Record{c.after}); got != c.want {
			t.Errorf("%+v: changed %v", c.after, got)
		}
	}
	if !Changed(before, nil) || Changed(nil, nil) {
		t.Error("number of executors")
	}
}
