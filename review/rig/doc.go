// Command rig plays the cases of the review that can't be put as a day of the users' bench. It starts the programs of
// the deploy file as separate processes on loopback addresses, and stands in for upstreams, callers, the operator and
// the platform.
package main
