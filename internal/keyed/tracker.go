package keyed

import (
	"time"

	"lovagelink.example/lovagelink/internal/realm"
)

// Terms are the durations that govern grants.
type Terms struct {
	TTL           time.Duration // how long a grant is valid, counted from the arrival of the call at the upstream
	RenewInterval time.Duration // time between two renewals of a grant
	CallTimeout   time.Duration // timeout of a grant call; its connection is then reset
}

// Upstream clocks may run up to 2 % slow, according to the platform's documentation. delayMargin covers network and
// scheduling delays.
const (
	maxClockDrift = 0.02
	delayMargin   = 150 * time.Millisecond
)

// maxGrantAge is the longest time, by this host's clock, that a grant may be in force after its arrival.
func (t Terms) maxGrantAge() time.Duration {
	return t.TTL + time.Duration(float64(t.TTL)*maxClockDrift) + delayMargin
}

// GrantTracker tracks, for one tenure of a leader, until when the grants of each upstream instance may be in force.
type GrantTracker struct {
	terms         Terms
	tenureStart   time.Time
	initialOwners map[string]bool // ids of the upstreams that owned keys when the tenure started
	records       map[realm.Instance]*grantRecord
}

// grantRecord is the state of the grants that were sent to one instance of an upstream.
type grantRecord struct {
	pending       int          // calls in flight, whose outcome is not known yet
	ackedAt       time.Time    // when a grant was last acknowledged; the call had arrived by then
	unknownAt     time.Time    // when a call last timed out; it may have arrived until then, and may be applied later
	failingSince  time.Time    // when grants began to fail, zero if the last grant was acknowledged
	failedAt      time.Time    // when a call last timed out, was refused or could not be sent
	isUnreachable bool         // the last call failed for want of a connection, so nothing was sent
	predecessor   *grantRecord // of the previous instance at this id or address, whose grants may still reach this one
}

// NewGrantTracker returns a tracker for the tenure that starts now. The previous leader may have sent grants to the
// owners of keys until this tenure started, and these grants may arrive until its calls time out.
func NewGrantTracker(now time.Time, terms Terms, owners []realm.Instance) *GrantTracker {
	t := &GrantTracker{terms: terms, tenureStart: now, initialOwners: make(map[string]bool), records: make(map[realm.Instance]*grantRecord)}
	for _, instance := range owners {
		t.initialOwners[instance.ID] = true
	}
	return t
}

func (t *GrantTracker) recordOf(instance realm.Instance) *grantRecord {
	r := t.records[instance]
	if r == nil {
		r = &grantRecord{}
		t.records[instance] = r
	}
	return r
}

// RecordSuccessor records that an instance has the id or the address of a previous one: a grant that was sent to the
// previous instance may reach its successor, which may accept the keys.
func (t *GrantTracker) RecordSuccessor(instance, previous realm.Instance) {
	r := t.recordOf(instance)
	if r != t.recordOf(previous) && r.predecessor == nil {
		r.predecessor = t.recordOf(previous)
	}
}

// RecordPending records that a grant is about to be sent.
func (t *GrantTracker) RecordPending(instance realm.Instance) {
	t.recordOf(instance).pending++
}

// CancelPending undoes RecordPending for a grant that was not sent after all.
func (t *GrantTracker) CancelPending(instance realm.Instance) {
	t.recordOf(instance).pending--
}

// RecordAck records that the upstream acknowledged a grant.
func (t *GrantTracker) RecordAck(now time.Time, instance realm.Instance) {
	r := t.recordOf(instance)
	r.pending--
	r.ackedAt = now
	r.failingSince, r.isUnreachable = time.Time{}, false
}

// RecordUnknown records that a grant got no reply, so that its outcome is unknown.
func (t *GrantTracker) RecordUnknown(now time.Time, instance realm.Instance) {
	r := t.recordOf(instance)
	r.unknownAt = now
	t.recordFailure(now, r)
}

// RecordRefusal records that a grant was refused, for example by another process that now has the address.
func (t *GrantTracker) RecordRefusal(now time.Time, instance realm.Instance) {
	t.recordFailure(now, t.recordOf(instance))
}

// RecordUnreachable records that a grant could not be sent.
func (t *GrantTracker) RecordUnreachable(now time.Time, instance realm.Instance) {
	r := t.recordOf(instance)
	t.recordFailure(now, r)
	r.isUnreachable = true
}

func (t *GrantTracker) recordFailure(now time.Time, r *grantRecord) {
	r.pending--
	r.failedAt, r.isUnreachable = now, false
	if r.failingSince.IsZero() {
		r.failingSince = now
	}
}

// FailingFor returns for how long the grants to an instance have failed, 0 if the last one was acknowledged.
func (t *GrantTracker) FailingFor(now time.Time, instance realm.Instance) time.Duration {
	r := t.records[instance]
	if r == nil || r.failingSince.IsZero() {
		return 0
	}
	return now.Sub(r.failingSince)
}

// GrantsExpired reports whether no grant to an instance, sent by this leader or a previous one, can still be in force.
func (t *GrantTracker) GrantsExpired(now time.Time, instance realm.Instance) bool {
	r := t.recordOf(instance)
	latest := t.inheritedUntil(instance)
	if r.ackedAt.After(latest) {
		latest = r.ackedAt
	}
	return t.hasExpired(now, latest) && t.noneOutstanding(now, r)
}

// ReleaseIsSafe reports whether keys that an instance has released can be assigned to another owner. An acknowledged
// release ends all grants that have been applied, but a grant that was not acknowledged may be applied after the
// release.
func (t *GrantTracker) ReleaseIsSafe(now time.Time, instance realm.Instance) bool {
	r := t.recordOf(instance)
	return t.hasExpired(now, t.inheritedUntil(instance)) && t.noneOutstanding(now, r)
}

// ReleaseIsImmediate reports whether keys that an instance releases can be reassigned as soon as the release is
// acknowledged, except for a grant call in flight.
func (t *GrantTracker) ReleaseIsImmediate(now time.Time, instance realm.Instance) bool {
	if !t.hasExpired(now, t.inheritedUntil(instance)) {
		return false
	}
	for r := t.recordOf(instance); r != nil; r = r.predecessor {
		if !t.hasExpired(now, r.unknownAt) {
			return false
		}
	}
	return true
}

// noneOutstanding reports whether no unacknowledged grant to an instance or its predecessors can still take effect.
func (t *GrantTracker) noneOutstanding(now time.Time, r *grantRecord) bool {
	for ; r != nil; r = r.predecessor {
		if r.pending > 0 || !t.hasExpired(now, r.unknownAt) {
			return false
		}
	}
	return true
}

// inheritedUntil is the latest time at which a grant of a previous leader may have arrived, zero if there was none.
func (t *GrantTracker) inheritedUntil(instance realm.Instance) time.Time {
	if !t.initialOwners[instance.ID] {
		return time.Time{}
	}
	return t.tenureStart.Add(t.terms.CallTimeout)
}

// hasExpired reports whether a grant that arrived at the given time is no longer in force; a zero time means none.
func (t *GrantTracker) hasExpired(now, arrived time.Time) bool {
	return arrived.IsZero() || now.Sub(arrived) >= t.terms.maxGrantAge()
}

// An upstream that acknowledges no grants is unresponsive after a few calls. Leaders then stop renewing its grants, so
// that they expire. While its heartbeats still arrive, the longer timeout applies.
const (
	failureTimeout      = 1500 * time.Millisecond
	failureTimeoutAlive = 3 * time.Second
)

// ShouldGrant reports whether to keep sending grants to an instance whose last heartbeat was received at lastHeartbeat.
// An unreachable instance is tried again each time: a grant that is not sent prolongs nothing.
func (t *GrantTracker) ShouldGrant(now time.Time, instance realm.Instance, lastHeartbeat time.Time) bool {
	r := t.records[instance]
	return r == nil || r.isUnreachable || !t.IsUnresponsive(now, instance, lastHeartbeat)
}

// IsUnresponsive reports whether an instance whose last heartbeat was received at lastHeartbeat has acknowledged no
// grants for so long that its keys are to be reassigned once its grants have expired.
func (t *GrantTracker) IsUnresponsive(now time.Time, instance realm.Instance, lastHeartbeat time.Time) bool {
	r := t.records[instance]
	if r == nil || r.failingSince.IsZero() {
		return false
	}
	failing := now.Sub(r.failingSince)
	if r.isUnreachable {
		return failing >= failureTimeoutAlive || failing >= failureTimeout && !lastHeartbeat.After(r.failingSince)
	}
	if t.hasExpired(now, r.failedAt) { // then an instance that has sent a heartbeat since is tried again
		return !lastHeartbeat.After(r.failedAt)
	}
	return failing >= failureTimeoutAlive || failing >= failureTimeout && !lastHeartbeat.After(r.failedAt)
}
