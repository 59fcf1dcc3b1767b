package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// operator sends configurations and reads them back, at any control host, as the users' pages say.
type operator struct {
	*fleet
	client http.Client
	next   int
}

func newOperator(f *fleet) *operator { return &operator{fleet: f} }

// routeOf is a route of the configurations that the rig sends.
type routeOf struct {
	Prefix, Kind, Service string
	TimeoutMillis         int
}

// configBody returns a configuration with a keyed service "plan" and an unkeyed service "commission".
func configBody(version int, routes []routeOf) []byte {
	return configOf(version, routes, "plan", "commission")
}

// configOf returns a configuration with some of the services.
func configOf(version int, routes []routeOf, names ...string) []byte {
	return render("configuration.tmpl", struct {
		Version  int
		Services []string
		Host     string
		Routes   []routeOf
	}{version, names, requestHost, routes})
}

// requestHost is the host name of all requests.
const requestHost = "ficu95.example"

// call sends one call to the next control host and returns the status, 0 without a response within a second.
func (o *operator) call(method string, body []byte) (status int, answer []byte, node string) {
	controls := o.controls()
	if len(controls) == 0 {
		return 0, nil, "nobody"
	}
	o.next++
	node = controls[o.next%len(controls)]
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+node+onWire("configuration"), bytes.NewReader(body))
	if err != nil {
		return 0, nil, node
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := o.client.Do(request)
	if err != nil {
		return 0, nil, node
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, node
	}
	return response.StatusCode, answer, node
}

// until repeats a call at one control host after another, with increasing pauses, until it gets status 200 or the time is
// over.
func (o *operator) until(limit time.Duration, what, method string, body []byte) ([]byte, bool) {
	tries := make(map[int]int)
	pause := 50 * time.Millisecond
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); {
		status, answer, node := o.call(method, body)
		tries[status]++
		if status == http.StatusOK {
			o.log("operator  %s: 200 from %s (all answers by status, 0 for none: %v)", what, node, tries)
			return answer, true
		}
		time.Sleep(pause)
		pause = min(2*pause, 500*time.Millisecond)
	}
	o.log("operator  %s: no 200 within %v (answers by status, 0 for none: %v)", what, limit, tries)
	return nil, false
}

// put sends a configuration until it is acknowledged.
func (o *operator) put(version int, body []byte, limit time.Duration) bool {
	_, ok := o.until(limit, fmt.Sprintf("PUT configuration %d", version), http.MethodPut, body)
	return ok
}

// get reads the configuration and returns its version, 0 if none came.
func (o *operator) get(limit time.Duration) int {
	answer, ok := o.until(limit, "GET configuration", http.MethodGet, nil)
	if !ok {
		return 0
	}
	var held struct {
		Version int `json:"version"`
	}
	if err := json.Unmarshal(answer, &held); err != nil {
		o.log("operator  the configuration can't be read: %v", err)
		return 0
	}
	o.log("operator  reads version %d", held.Version)
	return held.Version
}
