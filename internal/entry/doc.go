// Package entry puts the process of an entry VM together: it makes the parts,
// connects each to what it consumes, runs them and stops them in order.
//
// Nothing is decided here. The parts:
//
//	streams   the config stream and the data centre's stream, with their machines
//	peers     heartbeats and hand-overs between entry VMs
//	requests  from the callers' listener through the filter chain to endpoints
//	cell      from a submitted job through placement to workers
//	operators the operators' listener
package entry
