package core

import (
	"context"
	"time"

	"lovagelink.example/lovagelink/internal/pause"
	"lovagelink.example/lovagelink/internal/realm"
)

// Heartbeats: those that a host has heard are passed on to the leader together.
const (
	passGap     = 300 * time.Millisecond
	lostBeats   = 3 // heartbeats missed before an upstream counts as lost
	lostSlack   = time.Second
	forgetAfter = 30 * time.Second // after an upstream has gone; late heartbeats of it may come until then
)

// hearing is when each life of an upstream was last heard of.
type hearing struct {
	last     map[realm.Instance]time.Time
	sequence map[realm.Instance]int64
	unsent   map[realm.Instance]bool // heard since the leader was last told
}

func newHearing() *hearing {
	return &hearing{
		last: make(map[realm.Instance]time.Time), sequence: make(map[realm.Instance]int64), unsent: make(map[realm.Instance]bool),
	}
}

// note takes in a heartbeat; it reports false for one that was overtaken by a later one.
func (g *hearing) note(now time.Time, life realm.Instance, sequence int64) bool {
	if sequence < g.sequence[life] {
		return false
	}
	g.sequence[life] = sequence
	g.last[life] = now
	g.unsent[life] = true
	return true
}

// Heartbeat takes in what an upstream says of itself. A word that it leaves is acknowledged only once the log holds it, so
// that every leader to come and every host that follows one knows it.
func (h *Host) Heartbeat(ctx context.Context, now time.Time, upstream realm.Upstream, sequence int64) error {
	if !h.inTouch(now) {
		return ErrUnavailable
	}
	if !h.mayRegister(upstream) {
		_ = h.logger.Log("event", "heartbeat", "upstream", upstream.ID, "born", upstream.StartMillis, "outcome", "ignored",
			"reason", "no configuration names its service", "service", upstream.Service)
		return nil // registered with a later heartbeat if its service comes to be
	}
	h.mu.Lock()
	isNewest := h.hearing.note(now, upstream.Instance, sequence)
	h.mu.Unlock()
	if !isNewest {
		return nil
	}
	var known *realm.Upstream
	h.Read(func(s *realm.State) {
		if u := s.Upstreams[upstream.ID]; u != nil {
			copied := *u
			known = &copied
		}
	})
	switch {
	case known != nil && upstream.StartMillis < known.StartMillis:
		_ = h.logger.Log("event", "heartbeat", "upstream", upstream.ID, "born", upstream.StartMillis, "outcome", "ignored",
			"reason", "a later life is registered", "later", known.StartMillis)
		return nil
	case known == nil || upstream.StartMillis > known.StartMillis || known.Phase == realm.Lost && upstream.Phase == realm.Ready:
		_ = h.logger.Log("event", "upstream-joins", "upstream", upstream.ID, "born", upstream.StartMillis, "service", upstream.Service,
			"address", upstream.Address, "phase", upstream.Phase)
		return h.order(ctx, realm.Command{Join: []realm.Upstream{upstream}})
	case upstream.Phase == realm.Draining && known.Phase != realm.Draining && known.Phase != realm.Gone:
		_ = h.logger.Log("event", "upstream-drains", "upstream", upstream.ID, "born", upstream.StartMillis)
		return h.order(ctx, realm.Command{SetPhase: []realm.PhaseChange{{Instance: upstream.Instance, Phase: realm.Draining}}})
	}
	return nil
}

// mayRegister reports whether an upstream is registered, or the configuration names its service or is not known yet.
// What names another service may come from anybody, and must not take the place of an upstream at the address that it
// names.
func (h *Host) mayRegister(upstream realm.Upstream) (may bool) {
	h.Read(func(s *realm.State) {
		may = s.Upstreams[upstream.ID] != nil || s.Config == nil || s.Config.ServiceNamed(upstream.Service) != nil
	})
	return may
}

// Deregister takes in that an upstream is going.
func (h *Host) Deregister(ctx context.Context, now time.Time, id string) error {
	if !h.inTouch(now) {
		return ErrUnavailable
	}
	life, isUp := realm.Instance{ID: id}, false
	h.Read(func(s *realm.State) {
		if u := s.Upstreams[id]; u != nil {
			life, isUp = u.Instance, u.Phase != realm.Gone
		}
	})
	if !isUp {
		return nil
	}
	return h.order(ctx, realm.Command{SetPhase: []realm.PhaseChange{{Instance: life, Phase: realm.Gone}}})
}

// heardLately is what one host tells the leader of heartbeats.
type heardLately struct {
	Lives []realm.Instance `json:"lives"`
}

func (h *Host) handleHeard(_ context.Context, _ string, args heardLately) (bool, error) {
	h.hear(time.Now(), args.Lives...)
	return true, nil
}

// hear notes lives that another host has just heard.
func (h *Host) hear(now time.Time, lives ...realm.Instance) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, life := range lives {
		h.hearing.last[life] = now
	}
}

// passOn tells the leader which upstreams this host has heard.
func (h *Host) passOn() error {
	ctx := h.tomb.Context(context.Background())
	for h.tomb.Alive() {
		pause.For(ctx, passGap)
		leader := h.Status(time.Now()).Leader
		h.mu.Lock()
		var lives []realm.Instance
		for life := range h.hearing.unsent {
			lives = append(lives, life)
		}
		h.mu.Unlock()
		if leader == "" || len(lives) == 0 {
			continue
		}
		if leader != h.name {
			if _, err := callWithin[bool](ctx, h, leader, "heard", heardLately{Lives: lives}); err != nil {
				continue // told with the next round
			}
		}
		h.mu.Lock()
		for _, life := range lives {
			delete(h.hearing.unsent, life)
		}
		h.mu.Unlock()
	}
	return nil
}

// lastHeard returns when a life was last heard of, at the earliest since.
func (h *Host) lastHeard(life realm.Instance, since time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if last := h.hearing.last[life]; last.After(since) {
		return last
	}
	return since
}

// lostAfter is how long an upstream is silent before it counts as lost.
func (h *Host) lostAfter() time.Duration {
	return lostBeats*h.site.Bounds.HeartbeatInterval + lostSlack
}
