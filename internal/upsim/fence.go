package upsim

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"lovagelink.example/lovagelink/internal/upapi"
)

// fence is what the upstream has been granted.
type fence struct {
	dispatch uint64
	until    time.Duration
	digest   uint64
	slots    map[int]uint64
}

// accept takes a grant in unless a higher dispatcher has been heard.
func (f *fence) accept(grant upapi.Grant) (accepted, needSlots bool) {
	if grant.DispatcherEpoch < f.dispatch {
		return false, false
	}
	if grant.DispatcherEpoch > f.dispatch {
		*f = fence{dispatch: grant.DispatcherEpoch}
	}
	if grant.Slots != nil {
		f.slots = make(map[int]uint64, len(grant.Slots))
		for _, slot := range grant.Slots {
			f.slots[slot.Slot] = slot.Epoch
		}
		f.digest = grant.Digest
	}
	if f.slots == nil || f.digest != grant.Digest {
		return false, true
	}
	f.until = max(f.until, grant.Expiry)
	return true, false
}

// allows reports whether work of a slot may run at this time.
func (f *fence) allows(clock time.Duration, dispatch uint64, slot int, epoch uint64) bool {
	granted, ok := f.slots[slot]
	return ok && granted == epoch && dispatch == f.dispatch && clock < f.until
}

// held lists the slots of a grant that is in force.
func (f *fence) held(clock time.Duration) []int {
	if clock >= f.until {
		return nil
	}
	return slices.Collect(maps.Keys(f.slots))
}

// serveGrant answers a dispatcher's grant with the upstream's clock.
func (u *Upstream) serveGrant(w http.ResponseWriter, request *http.Request) {
	u.gate()
	var grant upapi.Grant
	if err := json.NewDecoder(request.Body).Decode(&grant); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.gate()
	now := time.Now()
	u.mu.Lock()
	accepted, needSlots := u.fence.accept(grant)
	reply := upapi.GrantReply{
		Accepted: accepted, NeedSlots: needSlots, DispatcherEpoch: u.fence.dispatch,
		Incarnation: u.incarnation, Clock: u.clock(now), Draining: u.draining,
	}
	u.mu.Unlock()
	_ = json.NewEncoder(w).Encode(reply)
}
