package router

import "github.com/skylarklock/skylarklock/api"

// EventType says what happened to an endpoint.
type EventType string

// Types of events.
const (
	EventEjected  EventType = "endpoint_ejected"
	EventProbed   EventType = "endpoint_probed"
	EventRestored EventType = "endpoint_restored"
	EventLeaving  EventType = "endpoint_leaving" // the endpoint said so itself
)

// Event is a change of an endpoint's standing.
type Event struct {
	Type              EventType
	Service           string
	Endpoint          api.EndpointID
	FailureRate       float64 // share of its recent requests, 0 to 1
	OthersFailureRate float64 // the same of the service's other endpoints
}
