package front

import (
	"hash/maphash"
	"iter"
	"sync"
	"time"

	"lovagelink.example/lovagelink/internal/realm"
)

// directoryShards is the number of parts of a directory that are replaced independently.
const directoryShards = 64

var directorySeed = maphash.MakeSeed()

// directory holds the upstreams that a host knows. It is immutable, and a changed copy shares what has not changed: a
// host applies changes many times a second, and there may be a thousand upstreams.
type directory struct {
	shards [directoryShards]map[string]*UpstreamState // by id
	count  int
	usable map[string]*usable // by service
}

// usable lists the upstreams of one service that accept new requests. It is filled when it is first needed, since an
// entry host seldom needs those of a service whose keys have owners.
type usable struct {
	once        sync.Once
	ready, lost []*UpstreamState
}

func shardOf(id string) int { return int(maphash.String(directorySeed, id) % directoryShards) }

// with returns the directory with changed upstreams. Upstreams that have been gone for longer than drainingGrace are
// dropped from the parts that change.
func (d *directory) with(now time.Time, changed []realm.Upstream) *directory {
	if len(changed) == 0 && d != nil {
		return d
	}
	next := &directory{usable: make(map[string]*usable)}
	if d != nil {
		next.shards, next.count = d.shards, d.count
		for service, list := range d.usable {
			next.usable[service] = list
		}
	}
	var isCopied [directoryShards]bool
	for _, u := range changed {
		shard := shardOf(u.ID)
		if !isCopied[shard] {
			next.copyShard(now, shard)
			isCopied[shard] = true
		}
		phaseSeenAt := now
		if former := next.shards[shard][u.ID]; former == nil {
			next.count++
		} else {
			next.usable[former.Service] = &usable{}
			if former.Instance == u.Instance && former.Phase == u.Phase && former.Ended == u.Ended {
				phaseSeenAt = former.PhaseSeenAt
			}
		}
		next.shards[shard][u.ID] = &UpstreamState{Upstream: u, PhaseSeenAt: phaseSeenAt}
		next.usable[u.Service] = &usable{}
	}
	return next
}

// copyShard replaces a part of a new directory by a copy without the upstreams that are long gone.
func (d *directory) copyShard(now time.Time, shard int) {
	part := make(map[string]*UpstreamState, len(d.shards[shard])+1)
	for id, state := range d.shards[shard] {
		if state.Phase == realm.Gone && now.Sub(state.PhaseSeenAt) >= drainingGrace {
			d.count--
			continue
		}
		part[id] = state
	}
	d.shards[shard] = part
}

// find returns the upstream with an id, or nil.
func (d *directory) find(id string) *UpstreamState {
	if d == nil {
		return nil
	}
	return d.shards[shardOf(id)][id]
}

// size returns the number of upstreams.
func (d *directory) size() int {
	if d == nil {
		return 0
	}
	return d.count
}

// all returns all upstreams, in no order.
func (d *directory) all() iter.Seq[*UpstreamState] {
	return func(yield func(*UpstreamState) bool) {
		if d == nil {
			return
		}
		for _, shard := range d.shards {
			for _, state := range shard {
				if !yield(state) {
					return
				}
			}
		}
	}
}

// listOf returns the list of the usable upstreams of a service, which is replaced whenever one of them changes.
func (d *directory) listOf(service string) *usable {
	if d == nil {
		return nil
	}
	return d.usable[service]
}

// usableOf returns the ready and the lost upstreams of a service.
func (d *directory) usableOf(service string) (ready, lost []*UpstreamState) {
	list := d.listOf(service)
	if list == nil {
		return nil, nil
	}
	list.once.Do(func() {
		for state := range d.all() {
			switch {
			case state.Service != service:
			case state.Phase == realm.Ready:
				list.ready = append(list.ready, state)
			case state.Phase == realm.Lost:
				list.lost = append(list.lost, state)
			}
		}
	})
	return list.ready, list.lost
}
