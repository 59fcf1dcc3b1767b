package front

import (
	"time"

	"lovagelink.example/lovagelink/internal/oper"
	"lovagelink.example/lovagelink/internal/realm"
)

// Overview returns the status of this host and its view of the deployment for operators.
func (f *Front) Overview(time.Time) oper.Status {
	view := f.view.Load()
	status := oper.Status{Host: f.site.Name, Role: "entry", Zone: f.site.Zone, LeaderReachable: f.leaderReachable.Load(), AppliedIndex: view.Index}
	if view.Table != nil {
		status.ConfigVersion = view.Table.Config.Version
	}
	var upstreams []realm.Upstream
	for _, state := range view.Upstreams {
		upstreams = append(upstreams, state.Upstream)
	}
	status.Describe(upstreams, view.Ranges)
	for i := range status.Upstreams {
		row := &status.Upstreams[i]
		f.mu.Lock()
		u := f.upstreams[view.Upstreams[row.ID].Instance]
		f.mu.Unlock()
		if u != nil {
			row.InFlight, row.Waiting = u.busy()
		}
	}
	return status
}
