// Package api holds the vocabulary shared by every part of skylarklock:
// identifiers, resources, records, tasks, request outcomes and reasons.
//
// It imports nothing but the standard library, so that callers, operators'
// programs and adapters can use it without the rest of the project.
package api
