// Package once sends HTTP requests over net/http so that each request is sent at most once, and reports for a failed
// request whether any byte of it has been written.
package once
