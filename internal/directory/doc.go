// Package directory decides what to believe of the platform's VM list.
//
// The list lags and may be cut short. A VM that is missing from it is kept as
// a suspect for a grace time; when many go missing at once, all of them are
// kept unless they fail to answer. The list's marks that a VM or an endpoint
// leaves are believed at once; an endpoint's own word reaches the router first. The decision is pure: Merge takes what was believed, what
// is listed and the time, and returns what is believed now.
package directory
