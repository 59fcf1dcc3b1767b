package front

import (
	"time"

	"lovagelink.example/lovagelink/internal/oper"
	"lovagelink.example/lovagelink/internal/realm"
)

// Overview tells operators what this host knows.
func (f *Front) Overview(time.Time) oper.Status {
	view := f.view.Load()
	status := oper.Status{Host: f.site.Name, Role: "entry", Zone: f.site.Zone, LeaderReachable: f.inTouch.Load(), AppliedIndex: view.Index}
	if view.Table != nil {
		status.ConfigVersion = view.Table.Config.Version
	}
	var upstreams []realm.Upstream
	for _, known := range view.Upstreams {
		upstreams = append(upstreams, known.Upstream)
	}
	status.Describe(upstreams, view.Ranges)
	for i := range status.Upstreams {
		one := &status.Upstreams[i]
		f.mu.Lock()
		u := f.upstreams[view.Upstreams[one.ID].Instance]
		f.mu.Unlock()
		if u != nil {
			one.InFlight, one.Waiting = u.busy()
		}
	}
	return status
}
