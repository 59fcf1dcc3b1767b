package quota

import "time"

// Bounds of a bucket, in requests.
const (
	minBurst     = 3.5 // the least capacity, so that requests that arrive together can use what was left
	burstSeconds = 0.5 // capacity of a bucket, in seconds of its rate
	maxReserves  = 2   // ranks for each of which a less urgent one leaves a request in the bucket
	firstLevel   = 1   // of a new bucket; its predecessor at another host may have just been emptied
	maxDeferral  = 2 * time.Second
)

// MinRate is the lowest rate at which requests are sent, in requests per second: the end of a limit shows in a response
// only.
const MinRate = 0.25

// Bucket counts the requests of all hosts to one upstream.
type Bucket struct {
	level    float64 // requests that may be sent now
	deferred float64 // requests that were told to come back and are expected
	updated  time.Time
}

// Answer says whether a request may be sent. If not, Next is when a request of its rank may be sent at the earliest, and
// Retry is when the caller should come back: each caller is told a later time than the one before, so that they don't
// return together.
type Answer struct {
	OK    bool          `json:"ok"`
	Next  time.Duration `json:"next,omitempty"`
	Retry time.Duration `json:"retry,omitempty"`
}

// Take withdraws one request at a rate of requests per second, at least MinRate.
func (b *Bucket) Take(now time.Time, rate float64, rank int) Answer {
	rate = atLeastMin(rate)
	if b.updated.IsZero() {
		b.level, b.updated = firstLevel, now
	}
	if passed := now.Sub(b.updated).Seconds(); passed > 0 {
		b.level = min(b.level+passed*rate, max(minBurst, burstSeconds*rate))
		b.deferred = max(0, b.deferred-passed*rate)
		b.updated = now
	}
	need := float64(1 + min(max(rank, 0), maxReserves))
	if b.level >= need {
		b.level--
		return Answer{OK: true}
	}
	answer := Answer{Next: inSeconds((need - b.level) / rate), Retry: inSeconds((need - b.level + b.deferred) / rate)}
	b.deferred = min(b.deferred+1, maxDeferral.Seconds()*rate)
	return answer
}

// atLeastMin returns the rate, or MinRate if it is lower or no number.
func atLeastMin(rate float64) float64 {
	if rate >= MinRate {
		return rate
	}
	return MinRate
}

func inSeconds(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxWait.Seconds()) * float64(time.Second))
}

// maxWait is the longest wait that is told. An upstream may name a rate of one request in hours.
const maxWait = time.Minute
