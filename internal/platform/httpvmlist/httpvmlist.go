// Package httpvmlist reads the platform's VM list over net/http with JSON
// bodies. It is an adapter of platform.VMList.
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

// maxBody bounds a list, in bytes.
const maxBody = 16 << 20

// Client implements platform.VMList.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the list served at base, as in
// "http://127.0.0.1:9000". The caller's context bounds each read.
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
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBody)).Decode(&vms); err != nil {
		return nil, errors.Wrap(err, "VM list")
	}
	return vms, nil
}
