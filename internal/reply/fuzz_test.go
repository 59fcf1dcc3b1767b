package reply

import (
	"bufio"
	"bytes"
	"maps"
	"net/http"
	"net/textproto"
	"slices"
	"testing"
)

// A response that is accepted has a status of the protocol, and a head that reads the same after it has been written again:
// no line is left out or changed on the way to the caller.
func FuzzCheck(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Odd: 1\r\nx-odd: 2\r\n\r\nwhole",
		"HTTP/1.1 000 None\r\n\r\n",
		"HTTP/1.1 999 None\r\n\r\n",
		"HTTP/3.0 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nwrong and more",
		"HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Odd: a\x00b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Odd: a\r\n folded\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Odd: a\rb\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), &http.Request{Method: http.MethodGet})
		if err != nil || Check(response) != nil {
			return
		}
		if response.StatusCode < 100 || response.StatusCode > 599 {
			t.Fatalf("status %d is accepted", response.StatusCode)
		}
		var head bytes.Buffer
		if err := response.Header.Write(&head); err != nil {
			t.Fatal(err)
		}
		head.WriteString("\r\n")
		again, err := textproto.NewReader(bufio.NewReader(&head)).ReadMIMEHeader()
		if err != nil {
			t.Fatalf("the head that is written can't be read: %v", err)
		}
		if !maps.EqualFunc(again, textproto.MIMEHeader(response.Header), slices.Equal) {
			t.Fatalf("%q is passed on as %q", response.Header, again)
		}
	})
}
