package entry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lovagelink.example/lovagelink/internal/disp"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/state"
)

// CollectHistory collects the records of earlier requests of some slots from all other hosts.
func (h *Host) CollectHistory(ctx context.Context, upstream string, epoch uint64, service string, slots []int) disp.History {
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	history := disp.History{Answered: make(map[string]bool)}
	if h.isIncomplete(time.Now()) {
		history.Missing++
	}
	args := historyArgs{Upstream: upstream, Epoch: epoch, Service: service, Slots: slots}
	for _, reply := range callAll[historyReply](ctx, h, "history", args) {
		if reply.err != nil || reply.value.Incomplete {
			history.Missing++
		}
		if reply.err == nil {
			history.Answered[reply.host] = true
			history.Records = append(history.Records, reply.value.Records...)
		}
	}
	return history
}

// isIncomplete reports whether the deduplication table may lack records that an earlier incarnation of this host
// held.
func (h *Host) isIncomplete(now time.Time) bool {
	if h.dedupRestored.Load() || now.Sub(h.startTime) >= disp.KeepOutcomes {
		return false
	}
	isFirst := false
	h.store.Read(func(s *state.State) {
		isFirst = s.IsFirstIncarnation(state.HostInstance{Host: h.settings.Name, Incarnation: h.incarnation})
	})
	return !isFirst
}

// recordBatch is the maximum number of records in one message.
const recordBatch = 500

// restoreTimeout bounds how long a starting host waits for the records that it shares with other hosts.
const restoreTimeout = 3 * time.Second

// recordsReply is one batch of the records that a host shares with the requesting host.
type recordsReply struct {
	Records    []disp.Record `json:"notes"`
	Next       uint64        `json:"next"`  // where the next batch begins, or 0 after the last batch
	Incomplete bool          `json:"young"` // the host may have lost records in a restart
}

// restoreDedupTable fetches the records of non-idempotent requests that the other hosts share with this host, so
// that two hosts hold each record again. It reports whether every host has replied and has lost no records
// itself: a record that only this host and one other host held is lost if both have failed.
func (h *Host) restoreDedupTable(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	var isPartial atomic.Bool
	var group sync.WaitGroup
	for _, host := range h.endpoint.Hosts() {
		group.Go(func() {
			if !h.restoreFrom(ctx, host) {
				isPartial.Store(true)
			}
		})
	}
	group.Wait()
	return !isPartial.Load()
}

// restoreFrom fetches the records that one host shares with this host; it reports false if some may be missing.
func (h *Host) restoreFrom(ctx context.Context, host string) bool {
	after := uint64(0)
	for {
		reply, err := h.fetchRecords(ctx, host, after)
		if err != nil {
			return false
		}
		h.dedup.Restore(time.Now(), host, reply.Records)
		if reply.Next == 0 {
			return !reply.Incomplete
		}
		after = reply.Next
	}
}

func (h *Host) fetchRecords(ctx context.Context, host string, after uint64) (recordsReply, error) {
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	return peer.Call[recordsReply](ctx, h.endpoint, host, "book", after)
}

// inheritArgs transfers records from a stopping host to another host. The host Other holds them too; Other is empty
// if that host is unknown.
type inheritArgs struct {
	Other   string        `json:"other"`
	Records []disp.Record `json:"notes"`
}

// handOverRecords copies the records of this host to hosts that do not hold them yet, so that two hosts still hold
// each record after this host has stopped.
func (h *Host) handOverRecords(ctx context.Context) {
	recipients := append(h.recordingHosts(h.settings.Name),
		h.reachableHosts(func(host string) bool { return h.zones[host] != h.settings.Zone })...)
	for peerHost, records := range h.dedup.Shared() {
		for _, recipient := range recipients {
			if recipient != peerHost && h.handOverTo(ctx, recipient, peerHost, records) == nil {
				break
			}
		}
	}
}

// handOverTo copies records to a recipient and notifies peerHost, the other host that holds them.
func (h *Host) handOverTo(ctx context.Context, recipient, peerHost string, records []disp.Record) error {
	for batch := range slices.Chunk(records, recordBatch) {
		if _, err := peer.Call[bool](ctx, h.endpoint, recipient, "inherit",
			inheritArgs{Other: peerHost, Records: batch}); err != nil {
			return err
		}
	}
	if peerHost != "" {
		_, _ = peer.Call[bool](ctx, h.endpoint, peerHost, "reshare", recipient) // a host that is down has lost its records
	}
	return nil
}

// mayHaveStarted reports whether a non-idempotent request may have been started before: a host has a record of it,
// may have lost its record, or does not reply.
func (h *Host) mayHaveStarted(p *parsedRequest) bool {
	ctx, cancel := context.WithTimeout(context.Background(), historyTimeout)
	defer cancel()
	for _, reply := range callAll[traceReply](ctx, h, "trace", traceArgs{Service: p.Service, Slot: p.Slot, ID: p.ID}) {
		if reply.err != nil || reply.value.Found || reply.value.Incomplete {
			return true
		}
	}
	_, found := h.dedup.Find(p.Service, p.Slot, p.ID)
	return found
}

// FindHistory collects the records of one request from all other hosts.
func (h *Host) FindHistory(ctx context.Context, r disp.Request) disp.History {
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	history := disp.History{Answered: make(map[string]bool)}
	for _, reply := range callAll[traceReply](ctx, h, "trace", traceArgs{Service: r.Service, Slot: r.Slot, ID: r.ID}) {
		if reply.err != nil {
			history.Missing++
			continue
		}
		history.Answered[reply.host] = true
		if reply.value.Incomplete {
			history.Missing++
		}
		if reply.value.Found {
			history.Records = append(history.Records, reply.value.Record)
		}
	}
	history.ZoneMissing = h.missesZone(history.Answered)
	return history
}

// missesZone reports whether there is a zone of which no host has replied.
func (h *Host) missesZone(answered map[string]bool) bool {
	answeredZones := map[string]bool{h.settings.Zone: true}
	for host := range answered {
		answeredZones[h.zones[host]] = true
	}
	for _, zone := range h.zones {
		if !answeredZones[zone] {
			return true
		}
	}
	return false
}
