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

// always is a lease that holds.
type always struct{}

func (always) LeaseUntil() time.Time { return time.Now().Add(time.Minute) }

// willing is an entry side that wants every request.
type willing struct{}

func (willing) RecordStart(context.Context, Request) (StartAck, error) { return StartAck{}, nil }

func (willing) RecordOutcome(Request, string, Outcome) {}

// A dispatcher that has told a newer one of its slots starts nothing more, though its lease and its grant
// hold: the newer one would take a resend of it for a request that has not run.
func TestToldDispatcherStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, u := withLosing(t, false)
		d.Lease, d.Recorder = always{}, willing{}
		d.epoch = 5
		s := newShare(time.Now(), 1, 3)
		close(s.ready)
		d.shares[1] = s
		d.grant.slots = map[int]uint64{1: 3}
		d.grant.until = time.Now().Add(time.Minute)
		set := NewSet(nil, "x", d.Deps)
		set.disps["u"] = d
		run := func(id string) verd.Verdict {
			return set.Run(context.Background(), Request{
				Upstream: "u", Service: "plan", Slot: 1, ID: id, Method: http.MethodPost, Path: "/plan/wall",
				Body: []byte("x"), Left: time.Second, Wait: time.Second,
			}).Verdict
		}
		is.Equal(run("first"), verd.Ran)
		set.Retire("u", 5) // asked by itself
		set.Retire("u", 4) // asked by an older one
		is.True(!d.closed)
		set.Retire("u", 6)
		is.Equal(len(d.Dedup.Export("plan", []int{1})), 1)
		is.Equal(run("second"), verd.NotRun)
		is.Equal(u.seen.Load(), int64(1))
	})
}
