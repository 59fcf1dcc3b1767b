package keyed

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/realm"
)

// connModel models one upstream address at which processes replace one another under the same id, unseen by the leader.
// Connections break, calls are lost, leaders change, and the keys also get new fencing tokens for other reasons.
type connModel struct {
	random   *rand.Rand
	index    uint64 // log index
	token    uint64 // fencing token of the keys
	previous uint64 // highest token that an earlier process has accepted
	accepted uint64 // highest token that the current process has accepted
	process  int
	conn     int // process at the other end of the leader's connection, 0 for none
	fencing  *ConnFencing
	violated bool
}

// send delivers a grant to the current process, unless the call is lost.
func (m *connModel) send() {
	m.fencing.RecordToken(m.token)
	if m.random.IntN(8) == 0 {
		m.conn = 0 // the call timed out, and perhaps never arrived
		if m.random.IntN(2) == 0 {
			return
		}
	}
	m.violated = m.violated || m.token <= m.previous
	m.accepted = max(m.accepted, m.token)
}

// grant sends one grant as the leader does; mayOpen decides whether a new connection may be opened.
func (m *connModel) grant(mayOpen func() bool) {
	if m.conn != m.process {
		m.conn = 0 // the process at the other end has ended
	}
	switch {
	case m.conn != 0:
		m.send()
	case mayOpen():
		if m.random.IntN(4) > 0 { // otherwise the process is unreachable, and nothing is sent
			m.conn = m.process
			m.send()
		}
	}
}

func (m *connModel) renewToken() {
	m.index++
	m.token = m.index
}

// run runs a random schedule and reports whether a process accepted keys with a fencing token of an earlier process.
func (m *connModel) run(mayOpen func(m *connModel) bool) bool {
	for range 300 {
		switch m.random.IntN(12) {
		case 0: // another process replaces the current one
			m.previous, m.accepted = max(m.previous, m.accepted), 0
			m.process++
		case 1: // a new leader, which knows only the log
			m.fencing, m.conn = NewConnFencing(m.index), 0
		case 2:
			m.conn = 0
		case 3: // the keys are reassigned
			m.renewToken()
		default:
			m.grant(func() bool { return mayOpen(m) })
		}
	}
	return m.violated
}

func newConnModel(seed uint64) *connModel {
	return &connModel{random: rand.New(rand.NewPCG(seed, 3)), index: 1, token: 1, process: 1, fencing: NewConnFencing(0)}
}

// Guards against a process accepting keys with a fencing token that its predecessor may have used: a grant is sent on a
// connection that was opened after the predecessor had ended. Opening connections whenever one is needed lets that
// happen in most schedules.
func TestFencesInEverySchedule(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(schedules) {
		violated := newConnModel(seed).run(func(m *connModel) bool {
			if m.fencing.MayOpen() {
				return true
			}
			if m.fencing.NeedsNewTokens([]realm.Range{{FencingToken: m.token}}) {
				m.renewToken()
				if m.random.IntN(5) == 0 {
					return false // the new token is committed, but the leader doesn't know the outcome yet
				}
				m.fencing.NeedsNewTokens([]realm.Range{{FencingToken: m.token}})
			}
			return m.fencing.MayOpen()
		})
		if violated {
			t.Fatalf("seed %d: a process accepted keys with a fencing token of an earlier process", seed)
		}
	}
	naive := 0
	for seed := range uint64(200) {
		if newConnModel(seed).run(func(*connModel) bool { return true }) {
			naive++
		}
	}
	is.True(naive > 100)
	t.Logf("naive: %d of 200 schedules broken", naive)
}
