// Package event records timelines of state changes, and merges those of several processes in causal order.
package event
