package core

import (
	"context"
	"slices"
	"time"
)

// handleUnderstandsPacked tells another host that this one understands compressed configurations in the log. A host of
// an earlier release has no such method.
func (h *Host) handleUnderstandsPacked(context.Context, string, struct{}) (bool, error) {
	return true, nil
}

// allUnderstandPacked reports whether all members of the log are known to understand compressed configurations.
func (h *Host) allUnderstandPacked(now time.Time) bool {
	names := h.memberNames(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(names) > 0 && !slices.ContainsFunc(names, func(name string) bool { return !h.packsConfigs[name] })
}

// learnPacked asks a control host whether it understands compressed configurations, until it has said so.
func (h *Host) learnPacked(ctx context.Context, name string) {
	h.mu.Lock()
	known := h.packsConfigs[name]
	h.mu.Unlock()
	if known {
		return
	}
	understands, err := callWithTimeout[bool](ctx, h, name, "understands-packed", struct{}{})
	if err != nil || !understands {
		return // asked again in the next round
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.packsConfigs[name] = true
}
