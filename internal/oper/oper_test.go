package oper

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/event"
	"lovagelink.example/lovagelink/internal/realm"
)

// An operator gets the state and the events of a process; what comes with each request is not among the events.
func TestHandler(t *testing.T) {
	is := is.New(t)
	line := event.NewTimeline("core-1", &event.Clock{})
	passed := 0
	logger := event.Logger(line, log.LoggerFunc(func(...any) error {
		passed++
		return nil
	}), "request")
	is.NoErr(logger.Log("event", "upstream-lost", "upstream", "u1", "silent", "5s"))
	is.NoErr(logger.Log("event", "request", "id", "r1", "status", 503))
	is.NoErr(log.With(logger, "event", "keys-moved", "service", "plan").Log("outcome", "assigned"))
	is.Equal(passed, 3)

	life := realm.Instance{ID: "u1", StartMillis: 1}
	handler := NewHandler(http.NotFoundHandler(), func(time.Time) Status {
		status := Status{Host: "core-1", Role: "control"}
		status.Describe([]realm.Upstream{{Instance: life, Service: "plan"}}, map[string]realm.Ranges{
			"plan": {{KeyRange: realm.KeyRange{From: 0, To: 9}, Owner: life, Active: true}, {KeyRange: realm.KeyRange{From: 10, To: 14}, Owner: life}},
		})
		return status
	}, line)
	var status Status
	get(t, handler, "/status", &status)
	is.Equal(status.Upstreams[0].Keys, 15)
	is.Equal(status.Upstreams[0].GrantedKeys, 10)
	is.Equal(status.Unowned["plan"], 65536-15)
	var events []event.Event
	get(t, handler, "/timeline", &events)
	is.Equal(len(events), 2)
	is.Equal(events[0].Subject, "u1")
	is.Equal(events[0].Detail, "upstream=u1 silent=5s")
	is.Equal(events[1].Kind, "keys-moved")
	is.Equal(events[1].Subject, "plan")
}

func get(t *testing.T, handler http.Handler, path string, into any) {
	t.Helper()
	answer := httptest.NewRecorder()
	handler.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, path, nil))
	if err := json.NewDecoder(answer.Body).Decode(into); err != nil {
		t.Fatal(err)
	}
}
