package work

import (
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

func TestPathsDiffer(t *testing.T) {
	seen := make(map[PathID]string)
	for _, host := range []string{"", "h", "h/", "g"} {
		for _, prefix := range []string{"", "/", "/q", "/q/", "/Q/", "h"} {
			id := NewPathID(host, prefix)
			if other, known := seen[id]; known || id == 0 {
				t.Errorf("%q %q has the ID %d of %q", host, prefix, id, other)
			}
			seen[id] = host + " " + prefix
		}
	}
}

func TestPathOfRecordsIsKept(t *testing.T) {
	for _, workspace := range []WorkspaceID{0, NewWorkspaceID("team")} {
		job := newWorkspaceJob()
		job.Workspace, job.Path = workspace, NewPathID("h", "/q/")
		job.Terms = Terms{MaxAttempts: 3, LatencyObjective: 90 * time.Second}
		data, err := EncodeJob(job)
		if err != nil {
			t.Fatal(err)
		}
		if decoded, err := DecodeJob(data); err != nil || !reflect.DeepEqual(decoded, job) {
			t.Errorf("decoded %+v, %v", decoded, err)
		}
		var former jobWithoutWorkspace
		if err := cbor.Unmarshal(data, &former); err != nil || former.Queue != "q" || !reflect.DeepEqual(former.Steps, job.Steps) {
			t.Errorf("processes that record no paths read %+v, %v", former, err)
		}
		outcome := &Outcome{State: Completed, Queue: "q", Path: job.Path, Workspace: workspace}
		if data, err = EncodeOutcome(outcome); err != nil {
			t.Fatal(err)
		}
		if decoded, err := DecodeOutcome(data); err != nil || !reflect.DeepEqual(decoded, outcome) {
			t.Errorf("decoded %+v, %v", decoded, err)
		}
		var formerOutcome outcomeWithoutWorkspace
		if err := cbor.Unmarshal(data, &formerOutcome); err != nil || formerOutcome.Queue != "q" || formerOutcome.State != Completed {
			t.Errorf("processes that record no paths read %+v, %v", formerOutcome, err)
		}
	}
}

func TestTermsAreRecordedWithinTheirBounds(t *testing.T) {
	for _, c := range []struct{ terms, want Terms }{
		{Terms{MaxAttempts: 1}, Terms{MaxAttempts: 1}},
		{Terms{LatencyObjective: 1500 * time.Microsecond}, Terms{LatencyObjective: time.Millisecond}},
		{Terms{MaxAttempts: 1 << 20, LatencyObjective: 1 << 62}, Terms{MaxAttempts: maxTermsAttempts, LatencyObjective: maxTermsObjective * time.Millisecond}},
		{Terms{MaxAttempts: -1, LatencyObjective: -time.Second}, Terms{}},
	} {
		if got := termsOfTag(c.terms.tag()); got != c.want {
			t.Errorf("%+v is read as %+v, want %+v", c.terms, got, c.want)
		}
	}
}

// Machines that know no paths serve beside those that do while a new version is rolled out.
func TestPathOfSummariesIsKept(t *testing.T) {
	path, workspace := NewPathID("h", "/q/"), NewWorkspaceID("team")
	summaries := []Summary{
		{ID: ID{1}, Queue: "q", Path: path, Workspace: workspace}, {ID: ID{2}, Queue: "q", State: Running}, {ID: ID{3}, Queue: "q", Path: path},
		{ID: ID{4}, Queue: "p", Path: NewPathID("h", "/p/"), Cancelled: true}, {ID: ID{5}, Queue: "q", Path: path, Workspace: workspace},
	}
	data, err := cbor.Marshal(PackSummaries(summaries))
	if err != nil {
		t.Fatal(err)
	}
	var packed Summaries
	if err := cbor.Unmarshal(data, &packed); err != nil {
		t.Fatal(err)
	}
	if decoded, readable := packed.Unpack(); !readable || !reflect.DeepEqual(decoded, summaries) {
		t.Errorf("decoded %+v, readable %v", decoded, readable)
	}
	var former summariesWithoutWorkspace
	if err := cbor.Unmarshal(data, &former); err != nil {
		t.Fatal(err)
	}
	for i, j := range former.Jobs {
		if got := former.Queues[j.Queue]; got != summaries[i].Queue {
			t.Errorf("processes that know no paths read queue %q of job %v, want %q", got, j.ID, summaries[i].Queue)
		}
	}
	packed.Queues[len(packed.Queues)-1].queue = "not a number"
	if _, readable := packed.Unpack(); readable {
		t.Error("a path that is no number is read")
	}
}
