// Package clock detects that a machine has been suspended: the monotonic clock stops meanwhile, so that a lease that is
// measured with it seems to be still valid after it has expired.
package clock
