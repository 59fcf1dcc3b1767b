// Package calls defines the decoded messages between callers, hosts and upstreams. They are the interface between the
// adapter for the platform's headers and names (package platform) and the packages that make decisions.
package calls
