// Package core implements a control host: a replica of the log that holds the state of the deployment, the calls of the
// operator and of upstreams, and, on the leader, the grants of keys to their owners.
package core
