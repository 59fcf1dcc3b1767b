// Package peer implements RPC between the entry hosts: JSON-RPC 2.0 over one TCP connection in each direction. Either
// end closes a connection after a fixed time without traffic.
package peer
