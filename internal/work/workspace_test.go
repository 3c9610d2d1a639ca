package work

import (
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/skylarklock/skylarklock/api"
)

// The records as processes without workspaces decode and encode them.
type (
	jobWithoutWorkspace struct {
		_             struct{} `cbor:",toarray"`
		ID            ID
		Queue         string
		Service       string
		Specification string
		Steps         []Step
		AcceptedMs    int64
		FirstRunMs    int64
		Interval      time.Duration
		Repetitions   int
	}
	outcomeWithoutWorkspace struct {
		_     struct{} `cbor:",toarray"`
		State State
		Queue string
	}
	summariesWithoutWorkspace struct {
		_      struct{} `cbor:",toarray"`
		Queues []string
		Jobs   []packedSummary
	}
)

func newWorkspaceJob() *Job {
	return &Job{
		ID: ID{7}, Queue: "q", Service: "s", Specification: "text", AcceptedMs: 12, Workspace: NewWorkspaceID("team"),
		Steps: []Step{{TaskCount: 2, TaskResources: api.Resources{MilliCPU: 500}, Estimate: time.Second, Gang: true}},
	}
}

func TestWorkspaceOfRecordsIsKept(t *testing.T) {
	job := newWorkspaceJob()
	data, err := EncodeJob(job)
	if err != nil {
		t.Fatal(err)
	}
	if decoded, err := DecodeJob(data); err != nil || !reflect.DeepEqual(decoded, job) {
		t.Errorf("decoded %+v, %v", decoded, err)
	}
	outcome := &Outcome{State: Completed, Queue: "q", Workspace: job.Workspace}
	if data, err = EncodeOutcome(outcome); err != nil {
		t.Fatal(err)
	}
	if decoded, err := DecodeOutcome(data); err != nil || !reflect.DeepEqual(decoded, outcome) {
		t.Errorf("decoded %+v, %v", decoded, err)
	}
	summaries := []Summary{{ID: ID{1}, Queue: "q", Workspace: job.Workspace}, {ID: ID{2}, Queue: "q"}, {ID: ID{3}, Queue: "q", Workspace: NewWorkspaceID("other")}}
	if data, err = cbor.Marshal(PackSummaries(summaries)); err != nil {
		t.Fatal(err)
	}
	var packed Summaries
	if err := cbor.Unmarshal(data, &packed); err != nil {
		t.Fatal(err)
	}
	if decoded, readable := packed.Unpack(); !readable || !reflect.DeepEqual(decoded, summaries) {
		t.Errorf("decoded %+v, readable %v", decoded, readable)
	}
}

// Machines that know no workspaces serve beside those that do while a new version is rolled out, so
// either has to read what the other writes.
func TestRecordsAreReadByProcessesWithoutWorkspaces(t *testing.T) {
	job := newWorkspaceJob()
	data, err := EncodeJob(job)
	if err != nil {
		t.Fatal(err)
	}
	var former jobWithoutWorkspace
	if err := cbor.Unmarshal(data, &former); err != nil || former.ID != job.ID || former.Queue != "q" || !reflect.DeepEqual(former.Steps, job.Steps) {
		t.Errorf("a job is read as %+v, %v", former, err)
	}
	if data, err = cbor.Marshal(former); err != nil {
		t.Fatal(err)
	}
	if decoded, err := DecodeJob(data); err != nil || decoded.Workspace != 0 || decoded.ID != job.ID {
		t.Errorf("a job without a workspace is read as %+v, %v", decoded, err)
	}
	if data, err = EncodeOutcome(&Outcome{State: Failed, Queue: "q", Workspace: job.Workspace}); err != nil {
		t.Fatal(err)
	}
	var outcome outcomeWithoutWorkspace
	if err := cbor.Unmarshal(data, &outcome); err != nil || outcome.State != Failed || outcome.Queue != "q" {
		t.Errorf("an outcome is read as %+v, %v", outcome, err)
	}
	if data, err = cbor.Marshal(PackSummaries([]Summary{{ID: ID{1}, Queue: "q", Workspace: job.Workspace}, {ID: ID{2}, Queue: "q"}})); err != nil {
		t.Fatal(err)
	}
	var summaries summariesWithoutWorkspace
	if err := cbor.Unmarshal(data, &summaries); err != nil || !reflect.DeepEqual(summaries.Queues, []string{"q", "q"}) || summaries.Jobs[1].Queue != 1 {
		t.Errorf("summaries are read as %+v, %v", summaries, err)
	}
	if data, err = cbor.Marshal(summaries); err != nil {
		t.Fatal(err)
	}
	var packed Summaries
	if err := cbor.Unmarshal(data, &packed); err != nil {
		t.Errorf("summaries without workspaces: %v", err)
	}
}

func TestTagThatIsNoWorkspaceIsRejected(t *testing.T) {
	data, err := cbor.Marshal(cbor.Tag{Number: 1234, Content: newWorkspaceJob()})
	if err != nil {
		t.Fatal(err)
	}
	if j, err := DecodeJob(data); err == nil {
		t.Errorf("decoded %+v", j)
	}
}
