// Package demo runs a deployment in one process over loopback TCP: entry hosts in three zones, simulated upstreams and
// callers.
package demo
