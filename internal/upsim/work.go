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

// coldFactor multiplies the service time during warm-up.
const coldFactor = 3

// job holds the headers of a request that decide whether it runs, and those that its entry in the ledger records.
type job struct {
	id              string
	service         string
	key             string
	slot            int
	epoch           uint64
	dispatcherEpoch uint64
	runBefore       time.Duration
	nonIdempotent   bool
}

func readJob(header http.Header) job {
	slot, _ := strconv.Atoi(header.Get(upapi.HeaderSlot))
	epoch, _ := strconv.ParseUint(header.Get(upapi.HeaderEpoch), 10, 64)
	dispatcherEpoch, _ := strconv.ParseUint(header.Get(upapi.HeaderDispatcherEpoch), 10, 64)
	runBefore, _ := strconv.ParseInt(header.Get(upapi.HeaderRunBefore), 10, 64)
	return job{
		id:              header.Get(upapi.HeaderRequestID),
		service:         header.Get(upapi.HeaderService),
		key:             header.Get(upapi.HeaderKey),
		slot:            slot,
		epoch:           epoch,
		dispatcherEpoch: dispatcherEpoch,
		runBefore:       time.Duration(runBefore),
		nonIdempotent:   header.Get(upapi.HeaderNonIdempotent) != "",
	}
}

// serveWork refuses a request above Settings.ShedAbove, and runs others as soon as fewer than Settings.Concurrency
// requests run.
func (u *Upstream) serveWork(w http.ResponseWriter, request *http.Request) {
	u.waitWhileFrozen()
	_, _ = io.Copy(io.Discard, request.Body)
	j := readJob(request.Header)
	if !u.tryAcquire() {
		refuse(w, j, "overloaded")
		return
	}
	defer u.release()
	select {
	case u.semaphore <- struct{}{}:
		defer func() { <-u.semaphore }()
	case <-u.cancellation(request.Context()):
		return
	}
	if reason := u.execute(request.Context(), j); reason != "" {
		refuse(w, j, reason)
		return
	}
	u.respond(w, j)
}

// tryAcquire counts one more concurrent request; it reports false if there are Settings.ShedAbove already.
func (u *Upstream) tryAcquire() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.settings.ShedAbove > 0 && u.busy >= u.settings.ShedAbove {
		return false
	}
	u.busy++
	return true
}

func (u *Upstream) release() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.busy--
}

// execute checks the deadline and the grant of a job, waits for the service time, and records the run if the grant is
// still valid afterwards. It returns the reason why the job has not run, or "".
func (u *Upstream) execute(ctx context.Context, j job) string {
	u.waitWhileFrozen()
	start := time.Now()
	if j.runBefore > 0 && u.clock(start) >= j.runBefore {
		return "the deadline has passed"
	}
	if reason := u.refusalReason(start, j); reason != "" {
		return reason
	}
	timer := time.NewTimer(u.serviceTime(start))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-u.cancellation(ctx):
		return "cancelled"
	}
	u.waitWhileFrozen()
	now := time.Now()
	if reason := u.refusalReason(now, j); reason != "" {
		return reason
	}
	u.ledger.Add(Run{
		ID: j.id, Service: j.service, Key: j.key, Upstream: u.settings.ID, Epoch: j.epoch,
		NonIdempotent: j.nonIdempotent, Keyed: u.settings.Keyed, Began: start, Ended: now,
	})
	return ""
}

// cancellation returns the channel that ends work early. An upstream that does not verify grants finishes its work
// even if the request is cancelled.
func (u *Upstream) cancellation(ctx context.Context) <-chan struct{} {
	if !u.settings.VerifiesGrants {
		return nil
	}
	return ctx.Done()
}

// refusalReason returns the reason why the latest grant doesn't allow a job at this time, or "" if it does or if grants
// are not verified.
func (u *Upstream) refusalReason(now time.Time, j job) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.settings.VerifiesGrants {
		return ""
	}
	if clock := u.clock(now); !u.granted.allows(clock, j.dispatcherEpoch, j.slot, j.epoch) {
		return fmt.Sprintf("slot %d is not granted under epoch %d", j.slot, j.epoch)
	}
	return ""
}

func (u *Upstream) serviceTime(now time.Time) time.Duration {
	if now.Sub(u.started) < u.settings.Warmup {
		return coldFactor * u.settings.ServiceTime
	}
	return u.settings.ServiceTime
}

// respond writes a response whose length and checksum a caller can verify.
func (u *Upstream) respond(w http.ResponseWriter, j job) {
	u.mu.Lock()
	faults := u.faults
	u.mu.Unlock()
	if faults.Late > 0 {
		time.Sleep(faults.Late)
	}
	u.waitWhileFrozen()
	id := j.id
	if faults.WrongID {
		id = "crossed-" + j.id
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

func refuse(w http.ResponseWriter, j job, reason string) {
	w.Header().Set(upapi.HeaderRequestID, j.id)
	w.Header().Set(upapi.HeaderVerdict, verd.NotRun.String())
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// ResponseBody returns the body of the response to a request: the request id, padding up to size bytes, and a checksum.
func ResponseBody(id string, size int) string {
	text := id + "\n" + strings.Repeat(".", max(size-len(id)-18, 0))
	return text + fmt.Sprintf("\n%016x", xxhash.Sum64String(text))
}

// VerifyBody returns the request id in a response body and reports whether the body is complete.
func VerifyBody(body string) (id string, complete bool) {
	separator := strings.LastIndexByte(body, '\n')
	if separator < 0 {
		return "", false
	}
	id, _, _ = strings.Cut(body, "\n")
	return id, body[separator+1:] == fmt.Sprintf("%016x", xxhash.Sum64String(body[:separator]))
}
