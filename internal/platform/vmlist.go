package platform

import (
	"context"

	"github.com/skylarklock/skylarklock/api"
)

// VMList is the platform's list of live and leaving VMs. It lags.
type VMList interface {
	// List returns the VMs of one data centre, or an error when the
	// platform cannot be reached.
	List(ctx context.Context, dc api.DataCentre) ([]api.VM, error)
}
