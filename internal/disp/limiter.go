package disp

import "time"

// Parameters of the limiter.
const (
	initialServiceTime   = 20 * time.Millisecond  // assumed until the first responses
	smoothing            = 0.1                    // weight of a new response in the service time
	staleSmoothing       = 0.5                    // weight of a response when the service time is stale
	staleAfter           = 2 * time.Second        // the service time is stale if its newest request is older
	overloadPause        = 100 * time.Millisecond // no request starts for this long after a refusal for overload
	responsesPerIncrease = 8                      // responses for each increase of the limit by 1
)

// limiter limits the concurrency of requests to an upstream and estimates their service time.
type limiter struct {
	maxConcurrency int
	limit          int
	responses      int // since the limit last changed
	serviceTime    time.Duration
	pausedUntil    time.Time // no request starts earlier
	newestSent     time.Time // when the newest request that has a response was sent
}

func newLimiter(concurrency int) limiter {
	return limiter{maxConcurrency: max(concurrency, 1), limit: max(concurrency, 1), serviceTime: initialServiceTime}
}

// onResponse updates the service time with a response, and increases a reduced limit step by step.
func (l *limiter) onResponse(sentAt time.Time, latency time.Duration) {
	weight := smoothing
	if l.isStale(sentAt) {
		weight = staleSmoothing
	}
	if sentAt.After(l.newestSent) {
		l.newestSent = sentAt
	}
	l.serviceTime += time.Duration(weight * float64(latency-l.serviceTime))
	l.responses++
	if l.responses >= responsesPerIncrease && l.limit < l.maxConcurrency {
		l.limit++
		l.responses = 0
	}
}

// isStale reports whether the service time is based only on old responses.
func (l *limiter) isStale(now time.Time) bool { return now.Sub(l.newestSent) > staleAfter }

// recentServiceTime returns the estimated service time, or 0 if it is stale.
func (d *Dispatcher) recentServiceTime(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.limiter.isStale(now) {
		return 0
	}
	return d.limiter.serviceTime
}

// onOverload halves the limit and pauses new requests after the upstream has refused a request for overload.
func (l *limiter) onOverload(now time.Time) {
	l.limit = max(l.limit/2, 1)
	l.responses = 0
	l.pausedUntil = now.Add(overloadPause)
}

// estimateWait estimates how long a request waits in the queue behind the given number of requests.
func (l *limiter) estimateWait(ahead int) time.Duration {
	return time.Duration(ahead) * l.serviceTime / time.Duration(l.limit)
}
