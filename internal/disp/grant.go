package disp

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"lovagelink.example/lovagelink/internal/upapi"
)

// Periods of granting.
const (
	GrantLease   = time.Second // by the upstream's clock
	grantPeriod  = 250 * time.Millisecond
	grantTimeout = 300 * time.Millisecond
	neverReached = 500 * time.Millisecond // after which an upstream that has not answered is lost
	clockMargin  = 50 * time.Millisecond
	reportPause  = 100 * time.Millisecond
)

// grantState is what the dispatcher knows of the grants at the upstream.
type grantState struct {
	since    time.Time      // when granting began
	acked    time.Time      // when the last answer came
	sent     time.Time      // when the last confirmed grant was sent
	ends     time.Time      // when every grant that was ever sent has ended
	period   time.Duration  // of the grant that was sent last
	until    time.Time      // until when the confirmed grant surely holds
	clock    time.Duration  // the upstream's clock as last told
	digest   uint64         // confirmed
	slots    map[int]uint64 // confirmed slots and their epochs
	draining bool
}

// covers reports whether the confirmed grant holds for a slot.
func (g *grantState) covers(now time.Time, s *share) bool {
	epoch, ok := g.slots[s.number]
	return ok && epoch == s.epoch && now.Before(g.until)
}

// grantLoop keeps the grants at the upstream in force, and ends when the upstream is lost.
func (d *Dispatcher) grantLoop() error {
	ctx := d.tomb.Context(context.Background())
	for d.tomb.Alive() {
		again := d.grantOnce(ctx)
		if d.isLost(time.Now()) {
			d.reportLost(ctx)
			return nil
		}
		d.reportReleased(ctx)
		if !again {
			d.restGrant(grantPeriod)
		}
	}
	return nil
}

func (d *Dispatcher) restGrant(period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.nudge:
	case <-d.tomb.Dying():
	}
}

// grantOnce sends one grant; it reports whether another one should follow at once.
func (d *Dispatcher) grantOnce(ctx context.Context) bool {
	now := time.Now()
	grant, ok := d.nextGrant(now)
	if !ok {
		return false
	}
	reply, err := d.put(ctx, grant)
	if err != nil {
		d.prober.CloseIdleConnections()
		d.client.CloseIdleConnections()
		d.missed = true
		return errors.Is(err, context.DeadlineExceeded)
	}
	if d.missed {
		d.missed = false
		d.distrust()
	}
	return d.confirm(now, time.Now(), grant, reply)
}

// distrust ends the requests on older connections after a while: the upstream has missed a grant on
// its old connection and answers on a new one, so the old ones may have gone silent.
func (d *Dispatcher) distrust() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspect.fire()
	d.suspect = newSignal()
}

// nextGrant builds the grant that is due. It ends with the lease of this host at the latest.
func (d *Dispatcher) nextGrant(now time.Time) (upapi.Grant, bool) {
	lease := d.Lease.LeaseUntil()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !now.Before(lease) {
		d.grant.since = now // silence counts only while grants are sent
		d.grant.acked = time.Time{}
		return upapi.Grant{}, false
	}
	slots := d.grantable()
	grant := upapi.Grant{DispatcherEpoch: d.epoch, Host: d.Host, Digest: upapi.Digest(slots)}
	if grant.Digest != d.grant.digest {
		grant.Slots = slots
	}
	if !d.grant.acked.IsZero() {
		d.grant.period = min(GrantLease, lease.Sub(d.grant.acked))
		grant.Expiry = d.grant.clock + d.grant.period
		d.grant.ends = d.grant.acked.Add(GrantLease)
	}
	return grant, true
}

// grantable lists the slots that the upstream may hold: all but those that are handed over.
func (d *Dispatcher) grantable() []upapi.SlotGrant {
	slots := []upapi.SlotGrant{}
	for number, s := range d.shares {
		if !s.moving || s.active > 0 {
			slots = append(slots, upapi.SlotGrant{Slot: number, Epoch: s.epoch})
		}
	}
	slices.SortFunc(slots, func(a, b upapi.SlotGrant) int { return cmp.Compare(a.Slot, b.Slot) })
	return slots
}

// confirm takes in the upstream's answer.
func (d *Dispatcher) confirm(sent, now time.Time, grant upapi.Grant, reply upapi.GrantReply) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if reply.DispatcherEpoch > d.epoch {
		d.closeLocked()
		return false
	}
	if reply.Incarnation != d.upstream.Incarnation {
		d.grant.since = time.Time{} // the process that was granted anything is gone
		d.grant.acked = time.Time{}
		d.grant.ends = time.Time{}
		return false
	}
	isFirst := d.grant.acked.IsZero()
	previous := d.grant.sent
	d.grant.acked = now
	d.grant.sent = sent
	d.grant.clock = reply.Clock
	d.grant.draining = reply.Draining
	if reply.NeedSlots || !reply.Accepted {
		d.grant.digest = 0
		return true
	}
	if isFirst || grant.Expiry == 0 {
		return true
	}
	d.grant.until = previous.Add(d.grant.period)
	if grant.Slots != nil {
		d.noteSlots(grant)
	}
	return false
}

// noteSlots records which slots the upstream has confirmed.
func (d *Dispatcher) noteSlots(grant upapi.Grant) {
	d.grant.digest = grant.Digest
	d.grant.slots = make(map[int]uint64)
	for _, slot := range grant.Slots {
		d.grant.slots[slot.Slot] = slot.Epoch
	}
}

func (d *Dispatcher) put(ctx context.Context, grant upapi.Grant) (upapi.GrantReply, error) {
	var reply upapi.GrantReply
	data, err := json.Marshal(grant)
	if err != nil {
		return reply, err
	}
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	url := "http://" + d.upstream.Address.String() + upapi.GrantPath
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		return reply, err
	}
	request.Header.Set("User-Agent", "") // keeps the library from sending its own with each grant
	response, _, err := d.prober.Do(request)
	if err != nil {
		return reply, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return reply, fmt.Errorf("grant was answered by status %d", response.StatusCode)
	}
	return reply, json.NewDecoder(response.Body).Decode(&reply)
}

// isLost reports whether the upstream has been silent for so long that all its grants have ended.
func (d *Dispatcher) isLost(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	if d.grant.acked.IsZero() {
		return now.Sub(d.grant.since) > neverReached && now.After(d.grant.ends)
	}
	return now.Sub(d.grant.acked) > GrantLease+clockMargin
}

// reportLost gives all work back and tells the leader until it has taken the slots away.
func (d *Dispatcher) reportLost(ctx context.Context) {
	d.close()
	d.lost.fire()
	for d.tomb.Alive() {
		if time.Now().Before(d.Lease.LeaseUntil()) {
			d.Control.ReportLost(ctx, d.upstream.ID, d.epoch)
		}
		d.restGrant(reportPause)
	}
}

// reportReleased tells the leader of slots that are at rest and no longer granted.
func (d *Dispatcher) reportReleased(ctx context.Context) {
	released := make(map[int]uint64)
	d.mu.Lock()
	for number, s := range d.shares {
		_, granted := d.grant.slots[number]
		if s.moving && s.active == 0 && !granted && !d.closed {
			released[number] = s.epoch
		}
	}
	d.mu.Unlock()
	if len(released) > 0 {
		d.Control.ReportReleased(ctx, d.upstream.Service, released)
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
