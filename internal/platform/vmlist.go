package platform

import (
	"context"

	"github.com/skylarklock/skylarklock/api"
)

// VMList is the platform's list of live and leaving VMs. The list may be out of date.
type VMList interface {
	// List returns the VMs of one data centre. It fails if the platform
	// can't be reached.
	List(ctx context.Context, dc api.DataCentre) ([]api.VM, error)
}
