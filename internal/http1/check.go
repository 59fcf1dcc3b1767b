package http1

import (
	"errors"
	"io"
	"net"
	"net/http"

	"lovagelink.example/lovagelink/internal/reply"
)

var (
	errBodyTooLarge = errors.New("the body is over the limit")
	errNoHost       = errors.New("the request names no host")
	errVersion      = errors.New("only HTTP/1.0 and HTTP/1.1 are spoken here")
)

// checkRequest rejects requests that an upstream might parse differently from this package.
func checkRequest(request *http.Request) error {
	if request.ProtoMajor != 1 {
		return errVersion
	}
	if request.Host == "" {
		return errNoHost
	}
	return reply.CheckHeader(request.Header)
}

// statusOf returns the response status for an error while a request is read, or 0 if the connection has ended and no
// response can be sent.
func statusOf(err error) int {
	var netErr net.Error
	switch {
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed):
		return 0
	case errors.As(err, &netErr) && netErr.Timeout():
		return http.StatusRequestTimeout
	case errors.As(err, &netErr):
		return 0
	case errors.Is(err, errTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, errVersion):
		return http.StatusHTTPVersionNotSupported
	}
	return http.StatusBadRequest
}
