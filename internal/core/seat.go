package core

import (
	"context"
	"path/filepath"
	"time"

	"lovagelink.example/lovagelink/internal/ctrl"
	"lovagelink.example/lovagelink/internal/pause"
	"lovagelink.example/lovagelink/internal/realm"
	"lovagelink.example/lovagelink/pkg/paxos"
)

// Members of the log: five bear the loss of two, and each further one costs the leader a copy of every entry.
const maxMembers = 5

// retireAfter is how long a replica is silent before a newcomer takes its place for good. It is longer than a restart
// takes, so that a host that comes back keeps its vote.
const retireAfter = 4 * time.Second

// reopenGap lies between two attempts to open a disk that has refused a write.
const reopenGap = 300 * time.Millisecond

// snapshotEvery is the number of entries between snapshots. Entries with configurations have some 100 KB each, and a
// disk 256 MB.
const snapshotEvery = 256

// timing suits disks that take some milliseconds a sync beside processors with a fraction of a core.
func timing() paxos.Timing {
	t := paxos.DefaultTiming()
	t.Lease = 700 * time.Millisecond
	t.Heartbeat = 150 * time.Millisecond // each one crosses zones; four are lost before a lease ends
	t.SnapshotEvery = snapshotEvery
	return t
}

// seat is a replica and the state that it drives. A replica whose disk has refused a write ends, and another one is
// opened on what the disk holds.
type seat struct {
	replica *paxos.Replica
	feed    *realm.Store
}

func (h *Host) current() *seat {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.seat
}

// open opens the replica on what the disk holds.
func (h *Host) open(now time.Time) error {
	feed := realm.NewStore()
	setup := paxos.Config{
		Name: h.name, Folder: filepath.Join(h.site.DataFolder, "log"), Timing: timing(),
		JoinCandidates: h.guestNames, MaxMembers: maxMembers, RemoveAfter: retireAfter,
	}
	if h.site.Bootstrap {
		for _, seed := range h.site.Seeds {
			setup.InitialMembers = append(setup.InitialMembers, h.site.PeerName(seed))
		}
	}
	replica, err := paxos.New(now, setup, ctrl.NewTransport(h.hub), feed)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seat = &seat{replica: replica, feed: feed}
	return nil
}

// attend opens the replica again whenever its disk has failed.
func (h *Host) attend() error {
	for h.tomb.Alive() {
		seat := h.current()
		select {
		case <-h.tomb.Dying():
			return nil
		case <-seat.replica.Done():
		}
		_ = h.logger.Log("event", "disk-lost", "reason", seat.replica.Err())
		_ = seat.replica.Stop()
		for h.tomb.Alive() {
			pause.For(h.tomb.Context(context.Background()), reopenGap)
			if err := h.open(time.Now()); err == nil {
				h.current().replica.Start()
				_ = h.logger.Log("event", "disk-regained")
				break
			}
		}
	}
	return nil
}
