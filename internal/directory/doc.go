// Package directory decides which VMs of the platform's VM list to use.
//
// The list lags and may be truncated. A VM that is missing from it is therefore kept for
// a grace period. If many VMs go missing at once, all of them are kept unless they don't
// answer. Marks in the list that a VM or an endpoint is leaving apply immediately; what
// an endpoint itself announces reaches the router first.
//
// The package does no I/O: Merge takes the previous view, the new list and the time, and
// returns the new view.
package directory
