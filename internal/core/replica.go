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

// usualMembers is the largest number of members of the log where the loss of up to two hosts at a time is to be survived.
// For each further member the leader has to send another copy of every entry.
const usualMembers = 5

// neededMembers returns the number of members of which a majority survives the loss of as many hosts as may be lost at a
// time.
func (h *Host) neededMembers() int { return 2*h.site.LostHosts + 1 }

func (h *Host) maxMembers() int { return max(usualMembers, h.neededMembers()) }

// removeAfter is how long a member may be unresponsive before it loses its vote. It is longer than a restart, so that a
// restarted host keeps its vote, and leaves half of the time until another host may be lost for the removal and for
// another host to join.
func (h *Host) removeAfter() time.Duration { return max(h.site.Bounds.CatchUp/2, restartTime) }

// restartTime is the time in which a host that restarts responds again.
const restartTime = 1500 * time.Millisecond

// reopenInterval is the time between attempts to open the replica again after a write to its disk has failed.
const reopenInterval = 300 * time.Millisecond

// snapshotEvery is the number of entries between snapshots. Entries with configurations have some 100 KB each, and a
// disk 256 MB.
const snapshotEvery = 256

// timing returns timing for disks that need some milliseconds for a sync, on hosts with a fraction of a core.
func timing() paxos.Timing {
	t := paxos.DefaultTiming()
	t.Lease = 700 * time.Millisecond
	t.Heartbeat = 150 * time.Millisecond // heartbeats cross zones; a lease expires after four lost ones
	t.SnapshotEvery = snapshotEvery
	return t
}

// replicaStore is a replica and the store that it applies commands to. After a write to the disk has failed, the
// replica ends, and another replica is opened from the contents of the disk.
type replicaStore struct {
	replica *paxos.Replica
	store   *realm.Store
}

func (h *Host) currentReplica() *replicaStore {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.replicaStore
}

// open opens the replica from the contents of the disk.
func (h *Host) open(now time.Time) error {
	store := realm.NewStore()
	config := paxos.Config{
		Name: h.name, Folder: filepath.Join(h.site.DataFolder, "log"), Timing: timing(),
		NextChange: h.nextVoterChange, MaxMembers: h.maxMembers(), MinMembers: h.neededMembers(), RemoveAfter: h.removeAfter(),
	}
	if h.site.Bootstrap {
		for _, seed := range h.site.Seeds {
			config.InitialMembers = append(config.InitialMembers, h.site.PeerName(seed))
		}
	}
	replica, err := paxos.New(now, config, countingTransport{ctrl.NewTransport(h.endpoint, config.Timing), &h.workload}, store)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.resigned {
		replica.Retire()
	}
	h.replicaStore = &replicaStore{replica: replica, store: store}
	return nil
}

// reopenOnFailure opens the replica again whenever its disk has failed.
func (h *Host) reopenOnFailure() error {
	for h.tomb.Alive() {
		current := h.currentReplica()
		select {
		case <-h.tomb.Dying():
			return nil
		case <-current.replica.Done():
		}
		_ = h.logger.Log("event", "disk-lost", "reason", current.replica.Err())
		_ = current.replica.Stop()
		lastReason := ""
		for h.tomb.Alive() {
			pause.For(h.tomb.Context(context.Background()), reopenInterval)
			err := h.open(time.Now())
			if err == nil {
				h.currentReplica().replica.Start()
				_ = h.logger.Log("event", "disk-regained")
				break
			}
			if reason := err.Error(); reason != lastReason {
				_ = h.logger.Log("event", "disk-lost", "reason", reason)
				lastReason = reason
			}
		}
	}
	return nil
}
