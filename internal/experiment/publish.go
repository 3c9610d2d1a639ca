package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/schema"
	"github.com/skylarklock/skylarklock/internal/standin/site"
)

const publishTimeout = 10 * time.Second

// publishAll publishes the records of the services, and limits of callers so high
// that only a flood reaches them. It waits until all are in force on every entry
// VM.
func (c *cell) publishAll(ctx context.Context, services []site.Service) error {
	specs := map[string]string{}
	for _, p := range c.cfg.Policies {
		specs[serviceName(p)] = p
	}
	for _, s := range services {
		specs[s.Name] = schema.RoutingLeastLoaded
	}
	for name, policy := range specs {
		spec := schema.DefaultService(name)
		spec.RoutingPolicy = policy
		if err := c.publish(ctx, api.KindService, name, spec); err != nil {
			return err
		}
	}
	limits := api.LimitsSpec{Caller: schema.AnyCaller, RatePerSecond: 5000, Burst: 5000, Concurrency: 2000}
	if err := c.publish(ctx, api.KindLimits, schema.AnyCaller, limits); err != nil {
		return err
	}
	return c.awaitNewestRevision(ctx)
}

// publish publishes a record under a new key through the first entry VM.
func (c *cell) publish(ctx context.Context, kind api.Kind, name string, spec any) error {
	data, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	body, err := json.Marshal(api.Record{Kind: kind, Name: name, SchemaVersion: schema.LatestVersion(kind), Spec: data})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	target := "http://" + c.Entries[0].Settings.Listen.Operators + "/v1/records"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var answer api.PublishAnswer
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return errors.Wrapf(err, "publish %s/%s: status %d", kind, name, resp.StatusCode)
	}
	if answer.Outcome != api.PublishAccepted {
		return errors.Newf("publish %s/%s: %s: %s %v", kind, name, answer.Outcome, answer.Detail, answer.Findings)
	}
	return nil
}

// awaitNewestRevision waits until the newest revision that the first entry VM knows
// is in force on every entry VM.
func (c *cell) awaitNewestRevision(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	newest := c.Entries[0].Node.Status().Revision
	for _, e := range c.Entries {
		for e.Node.Status().Revision < newest {
			if !sleep(ctx, 20*time.Millisecond) {
				return errors.New("records not in force everywhere in time")
			}
		}
	}
	return nil
}
