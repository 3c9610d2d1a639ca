// Package demo runs the main job end to end in one process: stand-ins of the
// outside, entry nodes in several data centres, both users' services with
// their real sizes, a service job, batch jobs and a gang job, and one fault
// of each kind. It prints what ran, what was refused and why, and fails when
// a promise was broken.
package demo
