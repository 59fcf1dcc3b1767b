package front

import (
	"slices"
	"time"

	"lovagelink.example/lovagelink/internal/realm"
	"lovagelink.example/lovagelink/internal/route"
)

// View is the state of the deployment at one index of the control log, as this host has received it. A View is
// immutable.
type View struct {
	Index  uint64
	Table  *route.Table               // nil until a configuration is received
	Ranges map[string]*realm.RangeMap // by service

	upstreams *directory

	indexTimes []indexTime // the latest log indexes and when this host reached them, oldest first
}

// indexTime records when this host reached an index of the control log.
type indexTime struct {
	index uint64
	at    time.Time
}

// maxIndexTimes is the number of log indexes whose time is kept. At a few changes per second they cover the last
// seconds.
const maxIndexTimes = 64

// UpstreamState is an upstream and the time at which this host learned the upstream's current phase.
type UpstreamState struct {
	realm.Upstream
	PhaseSeenAt time.Time
}

// IsLeaving reports whether the upstream is draining or gone.
func (u UpstreamState) IsLeaving() bool { return u.Phase == realm.Draining || u.Phase == realm.Gone }

// With returns the view with an update applied. It returns v itself if the update is not newer than v, and
// realm.ErrOtherConfig if the whole state is needed.
func (v *View) With(now time.Time, update realm.Update) (*View, error) {
	if update.Index <= v.Index {
		return v, nil
	}
	var current *route.Config
	if v.Table != nil {
		current = v.Table.Config
	}
	config, err := update.NextConfig(current)
	if err != nil {
		return v, err
	}
	next := &View{Index: update.Index, Table: v.Table, Ranges: v.Ranges, upstreams: v.upstreams.with(now, update.Upstreams)}
	next.indexTimes = append(slices.Clone(v.indexTimes[max(0, len(v.indexTimes)-maxIndexTimes+1):]), indexTime{update.Index, now})
	if config != nil {
		next.Table = route.NewTable(config)
	}
	if len(update.Ranges) > 0 {
		next.Ranges = make(map[string]*realm.RangeMap, len(v.Ranges)+len(update.Ranges))
		for service, ranges := range v.Ranges {
			next.Ranges[service] = ranges
		}
		for service, changed := range update.Ranges {
			next.Ranges[service] = next.Ranges[service].With(changed)
		}
	}
	return next, nil
}

// drainingGrace is how long requests are still sent to a draining upstream that owns their keys, since the upstream
// serves until its keys have moved. The platform allows twice this time from the acknowledgement on.
const drainingGrace = time.Second

// Owner returns the upstream that owns a key and the fencing token of its grant. It returns false if no upstream serves
// the key at present.
func (v *View) Owner(now time.Time, service string, key uint16) (*UpstreamState, uint64, bool) {
	r := v.Ranges[service].At(key)
	if r == nil || !r.Active {
		return nil, 0, false
	}
	u := v.upstreams.find(r.Owner.ID)
	if u == nil || u.Instance != r.Owner || u.Ended {
		return nil, 0, false
	}
	return u, r.FencingToken, !u.IsLeaving() || now.Sub(u.PhaseSeenAt) < drainingGrace
}

// OwnerlessFor returns for how long a key has been without a serving owner, as far as this host knows.
func (v *View) OwnerlessFor(now time.Time, service string, key uint16) time.Duration {
	r := v.Ranges[service].At(key)
	switch {
	case r == nil:
		return now.Sub(v.reachedAt(v.Index))
	case !r.Active:
		return now.Sub(v.reachedAt(r.Changed))
	}
	u := v.upstreams.find(r.Owner.ID)
	switch {
	case u == nil:
		return now.Sub(v.reachedAt(r.Changed))
	case u.IsLeaving() && !u.Ended:
		return now.Sub(u.PhaseSeenAt) - drainingGrace
	}
	return now.Sub(u.PhaseSeenAt)
}

// reachedAt returns when this host reached an index of the control log, or the zero time if that is so long ago that
// the time is no longer kept.
func (v *View) reachedAt(index uint64) time.Time {
	for i, entry := range v.indexTimes {
		if entry.index >= index && i == 0 && len(v.indexTimes) == maxIndexTimes {
			break
		}
		if entry.index >= index {
			return entry.at
		}
	}
	return time.Time{}
}

// Usable returns the upstreams of a service that accept new requests: the ready ones, and the lost ones, which the
// control hosts have not heard from for a while but which this host may still reach.
func (v *View) Usable(service string) (ready, lost []*UpstreamState) {
	return v.upstreams.usableOf(service)
}

// Upstream returns the upstream with an id, or nil if this host does not know it.
func (v *View) Upstream(id string) *UpstreamState { return v.upstreams.find(id) }

// has reports whether an instance of an upstream is the registered one, and its process has not ended.
func (v *View) has(instance realm.Instance) bool {
	state := v.upstreams.find(instance.ID)
	return state != nil && state.Instance == instance && !state.Ended
}
