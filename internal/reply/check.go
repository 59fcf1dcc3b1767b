package reply

import (
	"errors"
	"fmt"
	"net/http"
)

// Reasons for which a message is invalid.
var (
	ErrStatus  = errors.New("the status of the response is none of the protocol")
	ErrVersion = errors.New("the response is not of HTTP/1")
)

// Check returns why a response is invalid, or nil.
func Check(response *http.Response) error {
	status := response.StatusCode
	switch {
	case response.ProtoMajor != 1:
		return fmt.Errorf("%w: %s", ErrVersion, response.Proto)
	case status < 100 || status > 599 || status == http.StatusSwitchingProtocols: // no request asks for another protocol
		return fmt.Errorf("%w: %03d", ErrStatus, status)
	}
	return nil
}
