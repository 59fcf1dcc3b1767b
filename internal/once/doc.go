// Package once sends HTTP requests over net/http so that each is sent at most once, and tells whether
// any byte of a request that got no answer has been written.
package once
