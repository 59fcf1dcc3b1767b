package once

import (
	"io"
	"net/http"
	"strings"
)

// resendHeaders are the headers that make net/http resend a request without a body.
var resendHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// emptyBody is a request body without any bytes. Unlike http.NoBody, it counts for net/http as a body that can't be
// sent twice. net/http detects that the body is empty before it writes the head of the request.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

func (emptyBody) Close() error { return nil }

// forbidResend changes a request so that net/http does not resend it.
func forbidResend(request *http.Request) {
	request.GetBody = nil
	if request.Body != nil && request.Body != http.NoBody {
		return
	}
	switch request.Method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions:
		request.Body = emptyBody{}
	default:
		request.Header = lowerResendHeaders(request.Header)
	}
}

// lowerResendHeaders returns a copy of a header with the names of resendHeaders in lower case. They mean the same on
// the wire, but net/http does not find them.
func lowerResendHeaders(header http.Header) http.Header {
	header = header.Clone()
	for _, name := range resendHeaders {
		if values, ok := header[name]; ok {
			delete(header, name)
			header[strings.ToLower(name)] = values
		}
	}
	return header
}
