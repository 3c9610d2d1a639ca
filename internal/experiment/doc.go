// Package experiment measures how real entry VMs handle requests. In one process
// it starts stand-ins for the external systems and the entry VMs of one user's
// cell, sends an open-loop load and compares the current routing policy with the
// baseline policy in the same run.
//
// All listeners are on loopback, and every phase has a limited duration. Network
// delays between data centres are not simulated.
package experiment
