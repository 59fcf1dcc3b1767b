// Package upapi is the protocol between lovagelink and upstreams: how an upstream announces itself,
// how it is granted slots, and the headers of the requests that it gets.
package upapi
