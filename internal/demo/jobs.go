package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cluster"
	"github.com/skylarklock/skylarklock/internal/filter"
	"github.com/skylarklock/skylarklock/internal/front"
	"github.com/skylarklock/skylarklock/internal/history"
)

// withdraw deletes the record of a running job, which cancels it.
func withdraw(ctx context.Context, c *cluster.Cluster, out io.Writer) {
	var state api.RecordState
	operators := c.Entries[0].Settings.Listen.Operators
	if err := get(ctx, "http://"+operators+"/v1/config/batchjob/withdrawn", &state); err != nil {
		fmt.Fprintf(out, "withdraw err=%q\n", err)
		return
	}
	rec := api.Record{
		Kind: api.KindBatchJob, Name: "withdrawn", SchemaVersion: 1,
		BasedOn: state.Revision, Deleted: true,
	}
	status, _, err := publishOne(ctx, operators, rec)
	fmt.Fprintf(out, "withdrawn job=withdrawn status=%d err=%v\n", status, err)
}

// awaitJobs waits until every job has ended or is known never to run, and
// records and prints what became of each.
func awaitJobs(ctx context.Context, c *cluster.Cluster, recorder *history.Recorder, out io.Writer) {
	ctx, cancel := context.WithTimeout(ctx, settleFor)
	defer cancel()
	for _, id := range jobNames() {
		status := awaitJob(ctx, c, id)
		fmt.Fprintf(out, "job=%s tasks=%v reason=%s detail=%q\n", id, status.Tasks, status.Reason, status.Detail)
		if status.Reason == api.ReasonNeverFits {
			continue // waits for a larger VM, as it was told
		}
		recorder.AddJob(history.Job{
			Spec: status.Spec, Submitted: api.OutcomeRan, Cancelled: id == "withdrawn", Tasks: status.Tasks,
		})
	}
}

// awaitService waits until all tasks of the service run, after the faults.
func awaitService(ctx context.Context, c *cluster.Cluster, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, settleFor)
	defer cancel()
	for {
		var status front.JobStatus
		err := get(ctx, "http://"+home(c, serviceJob)+"/v1/jobs/"+serviceJob, &status)
		if err == nil && status.Tasks[api.TaskRunning.String()] == serviceTasks {
			fmt.Fprintf(out, "service=%s tasks=%v\n", serviceJob, status.Tasks)
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ErrGuaranteeViolated, "service %s has tasks %v", serviceJob, status.Tasks)
		case <-time.After(settlePoll):
		}
	}
}

// awaitJob returns the last that was told of a job before ctx ended.
func awaitJob(ctx context.Context, c *cluster.Cluster, id api.JobID) front.JobStatus {
	var last front.JobStatus
	for {
		var status front.JobStatus
		if err := get(ctx, "http://"+home(c, id)+"/v1/jobs/"+string(id), &status); err == nil {
			last = status
		}
		if ended(last) || ctx.Err() != nil {
			return last
		}
		select {
		case <-ctx.Done():
		case <-time.After(settlePoll):
		}
	}
}

// ended reports whether nothing more is to come of a job.
func ended(s front.JobStatus) bool {
	if len(s.Tasks) == 0 {
		return false
	}
	if s.Reason == api.ReasonNeverFits {
		return true
	}
	for _, state := range []api.TaskState{api.TaskPending, api.TaskStarting, api.TaskRunning, api.TaskStopping} {
		if s.Tasks[state.String()] > 0 {
			return false
		}
	}
	return true
}

// home returns the callers' address of an entry VM in the home of a job: the
// one that places tasks there, since it knows best why a job waits.
func home(c *cluster.Cluster, id api.JobID) string {
	dcs := siteConfig(seed).DataCentres
	home := filter.HomeOf(string(id), dcs)
	address := ""
	for _, n := range c.Entries {
		if n.Settings.DataCentre != home {
			continue
		}
		if address == "" || places(n.Node.Status()) {
			address = n.Settings.Listen.Callers
		}
	}
	return address
}

func places(s api.Status) bool {
	for _, shard := range s.Shards {
		if shard.Shard == "cell" {
			return true
		}
	}
	return false
}

// get reads a JSON answer.
func get(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", url, resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(into)
}
