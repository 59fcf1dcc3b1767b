package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The platform's rule: in any 4 s an upstream gets at most one and a half times what its limit allows, and 5 requests.
const (
	ruleWindow = 4 * time.Second
	ruleFactor = 1.5
	ruleSlack  = 5
)

func allowed(limit float64) int { return int(ruleFactor*limit*ruleWindow.Seconds() + ruleSlack) }

// mostInWindow returns the largest number of times within ruleWindow.
func mostInWindow(sent []time.Duration) (most int) {
	for i, from := range sent {
		j, _ := slices.BinarySearch(sent, from+ruleWindow)
		most = max(most, j-i)
	}
	return most
}

// replay sends requests at random times to hosts at random for a time, and returns when they were sent to the upstream.
func replay(random *rand.Rand, perSecond float64, hosts int, period time.Duration, mayStart func(now time.Time, host int) bool) (sent []time.Duration) {
	for at := time.Duration(0); at < period; at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)) {
		if mayStart(epoch.Add(at), random.IntN(hosts)) {
			sent = append(sent, at)
		}
	}
	return sent
}

var epoch = time.Unix(1000, 0)

// All hosts ask for one key at once, while its owner takes a few requests per second. Counted in one place, the owner gets
// what it takes and no more. The naive form, an equal share for each host, breaks the rule where a host may send a request
// at once, and leaves most of the limit unused where it may not.
func TestHotKeyStaysWithinNamedLimit(t *testing.T) {
	for _, hosts := range []int{10, 85, 285} {
		for _, limit := range []float64{0.25, 1, 2.5, 6, 40} {
			t.Run(fmt.Sprintf("%d hosts, %v per second", hosts, limit), func(t *testing.T) {
				is := is.New(t)
				random := rand.New(rand.NewPCG(uint64(hosts), uint64(limit*100)))
				const period = 40 * time.Second
				bucket := &Bucket{}
				sent := replay(random, 600, hosts, period, func(now time.Time, _ int) bool { return bucket.Take(now, limit, 1).OK })
				is.True(mostInWindow(sent) <= allowed(limit))
				is.True(float64(len(sent)) >= 0.9*limit*period.Seconds()) // what the upstream takes is not left unused
			})
		}
	}
	t.Run("naive", func(t *testing.T) {
		is := is.New(t)
		const hosts, limit = 85, 2.5
		random := rand.New(rand.NewPCG(1, 2))
		next := make([]time.Time, hosts)
		sent := replay(random, 600, hosts, 40*time.Second, func(now time.Time, host int) bool {
			if now.Before(next[host]) {
				return false
			}
			next[host] = now.Add(time.Duration(hosts / limit * float64(time.Second)))
			return true
		})
		is.True(mostInWindow(sent) > allowed(limit))
	})
}

// A cut separates a part of the hosts from the host that counts, for any part and moment. They use shares of their own, and
// the sum stays within the rule.
func TestHostsThatCannotAskStayWithinTheRule(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 7))
		hosts, limit := 2+random.IntN(284), 0.25+8*random.Float64()
		cutOff := random.IntN(hosts + 1) // hosts below this number
		from, to := time.Duration(random.Int64N(int64(10*time.Second))), 10*time.Second+time.Duration(random.Int64N(int64(20*time.Second)))
		bucket, shares := &Bucket{}, make([]*Share, hosts)
		sent := replay(random, 300, hosts, 40*time.Second, func(now time.Time, host int) bool {
			at := now.Sub(epoch)
			if host >= cutOff || at < from || at >= to {
				shares[host] = nil
				return bucket.Take(now, limit, 1).OK
			}
			if shares[host] == nil {
				shares[host] = NewShare(now, random.Float64())
			}
			return shares[host].Take(now, limit, hosts).OK
		})
		if got := mostInWindow(sent); got > allowed(limit) {
			t.Errorf("seed %d: %d hosts, %d cut off, limit %.2f: %d in 4 s, %d allowed", seed, hosts, cutOff, limit, got, allowed(limit))
		}
	}
}

// While the list of control hosts changes, some hosts still ask the former counting host, which lasts for up to 2 s. A host
// that has just started counts from scratch.
func TestCountingHostChangesWithinTheRule(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 8))
		limit := 0.25 + 8*random.Float64()
		change := 5*time.Second + time.Duration(random.Int64N(int64(5*time.Second)))
		former, next := &Bucket{}, &Bucket{}
		sent := replay(random, 300, 85, 20*time.Second, func(now time.Time, host int) bool {
			at := now.Sub(epoch)
			if at >= change+2*time.Second || at >= change && host%2 == 0 {
				return next.Take(now, limit, 1).OK
			}
			return former.Take(now, limit, 1).OK
		})
		if got := mostInWindow(sent); got > allowed(limit) {
			t.Errorf("seed %d: limit %.2f: %d in 4 s, %d allowed", seed, limit, got, allowed(limit))
		}
	}
}

// In a flood of less urgent requests, what the upstream takes is spent on the urgent ones first.
func TestUrgentRequestsAreSentFirst(t *testing.T) {
	is := is.New(t)
	served := func(ranked bool) (urgent, others int) {
		random := rand.New(rand.NewPCG(3, 4))
		bucket := &Bucket{}
		asked := 0
		replay(random, 100, 1, 60*time.Second, func(now time.Time, _ int) bool {
			rank := 2
			if random.IntN(100) == 0 { // one urgent request per second, of five that the upstream takes
				rank = 0
				asked++
			}
			used := rank
			if !ranked {
				used = 1
			}
			ok := bucket.Take(now, 5, used).OK
			switch {
			case ok && rank == 0:
				urgent++
			case ok:
				others++
			}
			return ok
		})
		return urgent * 100 / asked, others
	}
	urgent, others := served(true)
	naive, _ := served(false)
	is.True(urgent >= 90)  // per cent
	is.True(others >= 150) // the rest is not left unused
	is.True(naive < 50)
}

// Callers that are refused one after another are told later and later times, and nobody is told to come back before a
// request can be sent.
func TestRefusedCallersComeBackApart(t *testing.T) {
	is := is.New(t)
	bucket := &Bucket{}
	is.True(bucket.Take(epoch, 2, 0).OK)
	last := time.Duration(0)
	for range 4 {
		answer := bucket.Take(epoch, 2, 0)
		is.True(!answer.OK)
		is.True(answer.Retry >= answer.Next && answer.Retry > last)
		last = answer.Retry
	}
	is.True(bucket.Take(epoch.Add(500*time.Millisecond), 2, 0).OK)
}

// All hosts choose the same control host, whatever the order of their lists, and one in the upstream's zone if there is
// one. The upstreams of a zone spread over its control hosts, and stay where they are when another host is lost.
func TestCountingHost(t *testing.T) {
	is := is.New(t)
	hosts := []Host{{"a1", "a"}, {"a2", "a"}, {"a3", "a"}, {"b1", "b"}, {"c1", "c"}}
	reversed := slices.Clone(hosts)
	slices.Reverse(reversed)
	count := make(map[string]int)
	for i := range 300 {
		upstream := fmt.Sprint("u", i)
		chosen := CountingHost(upstream, "a", hosts)
		is.Equal(chosen, CountingHost(upstream, "a", reversed))
		is.Equal(CountingHost(upstream, "b", hosts), "b1")
		count[chosen]++
		if without := CountingHost(upstream, "a", slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.Name == "a3" })); chosen != "a3" {
			is.Equal(without, chosen)
		}
		is.True(CountingHost(upstream, "z", hosts) != "") // no control host in that zone
	}
	is.Equal(len(count), 3)
	for _, n := range count {
		is.True(n > 50)
	}
	is.Equal(CountingHost("u1", "a", nil), "")
}

// Buckets of upstreams that have ended are forgotten.
func TestBookForgetsEndedUpstreams(t *testing.T) {
	is := is.New(t)
	book := NewBook[int]()
	for i := range 100_000 {
		book.Take(epoch.Add(time.Duration(i)*time.Second), i, 1, 0)
	}
	is.True(len(book.buckets) < 100)
}

// A rate that is no rate does not spoil a bucket: the next request is counted at the rate that it names.
func TestRatesOfNoUseAreLow(t *testing.T) {
	is := is.New(t)
	for _, rate := range []float64{0, -1, math.NaN(), math.Inf(-1)} {
		bucket, share := &Bucket{}, NewShare(epoch, 0)
		bucket.Take(epoch, rate, 0)
		is.True(!bucket.Take(epoch.Add(time.Second), rate, 0).OK)
		is.True(bucket.Take(epoch.Add(2*time.Second), 5, 0).OK)
		is.True(!share.Take(epoch.Add(time.Second), rate, 1).OK)
	}
}
