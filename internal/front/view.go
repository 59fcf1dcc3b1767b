package front

import (
	"slices"
	"time"

	"lovagelink.example/lovagelink/internal/realm"
	"lovagelink.example/lovagelink/internal/route"
)

// View is what this host knows of the deployment at one position of the log. It is never changed, only replaced.
type View struct {
	Index     uint64
	Table     *route.Table // nil until a configuration is known
	Upstreams map[string]UpstreamState
	Ranges    map[string]realm.Ranges // by service

	learned []learned // when this host came to the latest positions, the oldest first
}

// learned is when this host came to a position of the log.
type learned struct {
	index uint64
	at    time.Time
}

// learnedKept is how many positions are kept: those of the last seconds, at some changes a second.
const learnedKept = 64

// UpstreamState is an upstream, and when this host learned that it is in its phase.
type UpstreamState struct {
	realm.Upstream
	PhaseSeenAt time.Time
}

// IsLeaving reports whether the upstream has said that it goes.
func (k UpstreamState) IsLeaving() bool { return k.Phase == realm.Draining || k.Phase == realm.Gone }

// With returns the view with an update taken in; an older one changes nothing.
func (v *View) With(now time.Time, update realm.Update) *View {
	if update.Index <= v.Index {
		return v
	}
	next := &View{Index: update.Index, Table: v.Table, Upstreams: v.Upstreams, Ranges: v.Ranges}
	next.learned = append(slices.Clone(v.learned[max(0, len(v.learned)-learnedKept+1):]), learned{update.Index, now})
	if update.Config != nil && (v.Table == nil || update.Config.Version > v.Table.Config.Version) {
		next.Table = route.NewTable(update.Config)
	}
	if len(update.Upstreams) > 0 {
		next.Upstreams = make(map[string]UpstreamState, len(v.Upstreams)+len(update.Upstreams))
		for id, known := range v.Upstreams {
			if known.Phase != realm.Gone || now.Sub(known.PhaseSeenAt) < leaverGrace {
				next.Upstreams[id] = known
			}
		}
		for _, u := range update.Upstreams {
			next.Upstreams[u.ID] = UpstreamState{Upstream: u, PhaseSeenAt: now}
		}
	}
	if len(update.Ranges) > 0 {
		next.Ranges = make(map[string]realm.Ranges, len(v.Ranges)+len(update.Ranges))
		for service, ranges := range v.Ranges {
			next.Ranges[service] = ranges
		}
		for service, changed := range update.Ranges {
			for _, one := range changed {
				next.Ranges[service] = next.Ranges[service].Put(one)
			}
		}
	}
	return next
}

// leaverGrace is how long requests still go to an upstream that leaves, if it owns their keys: it serves until its keys
// have moved. The platform allows twice this from the acknowledgement on.
const leaverGrace = time.Second

// Owner returns the upstream that serves a key, and the fence of its grant, if one does at present.
func (v *View) Owner(now time.Time, service string, key uint16) (UpstreamState, uint64, bool) {
	one := v.Ranges[service].At(key)
	if one == nil || !one.Active {
		return UpstreamState{}, 0, false
	}
	u, ok := v.Upstreams[one.Owner.ID]
	if !ok || u.Instance != one.Owner || u.Ended {
		return UpstreamState{}, 0, false
	}
	return u, one.FencingToken, !u.IsLeaving() || now.Sub(u.PhaseSeenAt) < leaverGrace
}

// OwnerlessFor returns for how long a key that nobody serves has been so, as far as this host knows.
func (v *View) OwnerlessFor(now time.Time, service string, key uint16) time.Duration {
	one := v.Ranges[service].At(key)
	switch {
	case one == nil:
		return now.Sub(v.reached(v.Index))
	case !one.Active:
		return now.Sub(v.reached(one.Changed))
	}
	u, ok := v.Upstreams[one.Owner.ID]
	switch {
	case !ok:
		return now.Sub(v.reached(one.Changed))
	case u.IsLeaving() && !u.Ended:
		return now.Sub(u.PhaseSeenAt) - leaverGrace
	}
	return now.Sub(u.PhaseSeenAt)
}

// reached returns when this host came to a position of the log; one that is long past is the zero time.
func (v *View) reached(index uint64) time.Time {
	for i, one := range v.learned {
		if one.index >= index && i == 0 && len(v.learned) == learnedKept {
			break
		}
		if one.index >= index {
			return one.at
		}
	}
	return time.Time{}
}

// Usable returns the upstreams of a service that take new requests: those that are ready, and those that control hosts
// have not heard for a while, which may still be reached from here.
func (v *View) Usable(service string) (ready, lost []UpstreamState) {
	for _, u := range v.Upstreams {
		switch {
		case u.Service != service:
		case u.Phase == realm.Ready:
			ready = append(ready, u)
		case u.Phase == realm.Lost:
			lost = append(lost, u)
		}
	}
	return ready, lost
}
