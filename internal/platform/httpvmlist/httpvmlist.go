// Package httpvmlist reads the platform's VM list over HTTP with JSON bodies. It
// implements platform.VMList.
package httpvmlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/api"
)

// maxBodyBytes limits the size of a list.
const maxBodyBytes = 16 << 20

// Client implements platform.VMList.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the list at a base URL such as "http://127.0.0.1:9000".
// The context of a call is the only limit on its time.
func New(base string) *Client {
	return &Client{base: base, http: &http.Client{Transport: &http.Transport{}}}
}

// List implements platform.VMList.
func (c *Client) List(ctx context.Context, dc api.DataCentre) ([]api.VM, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/vms/"+url.PathEscape(string(dc)), nil)
	if err != nil {
		return nil, errors.Wrap(err, "VM list")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "VM list")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("VM list: status %d", resp.StatusCode)
	}
	var vms []api.VM
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(&vms); err != nil {
		return nil, errors.Wrap(err, "VM list")
	}
	return vms, nil
}
