package oper

import (
	"encoding/json"
	"net/http"
	"time"

	"lovagelink.example/lovagelink/internal/event"
)

// NewHandler serves metrics, the present state and the events of a process.
func NewHandler(metrics http.Handler, status func(now time.Time) Status, line *event.Timeline) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { write(w, status(time.Now())) })
	mux.HandleFunc("GET /timeline", func(w http.ResponseWriter, _ *http.Request) { write(w, line.All()) })
	return mux
}

func write(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // a reader that has left asks again
}
