package paxos

import (
	"context"
	"slices"
	"time"
)

// Identify returns the identity of this replica, an empty one after Retire.
func (r *Replica) Identify() Identity {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isRetired {
		return Identity{}
	}
	return Identity{ID: r.store.id, Empty: r.emptyLocked()}
}

// bootstrap creates a new log if this replica's name sorts first among the initial members and all of them are empty.
// Only that replica may create the log, and only while all others respond, so that a replica whose disk was lost can
// never create a second log.
func (r *Replica) bootstrap() {
	names := slices.Sorted(slices.Values(r.config.InitialMembers))
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
	if err := r.persistInitialMembers(members); err != nil {
		r.fail(err)
	}
	r.lastContact = time.Time{}
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

// persistInitialMembers makes the initial membership durable.
func (r *Replica) persistInitialMembers(members Members) error {
	data, err := r.machine.Snapshot()
	if err != nil {
		return err
	}
	if err := r.store.save(diskSnapshot{Members: members, Data: data}, r.promised, nil); err != nil {
		return err
	}
	r.log.rebase(0, members)
	return nil
}
