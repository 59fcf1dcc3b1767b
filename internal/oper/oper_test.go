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

// Operators get the status and the events of a process; lines that are logged for each request are not events.
func TestHandler(t *testing.T) {
	is := is.New(t)
	timeline := event.NewTimeline("core-1", &event.Clock{})
	passed := 0
	logger := event.Logger(timeline, log.LoggerFunc(func(...any) error {
		passed++
		return nil
	}), "request")
	is.NoErr(logger.Log("event", "upstream-lost", "upstream", "u1", "silent", "5s"))
	is.NoErr(logger.Log("event", "request", "id", "r1", "status", 503))
	is.NoErr(log.With(logger, "event", "keys-moved", "service", "plan").Log("outcome", "assigned"))
	is.Equal(passed, 3)

	instance := realm.Instance{ID: "u1", StartMillis: 1}
	handler := NewHandler(http.NotFoundHandler(), func(time.Time) Status {
		status := Status{Host: "core-1", Role: "control"}
		status.Describe([]realm.Upstream{{Instance: instance, Service: "plan"}}, map[string]realm.Ranges{
			"plan": {{KeyRange: realm.KeyRange{From: 0, To: 9}, Owner: instance, Active: true}, {KeyRange: realm.KeyRange{From: 10, To: 14}, Owner: instance}},
		})
		return status
	}, timeline)
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
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, httptest.NewRequest(http.MethodGet, path, nil))
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		t.Fatal(err)
	}
}
