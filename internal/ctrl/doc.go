// Package ctrl is the control plane: the leader's duties on a host with a replica of the log, and
// the client that every entry host runs towards it (heartbeat, lease, following the state).
package ctrl
