package disp

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/pkg/verd"
)

// validLease is a lease that does not expire.
type validLease struct{}

func (validLease) LeaseUntil() time.Time { return time.Now().Add(time.Minute) }

// acceptingRecorder is a Recorder whose entry host still waits for every request.
type acceptingRecorder struct{}

func (acceptingRecorder) RecordStart(context.Context, Request) (StartAck, error) {
	return StartAck{}, nil
}

func (acceptingRecorder) RecordOutcome(Request, string, Outcome) {}

// A dispatcher that has exported its records to a newer dispatcher starts no more requests, even while its lease and
// its grant are valid: the newer dispatcher would not know of them and would run a resend again.
func TestRetiredDispatcherStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, u := newWithDroppingUpstream(t, false)
		d.Lease, d.Recorder = validLease{}, acceptingRecorder{}
		d.epoch = 5
		s := newOwnedSlot(time.Now(), 1, 3)
		close(s.ready)
		d.slots[1] = s
		d.grant.slots = map[int]uint64{1: 3}
		d.grant.validUntil = time.Now().Add(time.Minute)
		set := NewSet(nil, "x", d.Deps)
		set.dispatchers["u"] = d
		run := func(id string) verd.Verdict {
			return set.Run(context.Background(), Request{
				Upstream: "u", Service: "plan", Slot: 1, ID: id, Method: http.MethodPost, Path: "/plan/wall",
				Body: []byte("x"), Left: time.Second, Wait: time.Second,
			}).Verdict
		}
		is.Equal(run("first"), verd.Ran)
		set.Retire("u", 5) // by the same dispatcher
		set.Retire("u", 4) // by an older dispatcher
		is.True(!d.closed)
		set.Retire("u", 6)
		is.Equal(len(d.Dedup.Export("plan", []int{1})), 1)
		is.Equal(run("second"), verd.NotRun)
		is.Equal(u.received.Load(), int64(1))
	})
}
