package front

import (
	"net/http"
	"time"

	"lovagelink.example/lovagelink/internal/calls"
)

// Codec reads and writes the headers with which callers, this host and upstreams describe a request.
type Codec interface {
	Read(http.Header) calls.RequestInfo
	Write(h http.Header, upstream string, left time.Duration)
	ParseResponse(status int, h http.Header, id, upstream string) calls.ResponseInfo
}
