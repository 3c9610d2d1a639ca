package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cluster"
)

// maxPublishAttempts limits the attempts to publish one record while the log
// recovers.
const maxPublishAttempts = 20

// publishRetryDelay is the time between two attempts.
const publishRetryDelay = 250 * time.Millisecond

// initialRecords returns the records that the operators publish at the start.
func initialRecords() []api.Record {
	return []api.Record{
		newRecord(api.KindService, "torquebench", 2, map[string]any{"service": "torquebench"}),
		newRecord(api.KindService, "auction", 2, map[string]any{"service": "auction"}),
		newRecord(api.KindService, serviceJobName, 2, map[string]any{"service": serviceJobName, "job": serviceSpec(serviceJobName, serviceTasks)}),
		newRecord(api.KindQuota, "sales", 1, map[string]any{
			"team": "sales", "weight": 2, "max": map[string]any{"milli_cpu": 400_000, "memory_mb": 800_000},
		}),
		newRecord(api.KindBatchJob, "appraisal", 1, jobSpec("appraisal", 60, 600*time.Millisecond, 2000)),
		newRecord(api.KindBatchJob, "catalogue", 1, jobSpec("catalogue", 20, time.Second, 4000)),
		newRecord(api.KindGangJob, "rebuild", 1, jobSpec("rebuild", 8, time.Second, 8000)),
		newRecord(api.KindBatchJob, "too-big", 1, jobSpec("too-big", 1, time.Second, 64_000)),
		newRecord(api.KindBatchJob, "withdrawn", 1, jobSpec("withdrawn", 10, 10*time.Minute, 1000)),
	}
}

// jobSpec returns the spec of a batch or gang job.
func jobSpec(id string, tasks int, runTime time.Duration, milliCPU int) map[string]any {
	return map[string]any{
		"id": id, "team": "sales", "tasks": tasks, "run_time_ns": runTime, "max_attempts": 5,
		"resources": map[string]any{"milli_cpu": milliCPU, "memory_mb": 1024},
	}
}

// The service job, whose tasks the cell itself runs.
const (
	serviceJobName = "catalogue-web"
	serviceTasks   = 4
)

// serviceSpec returns the spec of a service job.
func serviceSpec(id string, tasks int) map[string]any {
	return map[string]any{
		"id": id, "team": "sales", "class": "service", "tasks": tasks, "max_attempts": 5, "max_per_rack": 2,
		"resources": map[string]any{"milli_cpu": 2000, "memory_mb": 2048},
	}
}

func newRecord(kind api.Kind, name string, schema int, spec map[string]any) api.Record {
	data, _ := json.Marshal(spec) // can't fail: the spec holds numbers, strings and maps only
	return api.Record{Kind: kind, Name: name, SchemaVersion: schema, Spec: data}
}

// publishOnce publishes a record through the operators' listener at address and
// returns the status and body of the answer.
func publishOnce(ctx context.Context, address string, rec api.Record) (int, string, error) {
	data, err := json.Marshal(rec)
	if err != nil {
		return 0, "", err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/records", bytes.NewReader(data))
	if err != nil {
		return 0, "", err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// publishAll publishes the initial records and retries those that were not
// written.
func publishAll(ctx context.Context, address string, out io.Writer) error {
	for _, rec := range initialRecords() {
		status, text, err := publishWithRetry(ctx, address, rec)
		if err != nil {
			return err
		}
		if status != http.StatusOK {
			return errors.Newf("publish %s/%s: status %d: %s", rec.Kind, rec.Name, status, text)
		}
		fmt.Fprintf(out, "published kind=%s name=%s\n", rec.Kind, rec.Name)
	}
	return nil
}

// publishWithRetry publishes a record until it is accepted, is rejected for good
// or has used up its attempts.
func publishWithRetry(ctx context.Context, address string, rec api.Record) (status int, text string, err error) {
	for range maxPublishAttempts {
		status, text, err = publishOnce(ctx, address, rec)
		if err != nil || status == http.StatusOK || status == http.StatusConflict || status == http.StatusBadRequest {
			return status, text, err
		}
		select {
		case <-ctx.Done():
			return 0, "", ctx.Err()
		case <-time.After(publishRetryDelay):
		}
	}
	return status, text, nil
}

// raceOperators publishes two different records of the same new key through two
// entry VMs at the same time and prints both answers.
func raceOperators(ctx context.Context, c *cluster.Cluster, out io.Writer) {
	results := make(chan string, 2)
	for i := range 2 {
		go func() {
			rec := newRecord(api.KindLimits, "workshop", 2, map[string]any{
				"caller": "workshop", "rate_per_second": 1000 + i, "burst": 1000, "concurrency": 1000,
			})
			status, _, err := publishOnce(ctx, c.Entries[i].Settings.Listen.Operators, rec)
			results <- fmt.Sprintf("operator=%d status=%d err=%v", i, status, err)
		}()
	}
	fmt.Fprintf(out, "race %s; %s\n", <-results, <-results)
}
