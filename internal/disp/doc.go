// Package disp is the dispatcher of an upstream: the one place that orders its work by rank, keeps
// to its concurrency, grants it its slots, and sees that exclusive work runs at most once.
package disp
