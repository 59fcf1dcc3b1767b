package keyed

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/realm"
)

// A model of the place of one upstream: processes follow one another there under the same id, unseen by the leader.
// Connections break, calls are lost, leaders change, and the keys get new fences for other reasons too.
type placeModel struct {
	random  *rand.Rand
	index   uint64 // of the log
	fence   uint64 // of the keys
	former  uint64 // highest fence that an earlier process has taken
	taken   uint64 // highest fence that the present process has taken
	process int
	conn    int // process at the other end of the leader's connection, 0 for none
	link    *ConnFencing
	broken  bool
}

// send has the present process take the keys, unless the call is lost on its way.
func (m *placeModel) send() {
	m.link.RecordToken(m.fence)
	if m.random.IntN(8) == 0 {
		m.conn = 0 // given up, and perhaps never taken
		if m.random.IntN(2) == 0 {
			return
		}
	}
	m.broken = m.broken || m.fence <= m.former
	m.taken = max(m.taken, m.fence)
}

// grant sends one grant as the leader does; mayOpen decides whether a connection may be opened.
func (m *placeModel) grant(mayOpen func() bool) {
	if m.conn != m.process {
		m.conn = 0 // the other end is gone
	}
	switch {
	case m.conn != 0:
		m.send()
	case mayOpen():
		if m.random.IntN(4) > 0 { // else it can't be reached, and nothing is sent
			m.conn = m.process
			m.send()
		}
	}
}

func (m *placeModel) refence() {
	m.index++
	m.fence = m.index
}

// run plays a schedule and reports whether a process took keys under a fence of a former one.
func (m *placeModel) run(mayOpen func(m *placeModel) bool) bool {
	for range 300 {
		switch m.random.IntN(12) {
		case 0: // another process takes the place
			m.former, m.taken = max(m.former, m.taken), 0
			m.process++
		case 1: // another leader, which knows only the log
			m.link, m.conn = NewConnFencing(m.index), 0
		case 2:
			m.conn = 0
		case 3: // the keys are assigned anew
			m.refence()
		default:
			m.grant(func() bool { return mayOpen(m) })
		}
	}
	return m.broken
}

func newPlaceModel(seed uint64) *placeModel {
	return &placeModel{random: rand.New(rand.NewPCG(seed, 3)), index: 1, fence: 1, process: 1, link: NewConnFencing(0)}
}

// No process takes keys under a fence that an earlier one at its place may have had, in thousands of schedules; opening
// connections as they are needed breaks that in most.
func TestFencesInEverySchedule(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(schedules) {
		broken := newPlaceModel(seed).run(func(m *placeModel) bool {
			if m.link.MayOpen() {
				return true
			}
			if m.link.NeedsNewTokens([]realm.Range{{FencingToken: m.fence}}) {
				m.refence()
				if m.random.IntN(5) == 0 {
					return false // chosen, and its outcome is not known here yet
				}
				m.link.NeedsNewTokens([]realm.Range{{FencingToken: m.fence}})
			}
			return m.link.MayOpen()
		})
		if broken {
			t.Fatalf("seed %d: a process took keys under a fence of a former one", seed)
		}
	}
	naive := 0
	for seed := range uint64(200) {
		if newPlaceModel(seed).run(func(*placeModel) bool { return true }) {
			naive++
		}
	}
	is.True(naive > 100)
	t.Logf("naive: %d of 200 schedules broken", naive)
}
