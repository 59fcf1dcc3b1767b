// Package ctrl is the control plane: the controller that a host with a replica of the control log runs, and the
// client that every entry host runs (it sends heartbeats, holds the host's lease and follows the replicated state).
package ctrl
