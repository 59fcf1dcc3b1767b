package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

var errNoLeader = errors.New("no control host says that it leads")

// leader returns the control host that leads, by its metrics.
func (d *deployment) leader() (*machine, error) {
	for range 20 {
		for _, m := range d.cores {
			response, err := http.Get(fmt.Sprintf("http://%s:9464/metrics", m.ip))
			if err != nil {
				continue
			}
			text, err := io.ReadAll(response.Body)
			response.Body.Close()
			if err != nil {
				continue
			}
			for line := range strings.Lines(string(text)) {
				if strings.Contains(line, "leading") && !strings.HasPrefix(line, "#") && strings.HasSuffix(strings.TrimSpace(line), " 1") {
					return m, nil
				}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil, errNoLeader
}

// Times of a replacement that was not planned: when the successor comes, and how long after the end of its time to catch
// up the next control host is lost.
const (
	successorDelay = 300 * time.Millisecond
	afterCatchUp   = 100 * time.Millisecond
)

// twice replaces two control hosts that are lost for good: first the leader, and another one as soon as the successor of
// the first has had its time to catch up.
func twice(f *fleet, trouble bool) error {
	d, err := deploy(f)
	if err != nil {
		return err
	}
	first, err := d.leader()
	if err != nil {
		return err
	}
	second := d.cores[0]
	if second == first {
		second = d.cores[1]
	}
	if trouble {
		for _, m := range []*machine{first, second} {
			f.kill(m)
			f.log("provider  %s is gone for good", m.name)
			time.Sleep(successorDelay)
			if _, err := d.successor(m); err != nil {
				return err
			}
			time.Sleep(catchUp + afterCatchUp)
			d.callers.report()
		}
	}
	time.Sleep(recovery)
	return d.check(1)
}
