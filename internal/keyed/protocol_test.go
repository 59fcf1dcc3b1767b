package keyed

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/realm"
)

// grantModel models grants of one range of keys to a few upstreams: calls and replies are lost, grants are applied late
// (but expire counted from their arrival), clocks run 2 % slow, releases fail, and leaders change.
type grantModel struct {
	now        time.Time
	random     *rand.Rand
	terms      Terms
	tracker    *GrantTracker
	owner      realm.Instance
	expiresAt  map[realm.Instance]time.Time // when the grant of each instance expires
	arriving   []lateGrant
	resolvesAt map[realm.Instance]time.Time // when the leader learns or gives up on the outcome of a call
	isLost     map[realm.Instance]bool      // the call gets no reply
}

type lateGrant struct {
	instance             realm.Instance
	arrivedAt, appliedAt time.Time
}

func newGrantModel(seed uint64) *grantModel {
	m := &grantModel{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 7)),
		terms: Terms{TTL: 5 * time.Second, RenewInterval: time.Second, CallTimeout: time.Second},
		owner: realm.Instance{ID: "a"}, expiresAt: make(map[realm.Instance]time.Time),
		resolvesAt: make(map[realm.Instance]time.Time), isLost: make(map[realm.Instance]bool),
	}
	m.tracker = NewGrantTracker(m.now, m.terms, nil)
	return m
}

// maxGrantDuration returns how long a grant is in force on the slowest clock.
func (m *grantModel) maxGrantDuration() time.Duration { return m.terms.TTL + m.terms.TTL/50 }

// send sends a grant to the owner; the call arrives some time before its outcome is known.
func (m *grantModel) send() {
	if !m.resolvesAt[m.owner].IsZero() || !m.tracker.ShouldGrant(m.now, m.owner, m.now) {
		return
	}
	m.tracker.RecordPending(m.owner)
	arrives := m.now.Add(time.Duration(m.random.Int64N(int64(m.terms.CallTimeout))))
	switch m.random.IntN(10) {
	case 0: // applied seconds later, without a reply
		m.arriving = append(m.arriving, lateGrant{m.owner, arrives, arrives.Add(time.Duration(2+m.random.IntN(10)) * time.Second)})
		m.isLost[m.owner] = true
	case 1: // the reply is lost
		m.arriving = append(m.arriving, lateGrant{m.owner, arrives, arrives})
		m.isLost[m.owner] = true
	case 2: // the call is lost
		m.isLost[m.owner] = true
	default:
		m.arriving = append(m.arriving, lateGrant{m.owner, arrives, arrives})
		m.isLost[m.owner] = false
	}
	m.resolvesAt[m.owner] = arrives.Add(time.Millisecond)
	if m.isLost[m.owner] {
		m.resolvesAt[m.owner] = m.now.Add(m.terms.CallTimeout)
	}
}

// step advances the time; it returns an instance other than the owner that has a valid grant, if there is one.
func (m *grantModel) step(period time.Duration) (realm.Instance, bool) {
	m.now = m.now.Add(period)
	var waiting []lateGrant
	for _, g := range m.arriving {
		if g.appliedAt.After(m.now) {
			waiting = append(waiting, g)
			continue
		}
		if until := g.arrivedAt.Add(m.maxGrantDuration()); until.After(m.expiresAt[g.instance]) {
			m.expiresAt[g.instance] = until
		}
	}
	m.arriving = waiting
	for instance, at := range m.resolvesAt {
		if at.IsZero() || at.After(m.now) {
			continue
		}
		if m.isLost[instance] {
			m.tracker.RecordUnknown(m.now, instance)
		} else {
			m.tracker.RecordAck(m.now, instance)
		}
		delete(m.resolvesAt, instance)
	}
	for instance, until := range m.expiresAt {
		if instance != m.owner && until.After(m.now) {
			return instance, true
		}
	}
	return realm.Instance{}, false
}

// release releases the keys at the owner and reports whether that was acknowledged. A late grant may be applied after
// it.
func (m *grantModel) release() bool {
	if m.random.IntN(4) == 0 {
		return false
	}
	delete(m.expiresAt, m.owner)
	return true
}

// run runs a random schedule; mayReassign decides when the next owner is assigned. It returns an error if the keys had
// a second owner, or were never reassigned.
func (m *grantModel) run(mayReassign func(m *grantModel, released bool) bool) error {
	for turn := range 60 {
		for range m.random.IntN(40) {
			m.send()
			if other, ok := m.step(100 * time.Millisecond); ok {
				return fmt.Errorf("at %v %s has a valid grant of keys of %s", m.now, other.ID, m.owner.ID)
			}
		}
		if m.random.IntN(8) == 0 { // a new leader, which knows only who owns the keys
			m.tracker = NewGrantTracker(m.now, m.terms, []realm.Instance{m.owner})
			m.resolvesAt = make(map[realm.Instance]time.Time)
		}
		released := m.resolvesAt[m.owner].IsZero() && m.release()
		for waits := 0; !mayReassign(m, released); waits++ {
			if waits > 400 {
				return fmt.Errorf("the keys of %s could never be reassigned", m.owner.ID)
			}
			if other, ok := m.step(50 * time.Millisecond); ok {
				return fmt.Errorf("at %v %s has a valid grant of keys of %s", m.now, other.ID, m.owner.ID)
			}
		}
		m.owner = realm.Instance{ID: string(rune('b' + turn%3)), StartMillis: int64(turn)}
	}
	return nil
}

const schedules = 3000

// Guards against a second owner: keys must not be reassigned while a grant to the previous owner may still be in force,
// whatever is lost or late.
func TestOneOwnerInEverySchedule(t *testing.T) {
	const parts = 6
	for part := range uint64(parts) {
		t.Run(fmt.Sprint("seeds-", part), func(t *testing.T) {
			t.Parallel()
			for seed := part; seed < schedules; seed += parts {
				err := newGrantModel(seed).run(func(m *grantModel, released bool) bool {
					if released {
						return m.tracker.ReleaseIsSafe(m.now, m.owner)
					}
					return m.tracker.GrantsExpired(m.now, m.owner)
				})
				if err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
			}
		})
	}
}

// A naive rule that trusts every acknowledged release breaks ownership, since a grant may still be applied after it.
// This shows that the model finds such faults.
func TestNaiveRulesBreakOwnership(t *testing.T) {
	is := is.New(t)
	violations := 0
	for seed := range uint64(200) {
		err := newGrantModel(seed).run(func(m *grantModel, released bool) bool { return released || m.tracker.GrantsExpired(m.now, m.owner) })
		if err != nil {
			violations++
		}
	}
	is.True(violations > 100) // most schedules show a second owner
}
