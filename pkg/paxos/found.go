package paxos

import (
	"context"
	"slices"
	"time"
)

// Identify tells who this replica is.
func (r *Replica) Identify() Identity {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Identity{ID: r.store.id, Empty: r.emptyLocked()}
}

// found starts a new log when this is the first founder by name and every founder is empty.
// One founder alone may do so, and only with all others at hand, so that a replica whose disk
// was lost can never found a second log.
func (r *Replica) found() {
	names := slices.Sorted(slices.Values(r.setup.InitialMembers))
	if len(names) == 0 || names[0] != r.name {
		return
	}
	var members Members
	for _, name := range names {
		identity, ok := r.identify(name)
		if !ok || !identity.Empty {
			return
		}
		members = members.With(Member{Name: name, ID: identity.ID})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.emptyLocked() {
		return
	}
	if err := r.adoptMembers(members); err != nil {
		r.fail(err)
	}
	r.heard = time.Time{}
}

func (r *Replica) identify(name string) (Identity, bool) {
	if name == r.name {
		return r.Identify(), true
	}
	ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), r.timing.Timeout)
	defer cancel()
	identity, err := r.transport.Identify(ctx, name)
	return identity, err == nil
}

// adoptMembers makes the founding membership durable.
func (r *Replica) adoptMembers(members Members) error {
	data, err := r.machine.Snapshot()
	if err != nil {
		return err
	}
	if err := r.store.save(image{Members: members, Data: data}, r.promised, nil); err != nil {
		return err
	}
	r.log.rebase(0, members)
	return nil
}
