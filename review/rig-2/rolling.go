package main

import (
	"errors"
	"fmt"
	"time"
)

var errSetup = errors.New("the deployment did not come up")

// usualRoutes are the routes of the small deployment.
var usualRoutes = []routeOf{{"/lohu930/", "safe", "plan", 1200}, {"/pufi791/", "unsafe", "commission", 800}}

// deployment is a small deployment in service: three control hosts, entry hosts and servers in three zones.
type deployment struct {
	*fleet
	op      *operator
	cores   []*machine
	fronts  []*machine
	servers []*server
	callers *callers
}

// begin starts the machines and the servers of a small deployment for the first time. It calls started after each machine
// that it has started.
func begin(f *fleet, started func(*deployment, *machine)) (*deployment, error) {
	d := &deployment{fleet: f, op: newOperator(f)}
	for _, zone := range []string{"a", "b", "c"} {
		d.cores = append(d.cores, f.add("control", "core-"+zone+"-1", zone))
		d.fronts = append(d.fronts, f.add("entry", "front-"+zone+"-1", zone))
	}
	for _, m := range append(append([]*machine{}, d.cores...), d.fronts...) {
		for _, core := range d.cores {
			m.seeds = append(m.seeds, f.controlAddress(core))
		}
		m.bootstrap = true
		if err := f.start(m); err != nil {
			return nil, err
		}
		started(d, m)
	}
	for _, zone := range []string{"a", "b", "c"} {
		d.servers = append(d.servers, f.newServer("i-plan-"+zone, "plan", zone, true), f.newServer("i-commission-"+zone, "commission", zone, false))
	}
	for _, s := range d.servers {
		if err := s.start(); err != nil {
			return nil, err
		}
	}
	d.callers = newCallers(f, d.fronts)
	return d, nil
}

// deploy starts a small deployment and waits until its requests are served.
func deploy(f *fleet) (*deployment, error) {
	d, err := begin(f, func(*deployment, *machine) {})
	if err != nil {
		return nil, err
	}
	if !d.op.put(1, configBody(1, usualRoutes), 15*time.Second) {
		return nil, errSetup
	}
	time.Sleep(4 * time.Second)
	d.callers.start(requestInterval, "/lohu930/")
	time.Sleep(3 * time.Second)
	if share := d.callers.report(); share < 0.9 {
		return nil, fmt.Errorf("%w: %.2f of the requests are served", errSetup, share)
	}
	return d, nil
}

// requestInterval is the time between two requests of all callers.
const requestInterval = 50 * time.Millisecond

// successor adds an empty machine in the zone of a control host, at a new address, and starts it.
func (d *deployment) successor(of *machine) (*machine, error) {
	m := d.add("control", "core-"+of.zone+"-2", of.zone)
	for _, core := range d.cores {
		m.seeds = append(m.seeds, d.controlAddress(core))
	}
	return m, d.start(m)
}

// check reads the configuration back and sends requests, once all is calm.
func (d *deployment) check(version int) error {
	d.callers.report()
	held := d.op.get(10 * time.Second)
	time.Sleep(5 * time.Second)
	share := d.callers.report()
	d.callers.end()
	switch {
	case held == 0:
		return fmt.Errorf("%w: CONFIG, the acknowledged configuration %d doesn't come; %.2f of the last requests are served", errBroken, version, share)
	case held < version:
		return fmt.Errorf("%w: CONFIG, configuration %d is read back, %d was acknowledged", errBroken, held, version)
	case share < 0.25:
		return fmt.Errorf("%w: RECOVER, %.2f of the requests are served", errBroken, share)
	}
	return nil
}

// rolling replaces the three control hosts by new ones, one after the other: the new one starts first, and the old one
// gets SIGTERM once the new one has had twice the time to catch up.
func rolling(f *fleet, trouble bool) error {
	d, err := deploy(f)
	if err != nil {
		return err
	}
	a, b, c := d.cores[0], d.cores[1], d.cores[2]
	if trouble {
		for _, old := range []*machine{a, b} {
			if _, err := d.successor(old); err != nil {
				return err
			}
		}
	}
	time.Sleep(2 * catchUp)
	d.callers.report()
	if trouble {
		d.terminate(a)
		time.Sleep(2 * time.Second)
		d.terminate(b)
	}
	time.Sleep(2 * time.Second)
	if !d.op.put(2, configBody(2, usualRoutes), 10*time.Second) {
		return fmt.Errorf("%w: no acknowledgement after two planned replacements", errBroken)
	}
	d.callers.report()
	if trouble {
		if _, err := d.successor(c); err != nil {
			return err
		}
	}
	time.Sleep(3 * catchUp)
	d.callers.report()
	if trouble {
		d.terminate(c)
	}
	time.Sleep(recovery)
	return d.check(2)
}
