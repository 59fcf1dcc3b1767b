// Package reply tells the responses of upstreams that are whole from others: the kernel tells a write of the reset of a
// connection, and a read that follows takes it for the end of the data.
package reply
