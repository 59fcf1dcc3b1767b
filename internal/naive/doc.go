// Package naive implements the baseline router that lovagelink is compared with: each host keeps its own
// list of upstreams, selects an upstream by the hash of the key, sends requests to it directly in order of
// arrival, within concurrency limits of the host alone, and retries after every error.
package naive
