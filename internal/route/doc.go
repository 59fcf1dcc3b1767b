// Package route holds the accepted configuration: which service a request is routed to, which requests may be retried,
// and the limits on what callers send.
package route
