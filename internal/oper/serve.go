package oper

import (
	"encoding/json"
	"net/http"
	"time"

	"lovagelink.example/lovagelink/internal/event"
)

// NewHandler returns a handler that serves the metrics, the current status and the events of a process.
func NewHandler(metrics http.Handler, status func(now time.Time) Status, timeline *event.Timeline) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, status(time.Now())) })
	mux.HandleFunc("GET /timeline", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, timeline.All()) })
	return mux
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // fails only if the client has disconnected
}
