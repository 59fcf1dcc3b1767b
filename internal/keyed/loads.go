package keyed

import (
	"math"
	"time"

	"lovagelink.example/lovagelink/internal/realm"
)

// Buckets is the number of equal ranges into which the key space is divided for counting requests. A service with a
// thousand owners has several buckets for each.
const Buckets = 4096

// With few owners, the counts of neighbouring buckets are joined: there are too few requests to tell them apart.
const (
	maxCoarseOwners = 128 // most owners for which buckets are joined
	joinedBuckets   = 16
)

const keysPerBucket = 65536 / Buckets

// halfLife is the time in which the weight of past requests halves. Busy keys change within a few seconds, and a single
// second has too few requests for an estimate.
const halfLife = 4 * time.Second

// idleShare is the weight of a bucket without requests, as a share of the mean, so that idle keys are distributed too.
const idleShare = 0.1

// Bucket returns the index of the bucket that contains a key.
func Bucket(key uint16) int { return int(key) / keysPerBucket }

// surgeHalfLife is the half-life of the counts that show a change of the load early: keys become busy for a few seconds
// only. surgeDeviations is by how many standard deviations these counts must differ from what the others predict.
const (
	surgeHalfLife   = 700 * time.Millisecond
	surgeDeviations = 4.0
)

// Loads is an exponentially decaying count of the requests to each bucket of one service's keys.
type Loads struct {
	counts    [Buckets]float64
	recent    [Buckets]float64 // the same with surgeHalfLife
	startedAt time.Time        // time of the first Add
	updatedAt time.Time
}

// Add adds request counts by bucket.
func (l *Loads) Add(now time.Time, counts map[int]int) {
	if !l.updatedAt.IsZero() {
		passed := float64(now.Sub(l.updatedAt))
		decay, recentDecay := math.Exp2(-passed/float64(halfLife)), math.Exp2(-passed/float64(surgeHalfLife))
		for i := range l.counts {
			l.counts[i] *= decay
			l.recent[i] *= recentDecay
		}
	}
	if l.updatedAt.IsZero() {
		l.startedAt = now
	}
	l.updatedAt = now
	for bucket, count := range counts {
		if bucket >= 0 && bucket < Buckets {
			l.counts[bucket] += float64(count)
			l.recent[bucket] += float64(count)
		}
	}
}

// current returns the count of some neighbouring buckets: the decaying one, or, if the recent requests show that the
// load has changed, what their rate would come to. Both counts cover the same requests with other weights; ratio is that
// of the recent count to the other one for a constant rate.
func (l *Loads) current(first, last int, ratio float64) float64 {
	count, recent := 0.0, 0.0
	for i := first; i < last; i++ {
		count += l.counts[i]
		recent += l.recent[i]
	}
	expected := count * ratio
	if math.Abs(recent-expected) > surgeDeviations*math.Sqrt(expected+1) {
		return recent / ratio
	}
	return count
}

// weightOfPast returns the time that the decaying counts with a half-life stand for, but for a constant factor.
func (l *Loads) weightOfPast(halfLife time.Duration) float64 {
	observed := 1 - math.Exp2(-float64(l.updatedAt.Sub(l.startedAt)+firstInterval)/float64(halfLife))
	return observed * float64(halfLife)
}

// Rate returns the recent rate in requests per second, 0 if there are too few counts for an estimate.
func (l *Loads) Rate(now time.Time) float64 {
	total := l.total()
	if total == 0 || l.updatedAt.Sub(l.startedAt) < halfLife {
		return 0 // too few counts for an estimate
	}
	total *= math.Exp2(-float64(now.Sub(l.updatedAt)) / float64(halfLife))
	return total * math.Ln2 / l.weightOfPast(halfLife) * float64(time.Second)
}

// firstInterval is the time that the first counts are assumed to cover: hosts report every half second.
const firstInterval = 500 * time.Millisecond

// total returns the number of requests that have been counted, the older ones in part.
func (l *Loads) total() float64 {
	total := 0.0
	for _, count := range l.counts {
		total += count
	}
	return total
}

// weights is the load of equal parts of the key space, as shares of the total.
type weights struct {
	shares      []float64
	keysPerPart int
}

// weightsFor returns the weights for a number of owners.
func (l *Loads) weightsFor(owners int) *weights {
	joined := 1
	if owners <= maxCoarseOwners {
		joined = joinedBuckets
	}
	w := &weights{shares: make([]float64, Buckets/joined), keysPerPart: keysPerBucket * joined}
	total := 0.0
	if !l.updatedAt.IsZero() {
		ratio := l.weightOfPast(surgeHalfLife) / l.weightOfPast(halfLife)
		for i := range w.shares {
			w.shares[i] = l.current(i*joined, (i+1)*joined, ratio)
			total += w.shares[i]
		}
	}
	parts := float64(len(w.shares))
	idle := idleShare * total / parts
	if total == 0 {
		idle = 1
	}
	for i := range w.shares {
		w.shares[i] = (w.shares[i] + idle) / (total + idle*parts)
	}
	return w
}

// of returns the load of a range as a share of the total; within a part all keys weigh the same.
func (w *weights) of(keys realm.KeyRange) float64 {
	sum := 0.0
	for i := int(keys.From) / w.keysPerPart; i <= int(keys.To)/w.keysPerPart; i++ {
		from := max(i*w.keysPerPart, int(keys.From))
		to := min((i+1)*w.keysPerPart-1, int(keys.To))
		sum += w.shares[i] * float64(to-from+1) / float64(w.keysPerPart)
	}
	return sum
}

// splitKey returns the key at which to split a range so that the part up to and including that key has about the given
// weight. The part has at least one key.
func (w *weights) splitKey(keys realm.KeyRange, weight float64) uint16 {
	sum := 0.0
	for i := int(keys.From) / w.keysPerPart; i <= int(keys.To)/w.keysPerPart; i++ {
		from := max(i*w.keysPerPart, int(keys.From))
		to := min((i+1)*w.keysPerPart-1, int(keys.To))
		share := w.shares[i] * float64(to-from+1) / float64(w.keysPerPart)
		if sum+share >= weight {
			count := 1
			if share > 0 {
				count = int(math.Round((weight - sum) / share * float64(to-from+1)))
			}
			return uint16(min(max(from+count-1, int(keys.From)), int(keys.To)))
		}
		sum += share
	}
	return keys.To
}
