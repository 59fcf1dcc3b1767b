package cmds

import (
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against calls of the operator and of upstreams that are cut when a control host stops while it waits for the
// leader: they are answered that the outcome is not known, so that the caller turns to another host.
func TestDrainAnswersCallsThatWait(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{})
	server, endRequests := newDrainable(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.Serve(listener) }()
	statuses := make(chan int, 1)
	go func() {
		response, err := http.Get("http://" + listener.Addr().String())
		if err != nil {
			statuses <- 0
			return
		}
		_ = response.Body.Close()
		statuses <- response.StatusCode
	}()
	<-started
	is.NoErr(drain(server, endRequests))
	is.Equal(<-statuses, http.StatusServiceUnavailable)
}
