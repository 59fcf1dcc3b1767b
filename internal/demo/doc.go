// Package demo runs a whole deployment in one process: entry hosts in three zones, stand-in
// upstreams and callers, over loopback TCP.
package demo
