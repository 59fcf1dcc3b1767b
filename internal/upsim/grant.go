package upsim

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"lovagelink.example/lovagelink/internal/upapi"
)

// grantState is the highest dispatcher epoch that the upstream has received, and the latest grant accepted under it.
type grantState struct {
	dispatcherEpoch uint64
	expiry          time.Duration
	digest          uint64
	slots           map[int]uint64 // fencing epochs by slot
}

// accept applies a grant unless a dispatcher with a higher epoch has sent one before. The first grant under a higher
// epoch discards the slots granted before. needSlots reports that the grant's digest does not match the slots held
// here, so that the dispatcher must send the full list.
func (g *grantState) accept(grant upapi.Grant) (accepted, needSlots bool) {
	if grant.DispatcherEpoch < g.dispatcherEpoch {
		return false, false
	}
	if grant.DispatcherEpoch > g.dispatcherEpoch {
		*g = grantState{dispatcherEpoch: grant.DispatcherEpoch}
	}
	if grant.Slots != nil {
		g.slots = make(map[int]uint64, len(grant.Slots))
		for _, slot := range grant.Slots {
			g.slots[slot.Slot] = slot.Epoch
		}
		g.digest = grant.Digest
	}
	if g.slots == nil || g.digest != grant.Digest {
		return false, true
	}
	g.expiry = max(g.expiry, grant.Expiry)
	return true, false
}

// allows reports whether a request for a slot may run at this time: the slot is granted under this epoch by this
// dispatcher, and the grant has not expired.
func (g *grantState) allows(clock time.Duration, dispatcherEpoch uint64, slot int, epoch uint64) bool {
	grantedEpoch, ok := g.slots[slot]
	return ok && grantedEpoch == epoch && dispatcherEpoch == g.dispatcherEpoch && clock < g.expiry
}

// activeSlots returns the granted slots, or none after the grant has expired.
func (g *grantState) activeSlots(clock time.Duration) []int {
	if clock >= g.expiry {
		return nil
	}
	return slices.Collect(maps.Keys(g.slots))
}

// serveGrant handles a dispatcher's grant; the reply carries the upstream's clock, from which the dispatcher computes
// the next expiry.
func (u *Upstream) serveGrant(w http.ResponseWriter, request *http.Request) {
	u.waitWhileFrozen()
	var grant upapi.Grant
	if err := json.NewDecoder(request.Body).Decode(&grant); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.waitWhileFrozen()
	now := time.Now()
	u.mu.Lock()
	accepted, needSlots := u.granted.accept(grant)
	reply := upapi.GrantReply{
		Accepted: accepted, NeedSlots: needSlots, DispatcherEpoch: u.granted.dispatcherEpoch,
		Incarnation: u.incarnation, Clock: u.clock(now), Draining: u.draining,
	}
	u.mu.Unlock()
	_ = json.NewEncoder(w).Encode(reply)
}
