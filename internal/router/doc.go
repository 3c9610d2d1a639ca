// Package router selects an endpoint for each request to the services whose
// endpoints this entry VM holds.
//
// Each service has a shard with its own lock. choice.go, health.go and
// fairqueue.go contain pure functions that decide from state and time only;
// shard.go and wait.go contain locks, timers and waiting. Times inside the
// package are durations since the router was created.
package router
