// Package realm holds the replicated state of the control hosts, which the commands of the replicated log change: the
// accepted configuration, the instances of upstreams, and the owner of each range of keys with its fencing token. Entry
// hosts follow the state by requesting what has changed since a log index.
package realm
