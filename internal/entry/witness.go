package entry

import (
	"context"
	"sync"
	"time"

	"lovagelink.example/lovagelink/internal/disp"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/pkg/place"
)

// witnessTimeout bounds how long a request waits for one host to note its start.
const witnessTimeout = 150 * time.Millisecond

// startArgs asks an entry host whether an attempt may be sent.
type startArgs struct {
	Token string    `json:"token"`
	Note  disp.Note `json:"note"`
}

// historyArgs asks for what a host knows of earlier requests.
type historyArgs struct {
	Service string `json:"service"`
	Slots   []int  `json:"slots"`
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

func noteOf(r disp.Request) disp.Note {
	return disp.Note{Service: r.Service, Slot: r.Slot, ID: r.ID, Print: r.Print}
}

// Start asks the entry host of a request before it is sent. With the dispatcher on the entry host
// itself, another host notes the start, so that no single loss hides it.
func (h witness) Start(ctx context.Context, r disp.Request) error {
	if r.Origin != h.settings.Name {
		_, err := peer.Call[bool](ctx, h.hub, r.Origin, "start", startArgs{Token: r.Token, Note: noteOf(r)})
		return err
	}
	if err := h.attempts.start(r.Token); err != nil {
		return err
	}
	for _, host := range h.witnesses(r.ID) {
		callCtx, cancel := context.WithTimeout(ctx, witnessTimeout)
		_, err := peer.Call[bool](callCtx, h.hub, host, "witness", noteOf(r))
		cancel()
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	return ctx.Err()
}

// Finished tells the host that has noted a start how the request ended.
func (h witness) Finished(r disp.Request, outcome disp.Outcome) {
	if r.Origin != h.settings.Name {
		return
	}
	for _, host := range h.witnesses(r.ID) {
		note := noteOf(r)
		note.Outcome = &outcome
		_ = h.hub.Notify(context.Background(), host, "witness", note)
		return
	}
}

// witnesses lists the linked hosts that may note the start of a request, the preferred one first.
func (h *Host) witnesses(id string) []string {
	var linked []string
	for _, host := range h.hub.Hosts() {
		if h.zones[host] == h.settings.Zone && h.hub.IsLinked(host) {
			linked = append(linked, host)
		}
	}
	if len(linked) == 0 {
		for _, host := range h.hub.Hosts() {
			if h.hub.IsLinked(host) {
				linked = append(linked, host)
			}
		}
	}
	return place.Rank(id, linked)
}

// noteOutcome keeps the outcome of an exclusive request that another host has dispatched.
func (h *Host) noteOutcome(r disp.Request, outcome disp.Outcome) {
	note := noteOf(r)
	note.Outcome = &outcome
	h.book.Witness(time.Now(), note)
}

// Collect asks all hosts that are up what they know of earlier requests of some slots.
func (h *Host) Collect(ctx context.Context, service string, slots []int) ([]disp.Note, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	args := historyArgs{Service: service, Slots: slots}
	answers := askAll[[]disp.Note](ctx, h, "history", args)
	var notes []disp.Note
	lost := 0
	for _, answer := range answers {
		if answer.err != nil {
			lost++
			continue
		}
		notes = append(notes, answer.value...)
	}
	return notes, lost <= 1 // each request is known to two hosts
}

// hasTrace reports whether an exclusive request may have been started by way of another host.
func (h *Host) hasTrace(p *parsed) bool {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	for _, answer := range askAll[bool](ctx, h, "trace", traceArgs{Service: p.Service, ID: p.ID}) {
		if answer.err != nil || answer.value {
			return true
		}
	}
	return h.book.Knows(p.Service, p.ID)
}

// answer is what one host has said.
type answer[R any] struct {
	value R
	err   error
}

// askAll calls all other hosts at once.
func askAll[R any](ctx context.Context, h *Host, method string, args any) []answer[R] {
	hosts := h.hub.Hosts()
	answers := make([]answer[R], len(hosts))
	var group sync.WaitGroup
	for i, host := range hosts {
		group.Go(func() {
			value, err := peer.Call[R](ctx, h.hub, host, method, args)
			answers[i] = answer[R]{value, err}
		})
	}
	group.Wait()
	return answers
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
	peer.On(h.hub, "run", func(ctx context.Context, _ string, r disp.Request) (disp.Outcome, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		h.running.add(r.Token, cancel)
		defer h.running.remove(r.Token)
		return h.disps.Run(ctx, r), nil
	})
	peer.On(h.hub, "cancel", func(_ context.Context, _ string, token string) (bool, error) {
		h.running.cancel(token)
		return true, nil
	})
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
	peer.On(h.hub, "history", func(_ context.Context, _ string, args historyArgs) ([]disp.Note, error) {
		return h.book.Export(args.Service, args.Slots), nil
	})
	peer.On(h.hub, "trace", func(_ context.Context, _ string, args traceArgs) (bool, error) {
		return h.book.Knows(args.Service, args.ID), nil
	})
}
