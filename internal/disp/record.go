package disp

import (
	"net/http"
	"time"

	"lovagelink.example/lovagelink/pkg/verd"
)

// Record is one record of the book on its way to another host.
type Record struct {
	Service     string   `json:"service"`
	Slot        int      `json:"slot"`
	ID          string   `json:"id"`
	Token       string   `json:"token"` // of the attempt that was started
	Fingerprint uint64   `json:"print"`
	Outcome     *Outcome `json:"outcome,omitempty"` // nil while it is not known
	Running     bool     `json:"running,omitempty"` // the host that tells of it has it under way
}

// NewRecord returns the note of a request that is being started.
func NewRecord(r Request) Record {
	return Record{Service: r.Service, Slot: r.Slot, ID: r.ID, Token: r.Token, Fingerprint: r.Fingerprint}
}

// record is one request of the book.
type record struct {
	note    Record
	noted   time.Time
	number  uint64        // by age
	other   string        // the host that knows of the request too
	done    chan struct{} // closes once the outcome is known; made when somebody waits
	running bool          // a task on this host will settle it
	settled bool
	gone    bool // forgotten, and still in the order
}

// settle gives the record its outcome; the first one stays.
func (one *record) settle(outcome Outcome) {
	if one.settled {
		return
	}
	one.settled = true
	one.note.Outcome = &outcome
	if one.done != nil {
		close(one.done)
	}
}

// wait returns a channel that closes once the outcome is known.
func (one *record) wait() <-chan struct{} {
	if one.done == nil {
		one.done = make(chan struct{})
		if one.settled {
			close(one.done)
		}
	}
	return one.done
}

// told is the record as another host is told of it.
func (one *record) told() Record {
	note := one.note
	note.Running = one.running
	return note
}

// answers bounds the memory of the answers that are kept for resends: beyond the bound the oldest ones are
// forgotten, and only what became of the requests is known.
type answers struct {
	limit int // bytes
	used  int
	order []*record // by the time of the answer
}

// headerBytes is about what a header takes beside its text.
const headerBytes = 64

// keep counts the answer of a record that has been settled.
func (a *answers) keep(one *record) {
	if one.note.Outcome.Verdict != verd.Ran {
		return
	}
	a.used += one.note.Outcome.bytes()
	a.order = append(a.order, one)
	a.trim()
}

// trim lets go of the oldest answers: those of records that are forgotten, and those beyond the bound.
func (a *answers) trim() {
	for len(a.order) > 0 && (a.order[0].gone || a.used > a.limit) {
		one := a.order[0]
		a.order[0] = nil
		a.order = a.order[1:]
		a.used -= one.note.Outcome.bytes()
		if !one.gone {
			one.note.Outcome = &answerGone
		}
	}
}

// answerGone is the outcome of a request that has run and whose answer is no longer kept.
var answerGone = Outcome{
	Verdict: verd.Ran, Status: http.StatusGone, Reason: "the request has run, and its answer is no longer kept",
}

// bytes is about the memory that an answer takes.
func (o *Outcome) bytes() int {
	size := len(o.Body)
	for name, values := range o.Header {
		size += len(name) + headerBytes
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}
