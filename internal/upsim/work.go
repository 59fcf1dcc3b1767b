package upsim

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagelink.example/lovagelink/internal/upapi"
	"lovagelink.example/lovagelink/pkg/verd"
)

// coldFactor is how much longer work takes while the upstream is cold.
const coldFactor = 3

// job is one request as the upstream reads it.
type job struct {
	id        string
	service   string
	key       string
	slot      int
	epoch     uint64
	dispatch  uint64
	runBefore time.Duration
	exclusive bool
}

func readJob(header http.Header) job {
	slot, _ := strconv.Atoi(header.Get(upapi.HeaderSlot))
	epoch, _ := strconv.ParseUint(header.Get(upapi.HeaderEpoch), 10, 64)
	dispatch, _ := strconv.ParseUint(header.Get(upapi.HeaderDispatcherEpoch), 10, 64)
	before, _ := strconv.ParseInt(header.Get(upapi.HeaderRunBefore), 10, 64)
	return job{
		id:        header.Get(upapi.HeaderRequestID),
		service:   header.Get(upapi.HeaderService),
		key:       header.Get(upapi.HeaderKey),
		slot:      slot,
		epoch:     epoch,
		dispatch:  dispatch,
		runBefore: time.Duration(before),
		exclusive: header.Get(upapi.HeaderNonIdempotent) != "",
	}
}

// serveWork runs one request within the slots.
func (u *Upstream) serveWork(w http.ResponseWriter, request *http.Request) {
	u.gate()
	_, _ = io.Copy(io.Discard, request.Body)
	one := readJob(request.Header)
	if !u.enter() {
		refuse(w, one, "overloaded")
		return
	}
	defer u.exit()
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	case <-u.cancelled(request.Context()):
		return
	}
	if reason := u.work(request.Context(), one); reason != "" {
		refuse(w, one, reason)
		return
	}
	u.answer(w, one)
}

func (u *Upstream) enter() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.settings.ShedAbove > 0 && u.busy >= u.settings.ShedAbove {
		return false
	}
	u.busy++
	return true
}

func (u *Upstream) exit() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.busy--
}

// work spends the time of the job and then, if the grant still holds, takes its effect. It returns
// why the job has not run, or "".
func (u *Upstream) work(ctx context.Context, one job) string {
	u.gate()
	began := time.Now()
	if one.runBefore > 0 && u.clock(began) >= one.runBefore {
		return "the deadline has passed"
	}
	if reason := u.hindrance(began, one); reason != "" {
		return reason
	}
	timer := time.NewTimer(u.duration(began))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-u.cancelled(ctx):
		return "cancelled"
	}
	u.gate()
	now := time.Now()
	if reason := u.hindrance(now, one); reason != "" {
		return reason
	}
	u.ledger.Add(Run{
		ID: one.id, Service: one.service, Key: one.key, Upstream: u.settings.ID, Epoch: one.epoch,
		NonIdempotent: one.exclusive, Keyed: u.settings.Keyed, Began: began, Ended: now,
	})
	return ""
}

// cancelled returns the channel that ends work early; an upstream that checks nothing goes on.
func (u *Upstream) cancelled(ctx context.Context) <-chan struct{} {
	if !u.settings.VerifiesGrants {
		return nil
	}
	return ctx.Done()
}

// hindrance says why a job may not run at this time, or "".
func (u *Upstream) hindrance(now time.Time, one job) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.settings.VerifiesGrants {
		return ""
	}
	if clock := u.clock(now); !u.fence.allows(clock, one.dispatch, one.slot, one.epoch) {
		return fmt.Sprintf("slot %d is not granted under epoch %d", one.slot, one.epoch)
	}
	return ""
}

func (u *Upstream) duration(now time.Time) time.Duration {
	if now.Sub(u.started) < u.settings.Warmup {
		return coldFactor * u.settings.ServiceTime
	}
	return u.settings.ServiceTime
}

// answer writes an answer whose length and checksum a caller can verify.
func (u *Upstream) answer(w http.ResponseWriter, one job) {
	u.mu.Lock()
	faults := u.faults
	u.mu.Unlock()
	if faults.Late > 0 {
		time.Sleep(faults.Late)
	}
	u.gate()
	id := one.id
	if faults.WrongID {
		id = "crossed-" + one.id
	}
	body := ResponseBody(id, u.settings.AnswerBytes)
	header := w.Header()
	header.Set(upapi.HeaderRequestID, id)
	header.Set(upapi.HeaderVerdict, verd.Ran.String())
	header.Set("Lovagelink-Upstream", u.settings.ID)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if faults.Truncate {
		body = body[:len(body)/2]
	}
	_, _ = io.WriteString(w, body)
}

func refuse(w http.ResponseWriter, one job, reason string) {
	w.Header().Set(upapi.HeaderRequestID, one.id)
	w.Header().Set(upapi.HeaderVerdict, verd.NotRun.String())
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// ResponseBody is the body that a stand-in sends for a request: its id, filler, and a checksum.
func ResponseBody(id string, size int) string {
	text := id + "\n" + strings.Repeat(".", max(size-len(id)-18, 0))
	return text + fmt.Sprintf("\n%016x", xxhash.Sum64String(text))
}

// VerifyBody reports whether a body is whole, and the id that it belongs to.
func VerifyBody(body string) (id string, whole bool) {
	cut := strings.LastIndexByte(body, '\n')
	if cut < 0 {
		return "", false
	}
	id, _, _ = strings.Cut(body, "\n")
	return id, body[cut+1:] == fmt.Sprintf("%016x", xxhash.Sum64String(body[:cut]))
}
