package disp

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"lovagelink.example/lovagelink/internal/upapi"
)

// Timing of grants.
const (
	GrantLease          = time.Second // TTL of a grant, by the upstream's clock
	grantInterval       = 250 * time.Millisecond
	grantTimeout        = 300 * time.Millisecond
	firstContactTimeout = 500 * time.Millisecond // an upstream that has not replied at all for this long is lost
	clockMargin         = 50 * time.Millisecond  // added to GrantLease before an unresponsive upstream counts as lost
	reportInterval      = 100 * time.Millisecond // between reports of a lost upstream to the leader
	maxReplyBytes       = 64 << 10               // of a reply to a grant; a faulty upstream may send one without end
)

// grantState is the state of the grants to the upstream. Times are by this host's clock.
type grantState struct {
	startedAt     time.Time      // when granting started, or was last held up by an expired lease
	ackedAt       time.Time      // when the last reply was received; zero before the first
	sentAt        time.Time      // when the last grant that got a reply was sent
	allExpiredAt  time.Time      // when all grants sent so far have expired
	ttl           time.Duration  // of the last grant sent, from the upstream's clock in its last reply
	validUntil    time.Time      // until when the confirmed grant is certain to be valid
	upstreamClock time.Duration  // the upstream's clock in its last reply
	digest        uint64         // digest of the confirmed slots
	slots         map[int]uint64 // confirmed slots and their epochs
	draining      bool
}

// covers reports whether the confirmed grant holds for a slot.
func (g *grantState) covers(now time.Time, s *ownedSlot) bool {
	epoch, ok := g.slots[s.number]
	return ok && epoch == s.epoch && now.Before(g.validUntil)
}

// grantLoop renews the grants to the upstream, and reports the upstream once it is lost.
func (d *Dispatcher) grantLoop() error {
	ctx := d.tomb.Context(context.Background())
	for d.tomb.Alive() {
		sendNext := d.grantOnce(ctx)
		if d.isLost(time.Now()) {
			d.reportLost(ctx)
			return nil
		}
		d.reportReleased(ctx)
		if !sendNext {
			d.pauseUntilWoken(grantInterval)
		}
	}
	return nil
}

func (d *Dispatcher) pauseUntilWoken(period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.wake:
	case <-d.tomb.Dying():
	}
}

// grantOnce sends a grant; it reports whether the next one should follow at once.
func (d *Dispatcher) grantOnce(ctx context.Context) bool {
	now := time.Now()
	grant, ok := d.nextGrant(now)
	if !ok {
		return false
	}
	reply, err := d.putGrant(ctx, grant)
	if err != nil {
		d.grantClient.CloseIdleConnections()
		d.client.CloseIdleConnections()
		d.missedGrant = true
		return errors.Is(err, context.DeadlineExceeded)
	}
	if d.missedGrant {
		d.missedGrant = false
		d.suspectOldConnections()
	}
	return d.confirm(now, time.Now(), grant, reply)
}

// suspectOldConnections cancels the requests on older connections after a delay. The upstream has missed a grant and
// replies on a new connection, so the older connections may have failed silently.
func (d *Dispatcher) suspectOldConnections() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.connsSuspect.fire()
	d.connsSuspect = newEventSignal()
}

// nextGrant returns the grant to send next, which expires no later than this host's lease. It returns false if the
// lease has expired.
func (d *Dispatcher) nextGrant(now time.Time) (upapi.Grant, bool) {
	lease := d.Lease.LeaseUntil()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !now.Before(lease) {
		d.grant.startedAt = now // a missing reply counts only while grants are sent
		d.grant.ackedAt = time.Time{}
		return upapi.Grant{}, false
	}
	slots := d.grantableSlots()
	grant := upapi.Grant{DispatcherEpoch: d.epoch, Host: d.Host, Digest: upapi.Digest(slots)}
	if grant.Digest != d.grant.digest {
		grant.Slots = slots
	}
	if !d.grant.ackedAt.IsZero() {
		d.grant.ttl = min(GrantLease, lease.Sub(d.grant.ackedAt))
		grant.Expiry = d.grant.upstreamClock + d.grant.ttl
		d.grant.allExpiredAt = d.grant.ackedAt.Add(GrantLease)
	}
	return grant, true
}

// grantableSlots returns the slots that the upstream may own: all except those that are being handed over and have no
// requests left.
func (d *Dispatcher) grantableSlots() []upapi.SlotGrant {
	slots := []upapi.SlotGrant{}
	for number, s := range d.slots {
		if !s.releasing || s.active > 0 {
			slots = append(slots, upapi.SlotGrant{Slot: number, Epoch: s.epoch})
		}
	}
	slices.SortFunc(slots, func(a, b upapi.SlotGrant) int { return cmp.Compare(a.Slot, b.Slot) })
	return slots
}

// confirm processes the upstream's reply; it reports whether the next grant should follow at once.
func (d *Dispatcher) confirm(sentAt, now time.Time, grant upapi.Grant, reply upapi.GrantReply) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if reply.DispatcherEpoch > d.epoch {
		d.closeLocked()
		return false
	}
	if reply.Incarnation != d.upstream.Incarnation {
		d.grant.startedAt = time.Time{} // the instance that had the grants is gone: the upstream counts as lost at once
		d.grant.ackedAt = time.Time{}
		d.grant.allExpiredAt = time.Time{}
		return false
	}
	isFirst := d.grant.ackedAt.IsZero()
	previousSentAt := d.grant.sentAt
	d.grant.ackedAt = now
	d.grant.sentAt = sentAt
	d.grant.upstreamClock = reply.Clock
	d.grant.draining = reply.Draining
	if reply.NeedSlots || !reply.Accepted {
		d.grant.digest = 0
		return true
	}
	if isFirst || grant.Expiry == 0 {
		return true
	}
	// The TTL counts from a clock reading that the upstream took after previousSentAt.
	d.grant.validUntil = previousSentAt.Add(d.grant.ttl)
	if grant.Slots != nil {
		d.recordConfirmedSlots(grant)
	}
	return false
}

// recordConfirmedSlots records the slots of a grant that the upstream has accepted.
func (d *Dispatcher) recordConfirmedSlots(grant upapi.Grant) {
	d.grant.digest = grant.Digest
	d.grant.slots = make(map[int]uint64)
	for _, slot := range grant.Slots {
		d.grant.slots[slot.Slot] = slot.Epoch
	}
}

func (d *Dispatcher) putGrant(ctx context.Context, grant upapi.Grant) (upapi.GrantReply, error) {
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
	request.Header.Set("User-Agent", "") // stops net/http from sending its own with each grant
	response, _, err := d.grantClient.Do(request)
	if err != nil {
		return reply, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return reply, fmt.Errorf("grant slots: upstream responded with status %d", response.StatusCode)
	}
	return reply, json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(&reply)
}

// isLost reports whether the upstream has not replied for so long that all its grants have expired.
func (d *Dispatcher) isLost(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	if d.grant.ackedAt.IsZero() {
		return now.Sub(d.grant.startedAt) > firstContactTimeout && now.After(d.grant.allExpiredAt)
	}
	return now.Sub(d.grant.ackedAt) > GrantLease+clockMargin
}

// reportLost closes the dispatcher, and reports the upstream as lost to the leader until the dispatcher is stopped.
func (d *Dispatcher) reportLost(ctx context.Context) {
	d.close()
	d.upstreamLost.fire()
	for d.tomb.Alive() {
		if time.Now().Before(d.Lease.LeaseUntil()) {
			d.Control.ReportLost(ctx, d.upstream.ID, d.epoch)
		}
		d.pauseUntilWoken(reportInterval)
	}
}

// reportReleased reports to the leader the slots that are being handed over, have no requests left and are no longer
// granted.
func (d *Dispatcher) reportReleased(ctx context.Context) {
	released := make(map[int]uint64)
	d.mu.Lock()
	for number, s := range d.slots {
		_, granted := d.grant.slots[number]
		if s.releasing && s.active == 0 && !granted && !d.closed {
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
