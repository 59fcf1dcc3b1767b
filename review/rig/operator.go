package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// service is a service of a configuration.
type service struct {
	Name           string `json:"name"`
	HealthPath     string `json:"health_path"`
	MaxConnections int    `json:"max_connections"`
	Protocol       string `json:"protocol"`
	TLS            bool   `json:"tls"`
	Sharded        bool   `json:"sharded,omitempty"`
	Warm           string `json:"warm,omitempty"`
	Grants         string `json:"grants,omitempty"`
}

// path is a route of a configuration.
type path struct {
	Name        string `json:"name"`
	Prefix      string `json:"path_prefix"`
	Type        string `json:"route_type"`
	Timeout     string `json:"timeout"`
	Aim         string `json:"aim"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"max_attempts"`
}

// limits bound what callers send.
type limits struct {
	MaxHeaderBytes int    `json:"max_header_bytes"`
	MaxBodyBytes   int    `json:"max_body_bytes"`
	HeaderTimeout  string `json:"header_timeout"`
	IdleTimeout    string `json:"idle_timeout"`
}

// virtualHost is a host with its routes.
type virtualHost struct {
	Host  string `json:"host"`
	Paths []path `json:"paths"`
}

// configuration is a complete configuration.
type configuration struct {
	Version  int           `json:"version"`
	Services []service     `json:"services"`
	Limits   limits        `json:"limits"`
	Hosts    []virtualHost `json:"virtual_hosts"`
}

// callerHost is the host name of all routes.
const callerHost = "ficu95.example"

// Services and prefixes of the deployment: one service that is divided by key and one that is not.
const (
	keyedService = "plan-desk"
	plainService = "commission-desk"
	viewPrefix   = "/view/"
	bookPrefix   = "/book/"
	confirmPath  = "/confirm/"
)

// newConfiguration returns a configuration like that of the users' sheet, with the limits of the wire examples.
func newConfiguration(version int) configuration {
	return configuration{
		Version: version,
		Services: []service{
			{Name: keyedService, HealthPath: "/health", MaxConnections: 120, Protocol: "h1", Sharded: true, Warm: "5s", Grants: "call"},
			{Name: plainService, HealthPath: "/health", MaxConnections: 120, Protocol: "h1"},
		},
		Limits: limits{MaxHeaderBytes: 16384, MaxBodyBytes: 67108864, HeaderTimeout: "3000ms", IdleTimeout: "15000ms"},
		Hosts: []virtualHost{{Host: callerHost, Paths: []path{
			{Name: "r-view", Prefix: viewPrefix, Type: "safe", Timeout: "1200ms", Aim: "400ms", Priority: 1, Service: keyedService, MaxAttempts: 2},
			{Name: "r-book", Prefix: bookPrefix, Type: "unsafe", Timeout: "1500ms", Aim: "1000ms", Priority: 2, Service: keyedService, MaxAttempts: 2},
			{Name: "r-confirm", Prefix: confirmPath, Type: "unsafe", Timeout: "800ms", Aim: "250ms", Priority: 0, Service: plainService, MaxAttempts: 2},
		}}},
	}
}

// withoutService returns the configuration without a service and the routes to it.
func (c configuration) withoutService(name string) configuration {
	next := c
	next.Services, next.Hosts = nil, nil
	for _, s := range c.Services {
		if s.Name != name {
			next.Services = append(next.Services, s)
		}
	}
	for _, host := range c.Hosts {
		var paths []path
		for _, p := range host.Paths {
			if p.Service != name {
				paths = append(paths, p)
			}
		}
		next.Hosts = append(next.Hosts, virtualHost{Host: host.Host, Paths: paths})
	}
	return next
}

// put sends a configuration to control hosts in turn until one has acknowledged it, as the operator does.
func (s *system) put(c configuration, limit time.Duration) error {
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: time.Second}
	deadline := time.Now().Add(limit)
	for turn := 0; time.Now().Before(deadline); turn++ {
		core := s.cores[turn%len(s.cores)]
		request, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s:%d/lovagelink/configuration", core.ip, controlPort), bytes.NewReader(body))
		if err != nil {
			return err
		}
		request.Header.Set("Content-Type", "application/json")
		s.record.line("operator sends version %d to %s", c.Version, core.name)
		response, err := client.Do(request)
		if err == nil {
			response.Body.Close()
			s.record.line("%s answers version %d with %d", core.name, c.Version, response.StatusCode)
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("version %d was not acknowledged", c.Version)
}
