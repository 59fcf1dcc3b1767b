package main

import (
	"fmt"
	"time"
)

// firstStart starts a deployment for the first time. One of the three control hosts is lost as it starts, and an empty
// one comes a second later at another address.
func firstStart(f *fleet, trouble bool) error {
	d, err := begin(f, func(d *deployment, m *machine) {
		if trouble && m == d.cores[2] {
			f.kill(m) // before it listens
			f.log("provider  %s is gone for good", m.name)
		}
	})
	if err != nil {
		return err
	}
	if trouble {
		time.Sleep(time.Second)
		if _, err := d.successor(d.cores[2]); err != nil {
			return err
		}
	}
	isAcked := d.op.put(1, configBody(1, usualRoutes), 4*recovery)
	time.Sleep(catchUp)
	d.callers.start(requestInterval, "/lohu930/")
	time.Sleep(5 * time.Second)
	share := d.callers.report()
	d.callers.end()
	if share == 0 {
		return fmt.Errorf("%w: Fault, no request is served; the first configuration was acknowledged: %t", errBroken, isAcked)
	}
	return nil
}
