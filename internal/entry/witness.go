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
	Token string    `json:"token"`
	Note  disp.Note `json:"note"`
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
	Notes []disp.Note `json:"notes"`
	Young bool        `json:"young"`
}

// traceArgs asks whether a host knows of a request.
type traceArgs struct {
	Service string `json:"service"`
	ID      string `json:"id"`
}

// witness is the entry side as the dispatchers see it.
type witness struct {
	*Host
}

// traceReply is what a host knows of a request.
type traceReply struct {
	Known bool      `json:"known"`
	Young bool      `json:"young"`
	Note  disp.Note `json:"note"`
}

// Start asks the entry host of a request before it is sent. With the dispatcher on the entry host
// itself, another host notes the start, so that no single loss hides it.
func (h witness) Start(ctx context.Context, r disp.Request) (string, error) {
	if r.Origin != h.settings.Name {
		_, err := callSoon[bool](ctx, h.hub, r.Origin, "start", startArgs{Token: r.Token, Note: disp.NoteOf(r)})
		return r.Origin, err
	}
	if err := h.attempts.start(r.Token); err != nil {
		return "", err
	}
	for _, host := range h.witnesses(r.ID) {
		_, err := callSoon[bool](ctx, h.hub, host, "witness", disp.NoteOf(r))
		if err == nil || ctx.Err() != nil {
			return host, ctx.Err()
		}
	}
	return "", ctx.Err()
}

// callSoon bounds a call for which a request at the head of the queue waits.
func callSoon[R any](ctx context.Context, hub *peer.Hub, host, method string, args any) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	return peer.Call[R](ctx, hub, host, method, args)
}

// Finished tells the host that has noted a start how the request ended.
func (h witness) Finished(r disp.Request, noted string, outcome disp.Outcome) {
	if r.Origin != h.settings.Name || noted == "" {
		return
	}
	note := disp.NoteOf(r)
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
	note := disp.NoteOf(r)
	note.Outcome = &outcome
	h.book.Witness(time.Now(), note)
}

// Collect asks all hosts that are up what they know of earlier requests of some slots.
func (h *Host) Collect(ctx context.Context, upstream string, epoch uint64, service string, slots []int) disp.History {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	history := disp.History{Answered: make(map[string]bool)}
	if h.isYoung(time.Now()) {
		history.Missing++
	}
	args := historyArgs{Upstream: upstream, Epoch: epoch, Service: service, Slots: slots}
	for _, answer := range askAll[historyReply](ctx, h, "history", args) {
		if answer.err != nil || answer.value.Young {
			history.Missing++
		}
		if answer.err == nil {
			history.Answered[answer.host] = true
			history.Notes = append(history.Notes, answer.value.Notes...)
		}
	}
	return history
}

// isYoung reports whether this host may have known of requests before it was restarted that it does
// not know of now.
func (h *Host) isYoung(now time.Time) bool {
	return !h.restored.Load() && now.Sub(h.began) < disp.KeepOutcomes
}

// restoreBook asks the other hosts for all that they know of exclusive requests, so that each one is
// known to two hosts again. It reports whether all of them have answered.
func (h *Host) restoreBook(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	isWhole := true
	for _, answer := range askAll[[]disp.Note](ctx, h, "book", struct{}{}) {
		if answer.err != nil {
			isWhole = false
			continue
		}
		h.book.Import(time.Now(), answer.value)
	}
	return isWhole
}

// handOverBook gives all that this host knows of exclusive requests to another one.
func (h *Host) handOverBook(ctx context.Context) {
	for _, host := range h.witnesses(h.settings.Name) {
		if _, err := peer.Call[bool](ctx, h.hub, host, "inherit", h.book.ExportAll()); err == nil {
			return
		}
	}
}

// hasTrace reports whether an exclusive request may have been started by way of another host.
func (h *Host) hasTrace(p *parsed) bool {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	for _, answer := range askAll[traceReply](ctx, h, "trace", traceArgs{Service: p.Service, ID: p.ID}) {
		if answer.err != nil || answer.value.Known {
			return true
		}
	}
	_, known := h.book.Find(p.Service, p.ID)
	return known
}

// Find asks all other hosts about one request.
func (h *Host) Find(ctx context.Context, service, id string) disp.History {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	history := disp.History{Answered: make(map[string]bool)}
	for _, answer := range askAll[traceReply](ctx, h, "trace", traceArgs{Service: service, ID: id}) {
		if answer.err != nil {
			history.Missing++
			continue
		}
		history.Answered[answer.host] = true
		if answer.value.Young {
			history.Missing++
		}
		if answer.value.Known {
			history.Notes = append(history.Notes, answer.value.Note)
		}
	}
	history.ZoneMissing = h.missesZone(history.Answered)
	return history
}

// missesZone reports whether no host of some zone has answered.
func (h *Host) missesZone(answered map[string]bool) bool {
	heard := map[string]bool{h.settings.Zone: true}
	for host := range answered {
		heard[h.zones[host]] = true
	}
	for _, zone := range h.zones {
		if !heard[zone] {
			return true
		}
	}
	return false
}

// answer is what one host has said.
type answer[R any] struct {
	host  string
	value R
	err   error
}

// askAll calls all other hosts at once.
func askAll[R any](ctx context.Context, h *Host, method string, args any) []answer[R] {
	return ask[R](ctx, h, h.hub.Hosts(), method, args)
}

// Lost tells the leader of a silent upstream.
func (h *Host) Lost(ctx context.Context, upstream string, epoch uint64) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	h.line.Add(time.Now(), "upstream-silent", upstream, "")
	_ = h.client.ReportLost(ctx, lostReport(upstream, epoch))
}

// Released tells the leader of slots that can be handed over.
func (h *Host) Released(ctx context.Context, service string, slots map[int]uint64) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_ = h.client.ReportReleased(ctx, releasedSlots(service, slots))
}

// serveHosts answers the calls of other hosts' entry side and dispatchers.
func (h *Host) serveHosts() {
	peer.On(h.hub, "detour", h.serveDetour)
	peer.On(h.hub, "zone", h.zoneLease.serveZone)
	peer.On(h.hub, "start", func(_ context.Context, _ string, args startArgs) (bool, error) {
		if err := h.attempts.start(args.Token); err != nil {
			return false, err
		}
		h.book.Witness(time.Now(), args.Note)
		return true, nil
	})
	peer.On(h.hub, "witness", func(_ context.Context, _ string, note disp.Note) (bool, error) {
		h.book.Witness(time.Now(), note)
		return true, nil
	})
	peer.On(h.hub, "history", func(_ context.Context, _ string, args historyArgs) (historyReply, error) {
		h.disps.Retire(args.Upstream, args.Epoch)
		notes := h.book.Export(args.Service, args.Slots)
		return historyReply{Notes: notes, Young: h.isYoung(time.Now())}, nil
	})
	peer.On(h.hub, "book", func(context.Context, string, struct{}) ([]disp.Note, error) {
		return h.book.ExportAll(), nil
	})
	peer.On(h.hub, "inherit", func(_ context.Context, _ string, notes []disp.Note) (bool, error) {
		h.book.Import(time.Now(), notes)
		return true, nil
	})
	peer.On(h.hub, "trace", func(_ context.Context, _ string, args traceArgs) (traceReply, error) {
		note, known := h.book.Find(args.Service, args.ID)
		return traceReply{Known: known, Young: h.isYoung(time.Now()), Note: note}, nil
	})
}
