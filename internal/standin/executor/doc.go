// Package executor implements a small stand-in for an endpoint: an HTTP server
// with slots, a connection limit, a distribution of service times and faults
// that can be switched on. It records every request that ran, so that the
// outcomes reported to callers can be checked against the record. It does not
// remove duplicates.
//
// GET /record returns a Record and POST /faults accepts Faults, both as JSON;
// every other path is a request to the service.
package executor
