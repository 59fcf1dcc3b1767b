// Package entry is the entry host: it takes callers' requests to the dispatchers, hears upstreams
// announce themselves, and answers operators.
package entry
