// Package front implements an entry host: it accepts the requests of callers, forwards each request to the upstream
// that may serve it, and sends each caller a final response before the deadline. An entry host follows the state of the
// control hosts. It keeps working with its last view when it is cut off from them.
package front
