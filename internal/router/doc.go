// Package router chooses the endpoint for each request of the services whose
// endpoints this entry VM holds.
//
// The state of each service is a shard under its own lock. The decisions are
// pure and live in choice.go, health.go and fairqueue.go: state and time go
// in, a decision comes out. Waiting, timers and locks live in shard.go and
// wait.go. Instants inside the package are durations since the router was
// made.
package router
