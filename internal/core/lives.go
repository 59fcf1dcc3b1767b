package core

import (
	"time"

	"lovagelink.example/lovagelink/internal/keyed"
	"lovagelink.example/lovagelink/internal/realm"
)

// watchLives notes upstreams that have become silent, and those that can be forgotten.
func (k *keeper) watchLives(now time.Time, upstreams []*realm.Upstream, command *realm.Command) {
	for _, u := range upstreams {
		if !k.seen[u.Instance] {
			k.seen[u.Instance] = true
			k.joined = now
			k.host.forgetSpeed(u.ID)
			k.succeed(u)
		}
		silent := now.Sub(k.host.lastHeard(u.Instance, k.began))
		switch {
		case u.Phase == realm.Gone:
			if k.gone[u.Instance].IsZero() {
				k.gone[u.Instance] = now
			} else if now.Sub(k.gone[u.Instance]) > forgetAfter {
				command.Forget = append(command.Forget, u.Instance)
			}
		case silent > k.host.lostAfter() && u.Phase == realm.Ready:
			command.SetPhase = append(command.SetPhase, realm.PhaseChange{Instance: u.Instance, Phase: realm.Lost})
			_ = k.host.logger.Log("event", "upstream-lost", "upstream", u.ID, "born", u.StartMillis, "silent", silent)
		case silent > forgetAfter && u.Phase != realm.Ready:
			command.SetPhase = append(command.SetPhase, realm.PhaseChange{Instance: u.Instance, Phase: realm.Gone})
		}
	}
}

// succeed notes which lives were at the place of a new one.
func (k *keeper) succeed(u *realm.Upstream) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, place := range []string{u.ID, u.Address.String()} {
		if earlier, ok := k.places[place]; ok && earlier != u.Instance {
			k.book.RecordSuccessor(u.Instance, earlier)
		}
		k.places[place] = u.Instance
	}
}

// tellStuck logs when an upstream begins to be one whose keys are to go to others, and when it takes grants again.
func (k *keeper) tellStuck(now time.Time, life realm.Instance, isStuck bool, failing time.Duration, heard time.Time) {
	if k.stuck[life] == isStuck {
		return
	}
	if !isStuck {
		delete(k.stuck, life)
		_ = k.host.logger.Log("event", "upstream-answers", "upstream", life.ID, "born", life.StartMillis)
		return
	}
	k.stuck[life] = true
	_ = k.host.logger.Log("event", "upstream-stuck", "upstream", life.ID, "born", life.StartMillis, "failing", failing,
		"silent", now.Sub(heard), "is-free", k.book.GrantsExpired(now, life),
		"reason", "it takes no grants; its keys go to others once its last one has ended")
}

// speedsOf returns the speeds of the upstreams of a service, and by how much the fast ones are preferred at present.
func (h *Host) speedsOf(now time.Time, upstreams []*realm.Upstream, service string) (map[string]float64, float64) {
	var ids []string
	slots := 0
	for _, u := range upstreams {
		if u.Service == service && u.Phase == realm.Ready {
			ids = append(ids, u.ID)
			slots += u.Concurrency
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	speeds, median := h.speeds.Of(ids)
	capacity := 0.0
	for _, u := range upstreams {
		capacity += float64(u.Concurrency) * speeds[u.ID] // 0 for those that are not of the service or not ready
	}
	demand := h.loadsOf(service).Rate(now) * median.Seconds()
	return speeds, keyed.Bias(demand, capacity, float64(slots)/float64(max(1, len(ids))))
}

func (h *Host) forgetSpeed(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.speeds.Forget(id)
}
