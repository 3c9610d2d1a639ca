package experiment

import (
	"context"

	"github.com/skylarklock/skylarklock/internal/load"
	"github.com/skylarklock/skylarklock/internal/standin/logserver"
)

// outage takes the log away under load and gives it back.
func outage(ctx context.Context, cfg Config, r *report) error {
	c, err := startWarmCell(ctx, cfg)
	if err != nil {
		return err
	}
	defer c.Close()
	policy := cfg.Policies[0]
	idempotent := c.stream(policy, steadyShare*cfg.capacity()/2)
	idempotent.Caller = "idempotent"
	marked := c.stream(policy, steadyShare*cfg.capacity()/2)
	marked.Caller, marked.Idempotent = "non-idempotent", false
	streams := []load.Stream{idempotent, marked}
	for _, p := range []struct {
		name   string
		faults logserver.Faults
	}{
		{"log up,", logserver.Faults{Delay: cfg.LogDelay}},
		{"log down,", logserver.Faults{Down: true}},
		{"log up again,", logserver.Faults{Delay: cfg.LogDelay}},
	} {
		c.Site.Log.SetFaults(p.faults)
		o, err := c.run(ctx, phase{streams: streams})
		if err != nil {
			return err
		}
		r.add(p.name, o)
	}
	return nil
}
