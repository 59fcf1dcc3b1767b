package front

import (
	"context"
	"time"

	"lovagelink.example/lovagelink/internal/core"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/realm"
)

const (
	maxLeavers           = 256                    // upstreams that wait to be reported as leaving
	leaversRetryInterval = 300 * time.Millisecond // until the report is in the log, and this host has received it
)

// reportLeavers tells the control hosts which upstreams have said in a response that they are leaving, so that their
// keys move and other entry hosts stop to use them. It repeats the report until the control hosts say the same.
func (f *Front) reportLeavers() error {
	ctx := f.tomb.Context(context.Background())
	pending := make(map[realm.Instance]bool)
	var retry <-chan time.Time // nil while nothing waits
	for {
		select {
		case instance := <-f.leavers:
			pending[instance] = true
		case <-retry:
		case <-ctx.Done():
			return nil
		}
		view := f.view.Load()
		report := core.LeaversReport{}
		for instance := range pending {
			if state := view.Upstream(instance.ID); state == nil || state.Instance != instance || state.IsLeaving() {
				delete(pending, instance)
				continue
			}
			report.Instances = append(report.Instances, instance)
		}
		retry = nil
		if len(report.Instances) == 0 {
			continue
		}
		retry = time.After(leaversRetryInterval)
		target, _ := f.followed.Load().(string)
		if target == "" {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		_, err := peer.Call[bool](callCtx, f.endpoint, target, "leavers", report)
		cancel()
		if err != nil {
			_ = f.logger.Log("event", "upstream-leaves", "upstreams", len(report.Instances), "outcome", "unknown", "control", target, "reason", err)
		}
	}
}
