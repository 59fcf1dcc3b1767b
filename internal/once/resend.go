package once

import (
	"io"
	"net/http"
	"strings"
)

// Headers that make the library send a request without a body a second time.
var resendHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// noBody is a body without a byte. The library takes it for one that it can't send twice, and finds that
// it is empty before it writes the head of a request.
type noBody struct{}

func (noBody) Read([]byte) (int, error) { return 0, io.EOF }

func (noBody) Close() error { return nil }

// forbidResend keeps the library from sending a request a second time.
func forbidResend(request *http.Request) {
	request.GetBody = nil
	if request.Body != nil && request.Body != http.NoBody {
		return
	}
	switch request.Method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions:
		request.Body = noBody{}
	default:
		request.Header = hideKeys(request.Header)
	}
}

// hideKeys writes the names of some headers in lower case, which mean the same on the wire and are not
// found by the library.
func hideKeys(header http.Header) http.Header {
	header = header.Clone()
	for _, name := range resendHeaders {
		if values, ok := header[name]; ok {
			delete(header, name)
			header[strings.ToLower(name)] = values
		}
	}
	return header
}
