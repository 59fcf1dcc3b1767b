// Package disp implements the dispatcher of an upstream. Every request to the upstream passes through its dispatcher,
// which orders requests by rank, limits their concurrency, grants the upstream its slots, and ensures that
// non-idempotent requests run at most once.
package disp
