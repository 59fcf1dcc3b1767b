package entry

import (
	"context"
	"time"

	"lovagelink.example/lovagelink/internal/disp"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/pkg/place"
)

// recordTimeout bounds how long a request waits for one host to record its start.
const recordTimeout = 300 * time.Millisecond

// startArgs asks an entry host whether an attempt may be sent to an upstream.
type startArgs struct {
	Token  string      `json:"token"`
	Record disp.Record `json:"note"`
}

// startReply allows an attempt to be sent for the time Left, or without a time limit if that is zero.
type startReply struct {
	Left time.Duration `json:"left,omitempty"`
}

// historyArgs asks for a host's records of earlier requests of some slots.
type historyArgs struct {
	Upstream string `json:"upstream"`
	Epoch    uint64 `json:"epoch"` // epoch of the requesting dispatcher
	Service  string `json:"service"`
	Slots    []int  `json:"slots"`
}

// historyReply holds a host's records; Incomplete says that the host may have lost records in a restart.
type historyReply struct {
	Records    []disp.Record `json:"notes"`
	Incomplete bool          `json:"young"`
}

// traceArgs asks whether a host has a record of a request.
type traceArgs struct {
	Service string `json:"service"`
	Slot    int    `json:"slot"`
	ID      string `json:"id"`
}

// recorder implements disp.Recorder for the dispatchers on this host.
type recorder struct {
	*Host
}

// traceReply holds a host's record of a request, if there is one; Incomplete says that the host may have lost
// records in a restart.
type traceReply struct {
	Found      bool        `json:"known"`
	Incomplete bool        `json:"young"`
	Record     disp.Record `json:"note"`
}

// RecordStart asks the entry host of a request, before the request is sent, to allow and record its start. If this
// host is the entry host itself, another host records the start, so that the loss of a single host does not lose the
// record.
func (h recorder) RecordStart(ctx context.Context, r disp.Request) (disp.StartAck, error) {
	now := time.Now()
	if r.Origin != h.settings.Name {
		reply, err := callWithTimeout[startReply](ctx, h.endpoint, r.Origin, "start",
			startArgs{Token: r.Token, Record: disp.NewRecord(r)})
		ack := disp.StartAck{Host: r.Origin}
		if reply.Left > 0 {
			ack.Until = now.Add(reply.Left)
		}
		return ack, err
	}
	until, err := h.attempts.start(now, r.Token)
	ack := disp.StartAck{Until: until}
	if err != nil {
		return ack, err
	}
	for _, host := range h.recordingHosts(r.ID) {
		_, err := callWithTimeout[bool](ctx, h.endpoint, host, "witness", disp.NewRecord(r))
		if err == nil || ctx.Err() != nil {
			ack.Host = host
			return ack, ctx.Err()
		}
	}
	return ack, ctx.Err()
}

// callWithTimeout makes a call that ends within recordTimeout, since a request at the head of a queue waits for it.
func callWithTimeout[R any](ctx context.Context, endpoint *peer.Endpoint, host, method string, args any) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	return peer.Call[R](ctx, endpoint, host, method, args)
}

// RecordOutcome sends the outcome of a request to the host that recorded its start. If that is the entry host, it
// records the outcome from the response instead.
func (h recorder) RecordOutcome(r disp.Request, recordingHost string, outcome disp.Outcome) {
	if r.Origin != h.settings.Name || recordingHost == "" {
		return
	}
	record := disp.NewRecord(r)
	record.Outcome = &outcome
	_ = h.endpoint.Notify(context.Background(), recordingHost, "witness", record)
}

// recordingHosts returns the reachable hosts that may record the start of a request, in order of preference: those
// of this zone, or all if none of this zone is reachable.
func (h *Host) recordingHosts(id string) []string {
	inZone := h.reachableHosts(func(host string) bool { return h.zones[host] == h.settings.Zone })
	if len(inZone) > 0 {
		return place.Rank(id, inZone)
	}
	return place.Rank(id, h.reachableHosts(func(string) bool { return true }))
}

// recordOutcome stores the outcome of a non-idempotent request that another host has dispatched.
func (h *Host) recordOutcome(r disp.Request, outcome disp.Outcome) {
	record := disp.NewRecord(r)
	record.Outcome = &outcome
	h.dedup.Merge(time.Now(), "", record)
}

// serveStart allows the dispatcher on another host to send an attempt of this host, and records its start.
func (h *Host) serveStart(_ context.Context, from string, args startArgs) (startReply, error) {
	now := time.Now()
	until, err := h.attempts.start(now, args.Token)
	if err != nil {
		return startReply{}, err
	}
	h.dedup.Merge(now, from, args.Record)
	if until.IsZero() {
		return startReply{}, nil
	}
	return startReply{Left: max(until.Sub(now), 1)}, nil
}

// serveHosts registers the methods that other hosts call.
func (h *Host) serveHosts() {
	peer.HandleTyped(h.endpoint, "detour", h.serveRelay)
	peer.HandleTyped(h.endpoint, "early", h.serveEarly)
	peer.HandleTyped(h.endpoint, "zone", h.zoneLease.serveZone)
	peer.HandleTyped(h.endpoint, "expect", h.serveEstimate)
	peer.HandleTyped(h.endpoint, "start", h.serveStart)
	peer.HandleTyped(h.endpoint, "witness", func(_ context.Context, from string, record disp.Record) (bool, error) {
		h.dedup.Merge(time.Now(), from, record)
		return true, nil
	})
	peer.HandleTyped(h.endpoint, "history", func(_ context.Context, _ string, args historyArgs) (historyReply, error) {
		h.dispatchers.Retire(args.Upstream, args.Epoch)
		records := h.dedup.Export(args.Service, args.Slots)
		return historyReply{Records: records, Incomplete: h.isIncomplete(time.Now())}, nil
	})
	peer.HandleTyped(h.endpoint, "book", func(_ context.Context, from string, after uint64) (recordsReply, error) {
		records, next := h.dedup.SharedWith(from, after, recordBatch)
		return recordsReply{Records: records, Next: next, Incomplete: h.isIncomplete(time.Now())}, nil
	})
	peer.HandleTyped(h.endpoint, "inherit", func(_ context.Context, _ string, args inheritArgs) (bool, error) {
		h.dedup.Restore(time.Now(), args.Other, args.Records)
		return true, nil
	})
	peer.HandleTyped(h.endpoint, "reshare", func(_ context.Context, from, newPeer string) (bool, error) {
		h.dedup.ReplacePeer(from, newPeer)
		return true, nil
	})
	peer.HandleTyped(h.endpoint, "trace", func(_ context.Context, _ string, args traceArgs) (traceReply, error) {
		record, found := h.dedup.Find(args.Service, args.Slot, args.ID)
		return traceReply{Found: found, Incomplete: h.isIncomplete(time.Now()), Record: record}, nil
	})
}
