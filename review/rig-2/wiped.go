package main

import "time"

// Times of the loss of a disk: how long after a planned replacement it comes, and how long the machine is down.
const (
	afterLeave = time.Second
	downTime   = 3 * time.Second
)

// wiped replaces a control host as planned: the new one starts first, and the old one gets SIGTERM once the new one has
// had twice the time to catch up. A second later another control host loses its disk, right after a configuration was
// acknowledged, and comes back with an empty one.
func wiped(f *fleet, trouble bool) error {
	d, err := deploy(f)
	if err != nil {
		return err
	}
	old, other := d.cores[0], d.cores[1]
	if trouble {
		if _, err := d.successor(old); err != nil {
			return err
		}
	}
	time.Sleep(2 * catchUp)
	d.callers.report()
	if trouble {
		f.terminate(old)
	}
	time.Sleep(afterLeave)
	if !d.op.put(2, configBody(2, usualRoutes), 10*time.Second) {
		return errSetup
	}
	if trouble {
		f.kill(other)
		if err := f.wipe(other); err != nil {
			return err
		}
		time.Sleep(downTime)
		if err := f.start(other); err != nil {
			return err
		}
	}
	time.Sleep(recovery)
	return d.check(2)
}
