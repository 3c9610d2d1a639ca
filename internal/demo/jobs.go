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

// withdrawJob deletes the record of the running job "withdrawn", which cancels it.
func withdrawJob(ctx context.Context, c *cluster.Cluster, out io.Writer) {
	var state api.RecordState
	operators := c.Entries[0].Settings.Listen.Operators
	if err := getJSON(ctx, "http://"+operators+"/v1/config/batchjob/withdrawn", &state); err != nil {
		fmt.Fprintf(out, "withdraw err=%q\n", err)
		return
	}
	rec := api.Record{
		Kind: api.KindBatchJob, Name: "withdrawn", SchemaVersion: 1,
		BasedOn: state.Revision, Deleted: true,
	}
	status, _, err := publishWithRetry(ctx, operators, rec)
	fmt.Fprintf(out, "withdrawn job=withdrawn status=%d err=%v\n", status, err)
}

// awaitJobs waits until every job has ended or is known to fit on no VM. It
// prints the status of each and adds it to the recorder.
func awaitJobs(ctx context.Context, c *cluster.Cluster, recorder *history.Recorder, out io.Writer) {
	ctx, cancel := context.WithTimeout(ctx, maxSettleTime)
	defer cancel()
	for _, id := range jobNames() {
		status := awaitJob(ctx, c, id)
		fmt.Fprintf(out, "job=%s tasks=%v reason=%s detail=%q\n", id, status.Tasks, status.Reason, status.Detail)
		if status.Reason == api.ReasonNeverFits {
			continue // pending until there is a larger VM, as its status reports
		}
		recorder.AddJob(history.Job{
			Spec: status.Spec, Submitted: api.OutcomeRan, Cancelled: id == "withdrawn", Tasks: status.Tasks,
		})
	}
}

// awaitService waits until all tasks of the service job run again after the
// faults.
func awaitService(ctx context.Context, c *cluster.Cluster, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, maxSettleTime)
	defer cancel()
	for {
		var status front.JobStatus
		err := getJSON(ctx, "http://"+homeEntryAddress(c, serviceJobName)+"/v1/jobs/"+serviceJobName, &status)
		if err == nil && status.Tasks[api.TaskRunning.String()] == serviceTasks {
			fmt.Fprintf(out, "service=%s tasks=%v\n", serviceJobName, status.Tasks)
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ErrGuaranteeViolated, "service %s has tasks %v", serviceJobName, status.Tasks)
		case <-time.After(settlePollInterval):
		}
	}
}

// awaitJob polls the status of a job until the job is settled or ctx ends, and
// returns the last status received.
func awaitJob(ctx context.Context, c *cluster.Cluster, id api.JobID) front.JobStatus {
	var last front.JobStatus
	for {
		var status front.JobStatus
		if err := getJSON(ctx, "http://"+homeEntryAddress(c, id)+"/v1/jobs/"+string(id), &status); err == nil {
			last = status
		}
		if isSettled(last) || ctx.Err() != nil {
			return last
		}
		select {
		case <-ctx.Done():
		case <-time.After(settlePollInterval):
		}
	}
}

// isSettled reports whether the status of a job is final.
func isSettled(s front.JobStatus) bool {
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

// homeEntryAddress returns the address for callers of an entry VM in the home
// data centre of a job. It prefers the entry VM that places tasks there, whose
// information on why a job is pending is the most recent.
func homeEntryAddress(c *cluster.Cluster, id api.JobID) string {
	dcs := siteConfig(seed).DataCentres
	home := filter.HomeOf(string(id), dcs)
	address := ""
	for _, n := range c.Entries {
		if n.Settings.DataCentre != home {
			continue
		}
		if address == "" || holdsCellShard(n.Node.Status()) {
			address = n.Settings.Listen.Callers
		}
	}
	return address
}

// holdsCellShard reports whether an entry VM holds the cell shard, and so places
// the tasks of its data centre.
func holdsCellShard(s api.Status) bool {
	for _, shard := range s.Shards {
		if shard.Shard == "cell" {
			return true
		}
	}
	return false
}

// getJSON reads the JSON document at url into a value.
func getJSON(ctx context.Context, url string, into any) error {
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
