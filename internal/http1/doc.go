// Package http1 is an HTTP/1.1 server and client that manages its connections itself, without the server and the
// transport of net/http. The client sends each request once. The server detects that a caller has left even while more
// of its requests are pending. A response that ended early is never made to look complete.
package http1
