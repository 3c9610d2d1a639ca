// Package entry assembles the process of an entry VM: it creates the components,
// connects them, runs them and stops them in order. It makes no scheduling or
// routing decisions itself. The components are:
//
//	streams   the config stream and the data centre's stream, with their state machines
//	peers     heartbeats and request handovers between entry VMs
//	requests  the path from the callers' listener through the filter chain to endpoints
//	cell      the path from a submitted job through placement to workers
//	operators the operators' listener
package entry
