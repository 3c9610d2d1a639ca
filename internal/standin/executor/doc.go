// Package executor is a small stand-in for an endpoint: an HTTP server with
// slots, a connection limit, a distribution of service times and switches for
// faults. It keeps a record of all that ran, against which the outcomes told
// to callers are held. It removes no duplicates.
//
// GET /record returns a Record and POST /faults takes Faults, both as JSON;
// every other path is a request of the service.
package executor
