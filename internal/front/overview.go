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
	for state := range view.upstreams.all() {
		upstreams = append(upstreams, state.Upstream)
	}
	ranges := make(map[string]realm.Ranges, len(view.Ranges))
	for service, parts := range view.Ranges {
		ranges[service] = parts.Ranges()
	}
	status.Describe(upstreams, ranges)
	for i := range status.Upstreams {
		row := &status.Upstreams[i]
		state := view.Upstream(row.ID)
		if state == nil {
			continue
		}
		f.mu.Lock()
		u := f.upstreams[state.Instance]
		f.mu.Unlock()
		if u != nil {
			row.InFlight, row.Waiting = u.busy()
		}
	}
	return status
}
