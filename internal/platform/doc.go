// Package platform holds the four narrow interfaces through which skylarklock
// meets the outside: the platform's log, its VM list, a worker and an
// endpoint. Decision code sees only these types; everything shaped by a wire
// protocol stays in an adapter behind them.
package platform
