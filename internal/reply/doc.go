// Package reply tells the responses of upstreams that are whole and valid from others: net/http accepts more than the
// protocol allows, and takes the reset of a connection for its end where a write has been told of the reset.
package reply
