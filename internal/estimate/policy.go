package estimate

import "github.com/skylarklock/skylarklock/api"

// SetPolicy puts a published policy in force; what was learned stays. Zero
// fields take their defaults.
func (e *Estimator) SetPolicy(p api.PolicySpec) {
	cfg := e.cfg
	cfg.Policy = p
	e.cfg = cfg.WithDefaults()
}
