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
	connections int // maximum number of open connections
	http        *http.Transport
}

// connectionsPerSlot limits the connections to an endpoint. There may be more
// connections than slots, since the transport dials new connections while others
// are becoming idle, and previous holders of the endpoint may still have some
// open. All of them have to be within the limit of the endpoint.
const connectionsPerSlot = 2

// connectionLimit returns the maximum number of open connections to ep.
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

// New returns a client without connections. cfg must be valid.
func New(cfg Config) *Client {
	return &Client{
		cfg:        cfg.withDefaults(),
		transports: make(map[api.EndpointID]*endpointTransport),
	}
}

// Retain closes the idle connections to every endpoint that is not in held.
// Requests in flight to these endpoints continue, and their connections are
// closed afterwards.
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

// removeExcept removes and returns the transports that are not in keep.
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

// transport returns the transport for ep. It creates one if there is none or if the
// address or the connection limit has changed.
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

// matches reports whether t has the current address and connection limit of ep.
func (t *endpointTransport) matches(ep api.Endpoint) bool {
	return t != nil && t.address == ep.Address && t.connections == connectionLimit(ep)
}

// newTransport returns a transport for HTTP/1.1 only, without a proxy and without
// compression.
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

// dial opens a connection that writes only for the attempt that owns it.
func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: c.cfg.DialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &ownedConn{Conn: conn}, nil
}
