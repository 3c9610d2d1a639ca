// Package crowd tests processes on the users' platform against many clients that misbehave at once.
//
// Its tests start processes with limits of their own and measure their memory and file descriptors. They
// have the build tag crowd, so that they run apart from other load:
//
//	go test -tags crowd ./internal/crowd
package crowd
