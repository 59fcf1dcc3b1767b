package keyed

import (
	"time"

	"lovagelink.example/lovagelink/internal/realm"
)

// Terms are the periods of grants.
type Terms struct {
	TTL           time.Duration // length of a grant, from the arrival of the call
	RenewInterval time.Duration // between two renewals
	CallTimeout   time.Duration // after which a call is given up and its connection reset
}

// Clocks of upstreams may run 2 % slow (from the platform's pages); what a packet may still take to arrive, or a thread
// to be run, comes on top.
const (
	slowClock = 0.02
	margin    = 150 * time.Millisecond
)

// term is the longest time that a grant may last after it has arrived.
func (t Terms) term() time.Duration {
	return t.TTL + time.Duration(float64(t.TTL)*slowClock) + margin
}

// GrantTracker is the record of one leadership: until when each upstream may hold what it has been granted.
type GrantTracker struct {
	terms Terms
	began time.Time
	heirs map[string]bool // ids of upstreams that owned keys when the leadership began
	lives map[realm.Instance]*record
}

// record is what was sent to one life of an upstream.
type record struct {
	pending    int       // calls without an outcome yet
	answered   time.Time // when an answer last came; the call had arrived by then
	unanswered time.Time // when a call was last given up; it may have arrived until then, and may be carried out late
	failing    time.Time // since when no call was taken, zero if the last one was
	trouble    time.Time // when a call was last given up, refused or could not be sent
	unreached  bool      // the last trouble was that there was no connection, so nothing was sent
	before     *record   // of the life that was at its place before, whose grants may still reach it
}

// NewGrantTracker opens the record of a leadership. A former leader may have sent grants to those that owned keys until it lost
// the leadership, and they may have arrived until its calls were given up.
func NewGrantTracker(now time.Time, terms Terms, owners []realm.Instance) *GrantTracker {
	b := &GrantTracker{terms: terms, began: now, heirs: make(map[string]bool), lives: make(map[realm.Instance]*record)}
	for _, life := range owners {
		b.heirs[life.ID] = true
	}
	return b
}

func (b *GrantTracker) record(life realm.Instance) *record {
	r := b.lives[life]
	if r == nil {
		r = &record{}
		b.lives[life] = r
	}
	return r
}

// RecordSuccessor notes that a life has begun at the place, by id or by address, of another one: a grant that was sent to the
// earlier one may reach it, and it may take the keys.
func (b *GrantTracker) RecordSuccessor(life, earlier realm.Instance) {
	r := b.record(life)
	if r != b.record(earlier) && r.before == nil {
		r.before = b.record(earlier)
	}
}

// RecordPending notes that a grant is on its way.
func (b *GrantTracker) RecordPending(life realm.Instance) {
	b.record(life).pending++
}

// CancelPending notes that a grant that was on its way was not sent after all.
func (b *GrantTracker) CancelPending(life realm.Instance) {
	b.record(life).pending--
}

// RecordAck notes the answer to a grant.
func (b *GrantTracker) RecordAck(now time.Time, life realm.Instance) {
	r := b.record(life)
	r.pending--
	r.answered = now
	r.failing, r.unreached = time.Time{}, false
}

// RecordUnknown notes that a grant was given up.
func (b *GrantTracker) RecordUnknown(now time.Time, life realm.Instance) {
	r := b.record(life)
	r.unanswered = now
	b.fail(now, r)
}

// RecordRefusal notes that a grant was answered and not taken, as by a process that has the address of another one.
func (b *GrantTracker) RecordRefusal(now time.Time, life realm.Instance) {
	b.fail(now, b.record(life))
}

// RecordUnreachable notes that a grant could not be sent.
func (b *GrantTracker) RecordUnreachable(now time.Time, life realm.Instance) {
	r := b.record(life)
	b.fail(now, r)
	r.unreached = true
}

func (b *GrantTracker) fail(now time.Time, r *record) {
	r.pending--
	r.trouble, r.unreached = now, false
	if r.failing.IsZero() {
		r.failing = now
	}
}

// FailingFor returns for how long no grant to an upstream has been taken.
func (b *GrantTracker) FailingFor(now time.Time, life realm.Instance) time.Duration {
	r := b.lives[life]
	if r == nil || r.failing.IsZero() {
		return 0
	}
	return now.Sub(r.failing)
}

// GrantsExpired reports whether no grant to a life can be in force any more, sent by this leader or a former one.
func (b *GrantTracker) GrantsExpired(now time.Time, life realm.Instance) bool {
	r := b.record(life)
	latest := b.inherited(life)
	if r.answered.After(latest) {
		latest = r.answered
	}
	return b.isOver(now, latest) && b.isSettled(now, r)
}

// ReleaseIsSafe reports whether keys that a life has released can go to another one. An answered release ends
// all grants that have been carried out, yet one that was not answered may be carried out after it.
func (b *GrantTracker) ReleaseIsSafe(now time.Time, life realm.Instance) bool {
	r := b.record(life)
	return b.isOver(now, b.inherited(life)) && b.isSettled(now, r)
}

// ReleaseIsImmediate reports whether keys that a life releases are free as soon as that is answered, but for a call under way.
func (b *GrantTracker) ReleaseIsImmediate(now time.Time, life realm.Instance) bool {
	if !b.isOver(now, b.inherited(life)) {
		return false
	}
	for r := b.record(life); r != nil; r = r.before {
		if !b.isOver(now, r.unanswered) {
			return false
		}
	}
	return true
}

// isSettled reports whether no call without an answer, to a life or to one before it at its place, can still take effect.
func (b *GrantTracker) isSettled(now time.Time, r *record) bool {
	for ; r != nil; r = r.before {
		if r.pending > 0 || !b.isOver(now, r.unanswered) {
			return false
		}
	}
	return true
}

// inherited is the latest moment at which a grant of a former leader may have arrived, zero if there was none.
func (b *GrantTracker) inherited(life realm.Instance) time.Time {
	if !b.heirs[life.ID] {
		return time.Time{}
	}
	return b.began.Add(b.terms.CallTimeout)
}

func (b *GrantTracker) isOver(now, arrived time.Time) bool {
	return arrived.IsZero() || now.Sub(arrived) >= b.terms.term()
}

// Patience with an upstream that answers no grants: it is given up after a few calls, so that its grants end, or somewhat
// later if its heartbeats still come.
const (
	patience      = 1500 * time.Millisecond
	patienceHeard = 3 * time.Second
)

// ShouldGrant reports whether grants are still to be sent to a life whose last heartbeat came at heard. Trying to reach
// one is of no harm: what is not sent prolongs nothing.
func (b *GrantTracker) ShouldGrant(now time.Time, life realm.Instance, heard time.Time) bool {
	r := b.lives[life]
	return r == nil || r.unreached || !b.IsUnresponsive(now, life, heard)
}

// IsUnresponsive reports whether a life whose last heartbeat came at heard has taken no grants for so long that its keys are
// to go to others once its grants have ended.
func (b *GrantTracker) IsUnresponsive(now time.Time, life realm.Instance, heard time.Time) bool {
	r := b.lives[life]
	if r == nil || r.failing.IsZero() {
		return false
	}
	failing := now.Sub(r.failing)
	if r.unreached {
		return failing >= patienceHeard || failing >= patience && !heard.After(r.failing)
	}
	if b.isOver(now, r.trouble) {
		return !heard.After(r.trouble)
	}
	return failing >= patienceHeard || failing >= patience && !heard.After(r.trouble)
}
