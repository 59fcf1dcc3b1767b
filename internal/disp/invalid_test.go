package disp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/state"
	"lovagelink.example/lovagelink/pkg/verd"
)

// exchangeWith sends a request with a body of some size to an upstream that runs a script once it has read the head.
func exchangeWith(t *testing.T, bodyBytes int, script func(conn *net.TCPConn)) Outcome {
	t.Helper()
	is := is.New(t)
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	defer listener.Close()
	go func() {
		conn, err := listener.AcceptTCP()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			script(conn)
		}
	}()
	announced := state.Announced{ID: "u", Address: netip.MustParseAddrPort(listener.Addr().String()), Concurrency: 2, Connections: 2}
	d := New(time.Now(), Role{Upstream: state.Upstream{Announced: announced}}, Deps{Network: peer.TCP{}, Lease: validLease{}, Stats: &Stats{}, LargeResponses: NewLargeResponses()})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	request, err := d.buildRequest(ctx, time.Now(), newOwnedSlot(time.Now(), 1, 1), Request{Method: http.MethodPost, Path: "/", ID: "r", Body: make([]byte, bodyBytes)}, time.Time{})
	is.NoErr(err)
	return d.exchange(request, Request{ID: "r"})
}

// Guards against a part of a response taken for a whole one: the upstream resets the connection while it still receives the
// request, and the response has no length.
func TestResetAmidUploadIsNoEndOfResponse(t *testing.T) {
	is := is.New(t)
	for range 5 {
		outcome := exchangeWith(t, 16<<20, func(conn *net.TCPConn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
			time.Sleep(60 * time.Millisecond)
			_ = conn.SetLinger(0)
		})
		is.Equal(outcome.Verdict, verd.MayHaveRun)
		is.True(outcome.Status != http.StatusOK)
	}
}

// Guards against bytes that are no response in the protocol taken for one.
func TestInvalidResponsesAreNotPassedOn(t *testing.T) {
	for name, response := range map[string]string{
		"status 000":              "HTTP/1.1 000 None\r\nContent-Length: 5\r\n\r\nwrong",
		"status 600":              "HTTP/1.1 600 None\r\nContent-Length: 5\r\n\r\nwrong",
		"blank in a name":         "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX Odd: 1\r\n\r\nwrong",
		"blank behind the length": "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nwrong and more",
		"control byte in a name":  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX\x01Odd: 1\r\n\r\nwrong",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			outcome := exchangeWith(t, 0, func(conn *net.TCPConn) { _, _ = io.WriteString(conn, response) })
			is.Equal(outcome.Verdict, verd.MayHaveRun)
			is.Equal(outcome.Status, unknown("").Status)
		})
	}
}
