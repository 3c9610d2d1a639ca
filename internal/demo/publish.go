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

// publishTries bounds the tries to publish one record while the log recovers.
const publishTries = 20

// publishPause is the time between two tries.
const publishPause = 250 * time.Millisecond

// records returns what the operators publish at the start.
func records() []api.Record {
	return []api.Record{
		record(api.KindService, "torquebench", 2, map[string]any{"service": "torquebench"}),
		record(api.KindService, "auction", 2, map[string]any{"service": "auction"}),
		record(api.KindService, serviceJob, 2, map[string]any{"service": serviceJob, "job": service(serviceJob, serviceTasks)}),
		record(api.KindQuota, "sales", 1, map[string]any{
			"team": "sales", "weight": 2, "max": map[string]any{"milli_cpu": 400_000, "memory_mb": 800_000},
		}),
		record(api.KindBatchJob, "appraisal", 1, job("appraisal", 60, 600*time.Millisecond, 2000)),
		record(api.KindBatchJob, "catalogue", 1, job("catalogue", 20, time.Second, 4000)),
		record(api.KindGangJob, "rebuild", 1, job("rebuild", 8, time.Second, 8000)),
		record(api.KindBatchJob, "too-big", 1, job("too-big", 1, time.Second, 64_000)),
		record(api.KindBatchJob, "withdrawn", 1, job("withdrawn", 10, 10*time.Minute, 1000)),
	}
}

func job(id string, tasks int, runTime time.Duration, milliCPU int) map[string]any {
	return map[string]any{
		"id": id, "team": "sales", "tasks": tasks, "run_time_ns": runTime, "max_attempts": 5,
		"resources": map[string]any{"milli_cpu": milliCPU, "memory_mb": 1024},
	}
}

// The long-running service that the cell itself runs.
const (
	serviceJob   = "catalogue-web"
	serviceTasks = 4
)

func service(id string, tasks int) map[string]any {
	return map[string]any{
		"id": id, "team": "sales", "class": "service", "tasks": tasks, "max_attempts": 5, "max_per_rack": 2,
		"resources": map[string]any{"milli_cpu": 2000, "memory_mb": 2048},
	}
}

func record(kind api.Kind, name string, schema int, spec map[string]any) api.Record {
	data, _ := json.Marshal(spec) // of numbers and strings only
	return api.Record{Kind: kind, Name: name, SchemaVersion: schema, Spec: data}
}

// publish publishes a record through the operators' listener at address and
// returns the status and the answer's text.
func publish(ctx context.Context, address string, rec api.Record) (int, string, error) {
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

// publishAll publishes the records, trying again while one is not written.
func publishAll(ctx context.Context, address string, out io.Writer) error {
	for _, rec := range records() {
		status, text, err := publishOne(ctx, address, rec)
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

func publishOne(ctx context.Context, address string, rec api.Record) (status int, text string, err error) {
	for range publishTries {
		status, text, err = publish(ctx, address, rec)
		if err != nil || status == http.StatusOK || status == http.StatusConflict || status == http.StatusBadRequest {
			return status, text, err
		}
		select {
		case <-ctx.Done():
			return 0, "", ctx.Err()
		case <-time.After(publishPause):
		}
	}
	return status, text, nil
}

// raceOperators publishes two unlike records of one new key through two entry
// VMs at once and prints who won.
func raceOperators(ctx context.Context, c *cluster.Cluster, out io.Writer) {
	verdicts := make(chan string, 2)
	for i := range 2 {
		go func() {
			rec := record(api.KindLimits, "workshop", 2, map[string]any{
				"caller": "workshop", "rate_per_second": 1000 + i, "burst": 1000, "concurrency": 1000,
			})
			status, _, err := publish(ctx, c.Entries[i].Settings.Listen.Operators, rec)
			verdicts <- fmt.Sprintf("operator=%d status=%d err=%v", i, status, err)
		}()
	}
	fmt.Fprintf(out, "race %s; %s\n", <-verdicts, <-verdicts)
}
