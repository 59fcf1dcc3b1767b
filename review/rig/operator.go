package main

import (
	"bytes"
	"fmt"
	"net/http"
	"time"
)

// service is a service of a configuration.
type service struct {
	Name  string
	Keyed bool // divided by key
}

// path is a route of a configuration.
type path struct {
	Name, Prefix, Type string
	Timeout, Aim       time.Duration
	Priority           int
	Service            string
}

// configuration is a complete configuration, with the limits of the wire examples.
type configuration struct {
	Version  int
	Services []service
	Host     string
	Routes   []path
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

// newConfiguration returns a configuration like that of the users' sheet.
func newConfiguration(version int) configuration {
	const ms = time.Millisecond
	return configuration{
		Version:  version,
		Services: []service{{Name: keyedService, Keyed: true}, {Name: plainService}},
		Host:     callerHost,
		Routes: []path{
			{Name: "r-view", Prefix: viewPrefix, Type: "safe", Timeout: 1200 * ms, Aim: 400 * ms, Priority: 1, Service: keyedService},
			{Name: "r-book", Prefix: bookPrefix, Type: "unsafe", Timeout: 1500 * ms, Aim: 1000 * ms, Priority: 2, Service: keyedService},
			{Name: "r-confirm", Prefix: confirmPath, Type: "unsafe", Timeout: 800 * ms, Aim: 250 * ms, Priority: 0, Service: plainService},
		},
	}
}

// withoutService returns the configuration without a service and the routes to it.
func (c configuration) withoutService(name string) configuration {
	next := c
	next.Services, next.Routes = nil, nil
	for _, s := range c.Services {
		if s.Name != name {
			next.Services = append(next.Services, s)
		}
	}
	for _, p := range c.Routes {
		if p.Service != name {
			next.Routes = append(next.Routes, p)
		}
	}
	return next
}

// put sends a configuration to control hosts in turn until one has acknowledged it, as the operator does.
func (s *system) put(c configuration, limit time.Duration) error {
	body, err := render("configuration.tmpl", c)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(limit)
	for turn := 0; time.Now().Before(deadline); turn++ {
		core := s.cores[turn%len(s.cores)]
		s.record.line("operator sends version %d to %s", c.Version, core.name)
		status, err := core.call(http.MethodPut, onWire("configuration"), body)
		s.record.line("%s answers version %d with %d, %v", core.name, c.Version, status, err)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("version %d was not acknowledged", c.Version)
}

// call sends a call to a control host and returns the status of its answer.
func (m *machine) call(method, path string, body []byte) (int, error) {
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", m.ip, controlPort, path), bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := controlClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return response.StatusCode, nil
}

// controlClient waits for an answer for a second, as callers of control hosts do.
var controlClient = &http.Client{Timeout: time.Second}
