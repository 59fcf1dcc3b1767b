package core

import (
	"context"
	"slices"
	"time"

	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/realm"
)

// feature is what control hosts of earlier releases don't understand in the log. Its value is the method with which a host
// says that it does; a host of an earlier release has no such method.
type feature string

const (
	packedConfigs feature = "understands-packed"     // compressed configurations
	keptOwners    feature = "understands-withdrawal" // services that are no longer divided by key keep their owners for a while
)

var features = []feature{packedConfigs, keptOwners}

// newFeatures returns what hosts are known to understand when only this one is known.
func newFeatures(self string) map[feature]map[string]bool {
	understood := make(map[feature]map[string]bool)
	for _, f := range features {
		understood[f] = map[string]bool{self: true}
	}
	return understood
}

// offerFeatures makes this host say to others what it understands.
func offerFeatures(endpoint *peer.Endpoint) {
	for _, f := range features {
		peer.HandleTyped(endpoint, string(f), func(context.Context, string, struct{}) (bool, error) { return true, nil })
	}
}

// allUnderstand reports whether all members of the log are known to understand a feature.
func (h *Host) allUnderstand(now time.Time, f feature) bool {
	names := h.memberNames(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(names) > 0 && !slices.ContainsFunc(names, func(name string) bool { return !h.understood[f][name] })
}

// keepsOwners reports whether all members of the log keep the owners of services that a configuration takes away. The log
// records it once all have said so, since a host that has just started to lead knows it of none of the others.
func (h *Host) keepsOwners(now time.Time) bool {
	isRecorded := false
	h.Read(func(s *realm.State) { isRecorded = s.KeepsOwners })
	return isRecorded || h.allUnderstand(now, keptOwners)
}

// learnFeatures asks a control host what it understands, until it has said so.
func (h *Host) learnFeatures(ctx context.Context, name string) {
	for _, f := range features {
		h.mu.Lock()
		known := h.understood[f][name]
		h.mu.Unlock()
		if known {
			continue
		}
		understands, err := callWithTimeout[bool](ctx, h, name, string(f), struct{}{})
		if err != nil || !understands {
			return // asked again in the next round
		}
		h.mu.Lock()
		h.understood[f][name] = true
		h.mu.Unlock()
	}
}
