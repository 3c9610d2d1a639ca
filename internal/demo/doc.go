// Package demo runs a complete cell in one process: stand-ins for the external
// systems, entry VMs in several data centres, both users' services at their real
// sizes, a service job, batch jobs and a gang job. It injects one fault of each
// kind, prints which requests ran and which were refused and why, and fails if a
// guarantee was violated.
package demo
