package clientlimit

import "net"

// Listener returns a listener whose connections count for the limits. The server that accepts them must use
// ConnState, ConnContext and Handler.
func (l *Limiter) Listener(inner net.Listener) net.Listener { return &listener{inner, l} }

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.limiter.admit(nc); c != nil {
			return c, nil
		}
	}
}
