// Package httpendpoint reaches executors over HTTP/1.1 with net/http.
//
// One call of Client.Attempt puts a request on the wire at most once. The
// transport of net/http repeats some requests by itself when a reused
// connection breaks; here a connection refuses to write unless an attempt has
// armed it, and an attempt arms one connection only. A repeat therefore fails
// before its first byte. The same accounting tells whether a failed request
// may have run: it certainly did not when no byte of it was written.
package httpendpoint
