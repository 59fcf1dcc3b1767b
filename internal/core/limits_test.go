package core

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/realm"
	"lovagelink.example/lovagelink/internal/route"
)

// A limit that an entry host was told reaches all hosts with the state, also those that start later, and so does its end.
func TestNamedLimitReachesAllHosts(t *testing.T) {
	is := is.New(t)
	h := startHost(t, 43, newFakeUpstreams())
	ctx := context.Background()
	is.NoErr(h.AcceptConfig(ctx, time.Now(), route.Config{Version: 1, Services: []route.Service{{Name: "s", Keyed: true}}}, []byte("1")))
	sendHeartbeats(t, h, 60)
	instance := upstreamOf(60).Instance
	limitAtNewHost := func() float64 {
		reply, err := h.handleFollow(ctx, "entry-2", FollowRequest{Encoded: true})
		if err != nil || !reply.LeaderReachable {
			return -1
		}
		update, err := reply.Decode()
		if err != nil || len(update.Upstreams) != 1 {
			return -1
		}
		return update.Upstreams[0].Limit
	}
	waitFor(t, "the upstream", func() bool { return limitAtNewHost() == 0 })
	for _, limit := range []float64{2.5, 0} {
		report := Report{Limits: []realm.LimitChange{{Instance: instance, Limit: limit}, {Instance: realm.Instance{ID: "unknown"}, Limit: 1}}}
		_, err := h.handleReport(ctx, "entry-1", report)
		is.NoErr(err)
		waitFor(t, "the limit", func() bool { return limitAtNewHost() == limit })
	}
}

// All entry hosts that ask about an upstream share one limit, whichever asks.
func TestEntryHostsShareALimit(t *testing.T) {
	is := is.New(t)
	h := startHost(t, 44, newFakeUpstreams())
	granted := 0
	for range 100 {
		for _, entry := range []string{"entry-1", "entry-2"} {
			answer, err := h.handleSpend(context.Background(), entry, SpendRequest{Upstream: upstreamOf(61).Instance, Limit: 1})
			is.NoErr(err)
			if answer.OK {
				granted++
			}
		}
	}
	is.True(granted >= 1 && granted <= 4)
}
