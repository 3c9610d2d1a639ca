package httpendpoint

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// Client implements platform.Endpoint. It is safe for concurrent use.
type Client struct {
	cfg Config

	mu         sync.RWMutex
	transports map[api.EndpointID]*endpointTransport
}

var _ platform.Endpoint = (*Client)(nil)

// endpointTransport holds the connections to one endpoint.
type endpointTransport struct {
	address     string
	connections int // most open at once
	http        *http.Transport
}

// connectionsPerSlot bounds the connections to an endpoint. The transport
// dials ahead while connections come free, and previous holders of the
// endpoint may still have some open, all within what the endpoint accepts.
const connectionsPerSlot = 2

// connectionLimit returns the connections that may be open to ep at once.
func connectionLimit(ep api.Endpoint) int {
	if ep.Slots == 0 {
		return ep.Connections
	}
	limit := connectionsPerSlot * ep.Slots
	if ep.Connections == 0 {
		return limit
	}
	return min(limit, ep.Connections)
}

// New returns a client without connections. Validate the settings first.
func New(cfg Config) *Client {
	return &Client{
		cfg:        cfg.withDefaults(),
		transports: make(map[api.EndpointID]*endpointTransport),
	}
}

// Retain closes the idle connections to every endpoint that is not in held.
// Requests in flight to these go on, and their connections close after them.
func (c *Client) Retain(held []api.EndpointID) {
	keep := make(map[api.EndpointID]bool, len(held))
	for _, id := range held {
		keep[id] = true
	}
	for _, t := range c.removeExcept(keep) {
		t.http.CloseIdleConnections()
	}
}

// Close closes every idle connection.
func (c *Client) Close() {
	c.Retain(nil)
}

// removeExcept takes the transports that are not in keep out of the client.
func (c *Client) removeExcept(keep map[api.EndpointID]bool) []*endpointTransport {
	c.mu.Lock()
	defer c.mu.Unlock()
	var removed []*endpointTransport
	for id, t := range c.transports {
		if keep[id] {
			continue
		}
		removed = append(removed, t)
		delete(c.transports, id)
	}
	return removed
}

// transport returns the transport of ep, a new one when its address or
// connection limit has changed.
func (c *Client) transport(ep api.Endpoint) *http.Transport {
	c.mu.RLock()
	t := c.transports[ep.ID]
	c.mu.RUnlock()
	if t.matches(ep) {
		return t.http
	}

	c.mu.Lock()
	defer c.mu.Unlock()
	t = c.transports[ep.ID]
	if t.matches(ep) {
		return t.http
	}
	if t != nil {
		go t.http.CloseIdleConnections()
	}
	t = &endpointTransport{address: ep.Address, connections: connectionLimit(ep), http: c.newTransport(ep)}
	c.transports[ep.ID] = t
	return t.http
}

// matches reports whether t was made for ep as it is now.
func (t *endpointTransport) matches(ep api.Endpoint) bool {
	return t != nil && t.address == ep.Address && t.connections == connectionLimit(ep)
}

// newTransport returns a transport that neither follows a proxy, asks for
// compression nor speaks anything but HTTP/1.1.
func (c *Client) newTransport(ep api.Endpoint) *http.Transport {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &http.Transport{
		Proxy:                  nil,
		DialContext:            c.dial,
		DisableCompression:     true,
		MaxConnsPerHost:        connectionLimit(ep),
		MaxIdleConnsPerHost:    connectionLimit(ep),
		IdleConnTimeout:        c.cfg.IdleTimeout,
		MaxResponseHeaderBytes: c.cfg.MaxHeaderBytes,
		Protocols:              &protocols,
	}
}

// dial opens a connection that writes only for the attempt that arms it.
func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: c.cfg.DialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &armedConn{Conn: conn}, nil
}
