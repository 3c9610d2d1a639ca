// Package api defines the types shared by all parts of skylarklock:
// identifiers, resources, records, tasks, request outcomes and reasons.
//
// It imports only the standard library, so that callers, operators' programs
// and adapters can use it without the rest of the project.
package api
