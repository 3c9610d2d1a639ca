package router

import "github.com/skylarklock/skylarklock/api"

// EventType is the kind of an endpoint event.
type EventType string

// Types of events.
const (
	EventEjected  EventType = "endpoint_ejected"
	EventProbed   EventType = "endpoint_probed"
	EventRestored EventType = "endpoint_restored"
	EventLeaving  EventType = "endpoint_leaving" // reported by the endpoint itself
)

// Event is a state change of an endpoint.
type Event struct {
	Type              EventType
	Service           string
	Endpoint          api.EndpointID
	FailureRate       float64 // share of failures in its recent requests, 0 to 1
	OthersFailureRate float64 // the same for the other endpoints of the service
}
