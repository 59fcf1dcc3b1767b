package reply

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// Reasons for which a message is invalid.
var (
	ErrHeader  = errors.New("a header name or value has characters that may not stand there")
	ErrStatus  = errors.New("the status of the response is none of the protocol")
	ErrVersion = errors.New("the response is not of HTTP/1")
)

// Check returns why a response is invalid, or nil. A header that can't be read as it was meant may be one that says where
// the body ends, so that an invalid response must not be passed on in part either.
func Check(response *http.Response) error {
	status := response.StatusCode
	switch {
	case response.ProtoMajor != 1:
		return fmt.Errorf("%w: %s", ErrVersion, response.Proto)
	case status < 100 || status > 599 || status == http.StatusSwitchingProtocols: // no request asks for another protocol
		return fmt.Errorf("%w: %03d", ErrStatus, status)
	}
	return CheckHeader(response.Header)
}

// CheckHeader returns ErrHeader for a name or a value that may not stand in a header.
func CheckHeader(header http.Header) error {
	for name, values := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: %.40q", ErrHeader, name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return fmt.Errorf("%w: the value of %.40q", ErrHeader, name)
			}
		}
	}
	return nil
}
