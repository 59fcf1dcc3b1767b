package front

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// uploadBytes is the size of an upload that no send and receive buffers of a connection hold.
const uploadBytes = 16 << 20

// startEarlyUpstream starts an upstream that runs a script once it has read the head of a request, and no more.
func startEarlyUpstream(t *testing.T, script func(conn *net.TCPConn)) *faultyUpstream {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.AcceptTCP()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					script(conn)
				}
			}()
		}
	}()
	return &faultyUpstream{address: netip.MustParseAddrPort(listener.Addr().String())}
}

// upload sends a large request; status 0 means that there was no complete response.
func upload(t *testing.T, url string) (status int, body string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(make([]byte, uploadBytes)))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "a.example"
	request.Header.Set("Id", "r")
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

// Guards against a part of a response passed on as a whole one: the upstream resets the connection while it still receives
// the request, and the response has no length.
func TestResetAmidUploadIsNoEndOfResponse(t *testing.T) {
	for name, head := range map[string]string{
		"until the end":       "HTTP/1.1 200 OK\r\nSigned: 1\r\nId: r\r\n\r\n",
		"connection is ended": "HTTP/1.1 200 OK\r\nSigned: 1\r\nId: r\r\nConnection: close\r\n\r\n",
		"HTTP/1.0":            "HTTP/1.0 200 OK\r\nSigned: 1\r\nId: r\r\n\r\n",
	} {
		for _, part := range []string{"", "part", string(bytes.Repeat([]byte("part"), 100<<10))} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				u := startEarlyUpstream(t, func(conn *net.TCPConn) {
					_, _ = io.WriteString(conn, head+part)
					time.Sleep(60 * time.Millisecond)
					_ = conn.SetLinger(0)
				})
				status, body := upload(t, startFront(t, u)+"/once/x")
				is.True(status == 0 || status == http.StatusBadGateway)
				is.True(status == 0 || body != part)
			})
		}
	}
}

// A response without a length is whole if the upstream has ended it, although it has not read the request.
func TestResponseThatEndsAmidUploadIsWhole(t *testing.T) {
	is := is.New(t)
	u := startEarlyUpstream(t, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nSigned: 1\r\nId: r\r\n\r\nwhole")
		_ = conn.CloseWrite()
		time.Sleep(300 * time.Millisecond)
	})
	status, body := upload(t, startFront(t, u)+"/once/x")
	is.Equal(status, http.StatusOK)
	is.Equal(body, "whole")
}

// Guards against bytes that are no response in the protocol passed on as one: their status or the name of a header can't
// stand there.
func TestInvalidResponsesAreNotPassedOn(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nSigned: 1\r\nId: r\r\nContent-Length: 5\r\n"
	for name, response := range map[string]string{
		"status 000":                       "HTTP/1.1 000 None\r\nSigned: 1\r\nId: r\r\nContent-Length: 5\r\n\r\nwrong",
		"status 000 without a body":        "HTTP/1.1 000 None\r\nSigned: 1\r\nId: r\r\nContent-Length: 0\r\n\r\n",
		"status 099":                       "HTTP/1.1 099 None\r\nSigned: 1\r\nId: r\r\nContent-Length: 0\r\n\r\n",
		"status 600":                       "HTTP/1.1 600 None\r\nSigned: 1\r\nId: r\r\nContent-Length: 5\r\n\r\nwrong",
		"status 101":                       "HTTP/1.1 101 Switching\r\nSigned: 1\r\nId: r\r\n\r\n" + ok + "\r\nwrong",
		"version":                          "HTTP/2.0 200 OK\r\nSigned: 1\r\nId: r\r\nContent-Length: 5\r\n\r\nwrong",
		"blank in a name":                  ok + "X Odd: 1\r\n\r\nwrong",
		"blank behind a name":              ok + "X-Odd : 1\r\n\r\nwrong",
		"blank behind the length":          "HTTP/1.1 200 OK\r\nSigned: 1\r\nId: r\r\nContent-Length : 5\r\n\r\nwrong and more",
		"control byte in a name":           ok + "X\x01Odd: 1\r\n\r\nwrong",
		"tab in a name":                    ok + "X\tOdd: 1\r\n\r\nwrong",
		"no name":                          ok + ": 1\r\n\r\nwrong",
		"byte beyond ASCII in a name":      ok + "X-\xc3\xa9: 1\r\n\r\nwrong",
		"control byte in a value":          ok + "X-Odd: a\x01b\r\n\r\nwrong",
		"blank in a name of early hints":   "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" + ok + "\r\nwrong",
		"status 000 before the final head": "HTTP/1.1 000 None\r\n\r\n" + ok + "\r\nwrong",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := newFaultyUpstream(t, func(_ *faultyUpstream, conn net.Conn, _ string, _ bool) {
				_, _ = io.WriteString(conn, response)
			})
			status, body := ask(t, &http.Client{}, startFront(t, u)+"/once/x", "r")
			is.Equal(status, http.StatusBadGateway) // at once: at the deadline it would be 504
			is.True(body != "wrong")
		})
	}
}
