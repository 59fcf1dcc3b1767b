package route

import "time"

//go:generate go tool stringer -type Repeat -linecomment

// Repeat is how often a request may run.
type Repeat int

// The values of Repeat. The zero value is the safe one: such a request must not run twice.
const (
	AtMostOnce Repeat = iota // at-most-once
	Idempotent               // idempotent
)

// Config is one accepted configuration; the highest version is in force.
type Config struct {
	Version  uint64    `json:"version"`
	Services []Service `json:"services"`
	Routes   []Route   `json:"routes"`
	Limits   Limits    `json:"limits"`
}

// Service is a group of upstreams that do the same work.
type Service struct {
	Name        string        `json:"name"`
	HealthPath  string        `json:"health-path,omitempty"`
	Connections int           `json:"connections"` // maximum for one upstream, from all hosts together
	Keyed       bool          `json:"keyed"`       // each key is served only by the upstream that owns it
	Warmup      time.Duration `json:"cold-keys,omitempty"`
}

// Route maps requests with a host name and a path prefix to services.
type Route struct {
	Name          string        `json:"name"`
	Host          string        `json:"host"`
	Prefix        string        `json:"prefix"`
	Repeat        Repeat        `json:"repeat"`
	Timeout       time.Duration `json:"timeout"` // longest time that a caller waits for the response
	LatencyTarget time.Duration `json:"target"`
	Rank          int           `json:"rank"` // 0 is the most urgent
	Attempts      int           `json:"attempts"`
	Destinations  []Destination `json:"parts"`
}

// Destination is a service and its relative share of the requests of a route.
type Destination struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Limits bound what callers may send and how long they may take.
type Limits struct {
	HeaderBytes int64         `json:"header-bytes"`
	BodyBytes   int64         `json:"body-bytes"`
	HeaderTime  time.Duration `json:"header-time"`
	IdleTime    time.Duration `json:"idle-time"`
}
