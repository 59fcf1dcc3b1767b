// Package quota divides the rate of requests that an upstream has named among all entry hosts. The load pattern is an
// upstream in need, which takes a few requests a second from hundreds of hosts together, while a key of it is asked for by
// all of them at once. An equal share would be a fraction of a request in seconds, and a host that learns of the demand of
// the others a second late would exceed the rate. So one control host counts the requests of all hosts, one by one. A host
// that can't reach it has a share of its own, which adds up over all hosts to less than the tolerance of the rate. Nothing
// here does input or output.
package quota
