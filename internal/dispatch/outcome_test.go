package dispatch

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// Guards against clients being left unsure of a job that is certainly not stored, since the store refused
// each attempt of a leader that was replaced, and against the opposite.
func TestOutcomeOfAFailedAppend(t *testing.T) {
	for _, c := range []struct {
		name string
		errs []error
		want assist.StoreOutcome
	}{
		{"fenced at once", []error{platform.ErrFenced}, assist.NotStored},
		{"refused, then fenced", []error{platform.ErrUnavailable, platform.ErrFenced}, assist.NotStored},
		{"too large", []error{platform.ErrTooLarge}, assist.NotStored},
		{"no answer, then fenced", []error{platform.ErrUncertain, platform.ErrFenced}, assist.StoreUnknown},
		{"an undocumented error, then fenced", []error{errors.New("?"), platform.ErrFenced}, assist.StoreUnknown},
	} {
		runWriter(t, &scriptedLog{errs: c.errs}, func(ctx context.Context, w *writer) {
			_, err := w.append(ctx, oneRecord, false)
			if got := failedOutcome(err); got != c.want || !errors.Is(err, c.errs[len(c.errs)-1]) {
				t.Errorf("%s: outcome %v, error %v, want %v", c.name, got, err, c.want)
			}
		})
	}
}
