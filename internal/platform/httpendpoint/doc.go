// Package httpendpoint sends requests to executors over HTTP/1.1 with net/http.
//
// One call of Client.Attempt sends a request at most once. The transport of net/http
// retries some requests when a reused connection breaks. To prevent that, a
// connection writes only for the attempt that owns it, and an attempt owns a single
// connection, so a retry fails before its first byte. The count of written bytes also
// determines whether a failed request may have run: it certainly did not if no byte
// of it was written.
package httpendpoint
