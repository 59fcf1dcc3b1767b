package core

import (
	"time"

	"lovagelink.example/lovagelink/internal/keyed"
	"lovagelink.example/lovagelink/internal/realm"
)

// trackInstances records new instances, and adds to the command the instances that are lost, gone or to be forgotten.
func (k *keyManager) trackInstances(now time.Time, upstreams []*realm.Upstream, command *realm.Command) {
	for _, u := range upstreams {
		if k.seen[u.Instance].IsZero() {
			k.seen[u.Instance] = now
			k.lastJoin = now
			k.host.forgetServiceTime(u.ID)
			k.recordPredecessors(u)
		}
		sinceHeartbeat := now.Sub(k.host.lastHeartbeat(u.Instance, k.startTime))
		switch {
		case u.Phase == realm.Gone:
			if k.goneSince[u.Instance].IsZero() {
				k.goneSince[u.Instance] = now
			} else if now.Sub(k.goneSince[u.Instance]) > forgetAfter {
				command.Forget = append(command.Forget, u.Instance)
			}
		case sinceHeartbeat > k.host.lostAfter() && u.Phase == realm.Ready:
			command.SetPhase = append(command.SetPhase, realm.PhaseChange{Instance: u.Instance, Phase: realm.Lost})
			_ = k.host.logger.Log("event", "upstream-lost", "upstream", u.ID, "born", u.StartMillis, "silent", sinceHeartbeat)
		case sinceHeartbeat > forgetAfter && u.Phase != realm.Ready:
			command.SetPhase = append(command.SetPhase, realm.PhaseChange{Instance: u.Instance, Phase: realm.Gone})
		}
	}
}

// recordPredecessors records which instances had the id or the address of a new instance before.
func (k *keyManager) recordPredecessors(u *realm.Upstream) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, idOrAddress := range []string{u.ID, u.Address.String()} {
		if previous, ok := k.latestAt[idOrAddress]; ok && previous != u.Instance {
			k.tracker.RecordSuccessor(u.Instance, previous)
		}
		k.latestAt[idOrAddress] = u.Instance
	}
}

// logUnresponsive logs when an instance becomes unresponsive, so that its keys go to others, and when it no longer is.
func (k *keyManager) logUnresponsive(now time.Time, instance realm.Instance, isUnresponsive bool, failing time.Duration, lastHeartbeat time.Time) {
	if k.unresponsive[instance] == isUnresponsive {
		return
	}
	if !isUnresponsive {
		delete(k.unresponsive, instance)
		_ = k.host.logger.Log("event", "upstream-answers", "upstream", instance.ID, "born", instance.StartMillis)
		return
	}
	k.unresponsive[instance] = true
	_ = k.host.logger.Log("event", "upstream-stuck", "upstream", instance.ID, "born", instance.StartMillis, "failing", failing,
		"silent", now.Sub(lastHeartbeat), "is-free", k.tracker.GrantsExpired(now, instance),
		"reason", "the upstream acknowledges no grants; its keys go to others once its last grant has expired")
}

// speedsOf returns the relative speeds of the upstreams of a service, how strongly fast upstreams are preferred at the
// current load, and the usual time of a request.
func (h *Host) speedsOf(now time.Time, upstreams []*realm.Upstream, service string) (map[string]float64, float64, time.Duration) {
	var ids []string
	slots := 0
	for _, u := range upstreams {
		if u.Service == service && u.Phase == realm.Ready {
			ids = append(ids, u.ID)
			slots += u.Slots()
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	speeds, median := h.serviceTimes.Of(ids)
	capacity := 0.0
	for _, u := range upstreams {
		// The speed is 0 for upstreams of other services and those that are not ready.
		capacity += keyed.Limited(float64(u.Slots())*speeds[u.ID], u.Limit, median)
	}
	demand := h.loadsOf(service).Rate(now) * median.Seconds()
	return speeds, keyed.Bias(demand, capacity, float64(slots)/float64(max(1, len(ids)))), median
}

func (h *Host) forgetServiceTime(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.serviceTimes.Forget(id)
}
