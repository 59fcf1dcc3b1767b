package disp

import (
	"net/http"
	"time"

	"lovagelink.example/lovagelink/pkg/verd"
)

// Record is an entry of the deduplication table as it is sent to another host.
type Record struct {
	Service     string   `json:"service"`
	Slot        int      `json:"slot"`
	ID          string   `json:"id"`
	Token       string   `json:"token"` // token of the attempt that was started
	Fingerprint uint64   `json:"print"`
	Outcome     *Outcome `json:"outcome,omitempty"` // nil while unknown
	Running     bool     `json:"running,omitempty"` // the request runs on the host that sends the record
}

// NewRecord returns the record of a request that is being started.
func NewRecord(r Request) Record {
	return Record{Service: r.Service, Slot: r.Slot, ID: r.ID, Token: r.Token, Fingerprint: r.Fingerprint}
}

// dedupEntry is a request in the deduplication table.
type dedupEntry struct {
	record     Record
	addedAt    time.Time
	sequence   uint64        // increases with each added entry
	peer       string        // the other host that has a record of the request
	done       chan struct{} // closes once the outcome is known; nil until someone waits
	running    bool          // runs on this host, which will set the outcome
	hasOutcome bool          // the outcome is known
	removed    bool          // removed from the table, but may still be in an order slice
}

// setOutcome sets the outcome of the entry unless it already has one.
func (e *dedupEntry) setOutcome(outcome Outcome) {
	if e.hasOutcome {
		return
	}
	e.hasOutcome = true
	e.record.Outcome = &outcome
	if e.done != nil {
		close(e.done)
	}
}

// wait returns a channel that closes once the outcome is known.
func (e *dedupEntry) wait() <-chan struct{} {
	if e.done == nil {
		e.done = make(chan struct{})
		if e.hasOutcome {
			close(e.done)
		}
	}
	return e.done
}

// export returns the record that is sent to another host.
func (e *dedupEntry) export() Record {
	record := e.record
	record.Running = e.running
	return record
}

// responseCache limits the memory of the responses that are kept for resends. Beyond the limit the oldest responses are
// evicted, and their entries only keep that the request has run.
type responseCache struct {
	limit int // bytes
	used  int
	order []*dedupEntry // in order of their responses
}

// headerOverhead is the approximate memory of a header in addition to its text, in bytes.
const headerOverhead = 64

// add adds the response of an entry whose outcome has been set.
func (c *responseCache) add(entry *dedupEntry) {
	if entry.record.Outcome.Verdict != verd.Ran {
		return
	}
	c.used += entry.record.Outcome.memorySize()
	c.order = append(c.order, entry)
	c.evict()
}

// evict evicts the oldest responses while they belong to removed entries or exceed the limit.
func (c *responseCache) evict() {
	for len(c.order) > 0 && (c.order[0].removed || c.used > c.limit) {
		entry := c.order[0]
		c.order[0] = nil
		c.order = c.order[1:]
		c.used -= entry.record.Outcome.memorySize()
		if !entry.removed {
			entry.record.Outcome = &responseEvicted
		}
	}
}

// responseEvicted is the outcome of a request that has run and whose response has been evicted.
var responseEvicted = Outcome{
	Verdict: verd.Ran, Status: http.StatusGone, Reason: "the request has run, and its answer is no longer kept",
}

// memorySize returns the approximate memory of a response in bytes.
func (o *Outcome) memorySize() int {
	size := len(o.Body)
	for name, values := range o.Header {
		size += len(name) + headerOverhead
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}
