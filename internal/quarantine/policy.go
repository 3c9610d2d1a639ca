package quarantine

import "github.com/skylarklock/skylarklock/api"

// SetPolicy puts a published policy in force; what was learned stays. Zero
// fields take their defaults.
func (t *Tracker) SetPolicy(p api.PolicySpec) {
	cfg := t.cfg
	cfg.Policy = p
	t.cfg = cfg.WithDefaults()
}
