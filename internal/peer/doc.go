// Package peer links the entry hosts with one another: jsonrpc2 over one TCP connection in each
// direction, which both ends give up after a stated silence.
package peer
