package entry

import (
	"context"
	"time"

	"lovagelink.example/lovagelink/internal/disp"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/pkg/place"
)

// witnessTimeout bounds how long a request waits for one host to note its start.
const witnessTimeout = 300 * time.Millisecond

// startArgs asks an entry host whether an attempt may be sent.
type startArgs struct {
	Token string      `json:"token"`
	Note  disp.Record `json:"note"`
}

// startReply lets an attempt be sent for a while, or without a bound if that is zero.
type startReply struct {
	Left time.Duration `json:"left,omitempty"`
}

// historyArgs asks for what a host knows of earlier requests.
type historyArgs struct {
	Upstream string `json:"upstream"`
	Epoch    uint64 `json:"epoch"` // of the dispatcher that asks
	Service  string `json:"service"`
	Slots    []int  `json:"slots"`
}

// historyReply is what a host knows; Young says that it may have lost some of it by a restart.
type historyReply struct {
	Notes []disp.Record `json:"notes"`
	Young bool          `json:"young"`
}

// traceArgs asks whether a host knows of a request.
type traceArgs struct {
	Service string `json:"service"`
	Slot    int    `json:"slot"`
	ID      string `json:"id"`
}

// witness is the entry side as the dispatchers see it.
type witness struct {
	*Host
}

// traceReply is what a host knows of a request.
type traceReply struct {
	Known bool        `json:"known"`
	Young bool        `json:"young"`
	Note  disp.Record `json:"note"`
}

// RecordStart asks the entry host of a request before it is sent. With the dispatcher on the entry host
// itself, another host notes the start, so that no single loss hides it.
func (h witness) RecordStart(ctx context.Context, r disp.Request) (disp.StartAck, error) {
	now := time.Now()
	if r.Origin != h.settings.Name {
		reply, err := callSoon[startReply](ctx, h.hub, r.Origin, "start", startArgs{Token: r.Token, Note: disp.NewRecord(r)})
		noted := disp.StartAck{Host: r.Origin}
		if reply.Left > 0 {
			noted.Until = now.Add(reply.Left)
		}
		return noted, err
	}
	until, err := h.attempts.start(now, r.Token)
	noted := disp.StartAck{Until: until}
	if err != nil {
		return noted, err
	}
	for _, host := range h.witnesses(r.ID) {
		_, err := callSoon[bool](ctx, h.hub, host, "witness", disp.NewRecord(r))
		if err == nil || ctx.Err() != nil {
			noted.Host = host
			return noted, ctx.Err()
		}
	}
	return noted, ctx.Err()
}

// callSoon bounds a call for which a request at the head of the queue waits.
func callSoon[R any](ctx context.Context, hub *peer.Endpoint, host, method string, args any) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	return peer.Call[R](ctx, hub, host, method, args)
}

// RecordOutcome tells the host that has noted a start how the request ended.
func (h witness) RecordOutcome(r disp.Request, noted string, outcome disp.Outcome) {
	if r.Origin != h.settings.Name || noted == "" {
		return
	}
	note := disp.NewRecord(r)
	note.Outcome = &outcome
	_ = h.hub.Notify(context.Background(), noted, "witness", note)
}

// witnesses lists the linked hosts that may note the start of a request, the preferred one first.
func (h *Host) witnesses(id string) []string {
	near := h.linked(func(host string) bool { return h.zones[host] == h.settings.Zone })
	if len(near) > 0 {
		return place.Rank(id, near)
	}
	return place.Rank(id, h.linked(func(string) bool { return true }))
}

// noteOutcome keeps the outcome of an exclusive request that another host has dispatched.
func (h *Host) noteOutcome(r disp.Request, outcome disp.Outcome) {
	note := disp.NewRecord(r)
	note.Outcome = &outcome
	h.book.Merge(time.Now(), "", note)
}

// serveStart lets another host's dispatcher send an attempt of this host, and notes it.
func (h *Host) serveStart(_ context.Context, from string, args startArgs) (startReply, error) {
	now := time.Now()
	until, err := h.attempts.start(now, args.Token)
	if err != nil {
		return startReply{}, err
	}
	h.book.Merge(now, from, args.Note)
	if until.IsZero() {
		return startReply{}, nil
	}
	return startReply{Left: max(until.Sub(now), 1)}, nil
}

// serveHosts answers the calls of other hosts' entry side and dispatchers.
func (h *Host) serveHosts() {
	peer.HandleTyped(h.hub, "detour", h.serveDetour)
	peer.HandleTyped(h.hub, "early", h.serveEarly)
	peer.HandleTyped(h.hub, "zone", h.zoneLease.serveZone)
	peer.HandleTyped(h.hub, "expect", h.serveExpect)
	peer.HandleTyped(h.hub, "start", h.serveStart)
	peer.HandleTyped(h.hub, "witness", func(_ context.Context, from string, note disp.Record) (bool, error) {
		h.book.Merge(time.Now(), from, note)
		return true, nil
	})
	peer.HandleTyped(h.hub, "history", func(_ context.Context, _ string, args historyArgs) (historyReply, error) {
		h.disps.Retire(args.Upstream, args.Epoch)
		notes := h.book.Export(args.Service, args.Slots)
		return historyReply{Notes: notes, Young: h.isYoung(time.Now())}, nil
	})
	peer.HandleTyped(h.hub, "book", func(_ context.Context, from string, after uint64) (bookReply, error) {
		notes, next := h.book.SharedWith(from, after, bookBatch)
		return bookReply{Notes: notes, Next: next, Young: h.isYoung(time.Now())}, nil
	})
	peer.HandleTyped(h.hub, "inherit", func(_ context.Context, _ string, args inheritArgs) (bool, error) {
		h.book.Restore(time.Now(), args.Other, args.Notes)
		return true, nil
	})
	peer.HandleTyped(h.hub, "reshare", func(_ context.Context, from, heir string) (bool, error) {
		h.book.ReplacePeer(from, heir)
		return true, nil
	})
	peer.HandleTyped(h.hub, "trace", func(_ context.Context, _ string, args traceArgs) (traceReply, error) {
		note, known := h.book.Find(args.Service, args.Slot, args.ID)
		return traceReply{Known: known, Young: h.isYoung(time.Now()), Note: note}, nil
	})
}
