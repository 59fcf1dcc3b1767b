// Package keyed decides which upstream owns which keys, and when ownership may change: never before the previous owner
// has released the keys or its grant has expired on the slowest clock. The package does no input or output.
//
// It is designed for these situations: an owner of keys is lost, upstreams drain one after another, upstreams join
// without keys, and some keys are far busier than others and close to one another.
package keyed
