// Package experiment measures the request plane of real entry VMs: in one
// process it starts stand-ins of the outside and the entry VMs of one user's
// cell, drives them with an open load and compares the routing policy in
// force with the baseline policy in the same run.
//
// Everything listens on loopback and every phase is bounded in time. The
// delays between data centres are not imitated.
package experiment
