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
// load has changed, what their rate would come to.
func (l *Loads) current(first, last int) float64 {
	count, recent := 0.0, 0.0
	for i := first; i < last; i++ {
		count += l.counts[i]
		recent += l.recent[i]
	}
	const ratio = float64(halfLife) / float64(surgeHalfLife)
	observed := 1 - math.Exp2(-float64(l.updatedAt.Sub(l.startedAt)+firstInterval)/float64(halfLife))
	expected := count / observed / ratio
	if math.Abs(recent-expected) > surgeDeviations*math.Sqrt(expected+1) {
		return recent * ratio * observed
	}
	return count
}

// Rate returns the recent rate in requests per second, 0 if there are too few counts for an estimate.
func (l *Loads) Rate(now time.Time) float64 {
	total := l.total()
	if total == 0 || l.updatedAt.Sub(l.startedAt) < halfLife {
		return 0 // too few counts for an estimate
	}
	total *= math.Exp2(-float64(now.Sub(l.updatedAt)) / float64(halfLife))
	observed := 1 - math.Exp2(-float64(l.updatedAt.Sub(l.startedAt)+firstInterval)/float64(halfLife))
	return total / observed * math.Ln2 / halfLife.Seconds()
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

// weights returns the load of each bucket as a share of the total, for a number of owners.
func (l *Loads) weights(owners int) *[Buckets]float64 {
	joined := 1
	if owners <= maxCoarseOwners {
		joined = joinedBuckets
	}
	weights := new([Buckets]float64)
	total := 0.0
	for first := 0; first < Buckets; first += joined {
		count := l.current(first, first+joined) / float64(joined)
		for i := first; i < first+joined; i++ {
			weights[i] = count
			total += count
		}
	}
	idle := idleShare * total / Buckets
	if total == 0 {
		idle = 1
	}
	for i := range weights {
		weights[i] = (weights[i] + idle) / (total + idle*Buckets)
	}
	return weights
}

// weightOf returns the load of a range as a share of the total; within a bucket all keys weigh the same.
func weightOf(weights *[Buckets]float64, keys realm.KeyRange) float64 {
	sum := 0.0
	for i := Bucket(keys.From); i <= Bucket(keys.To); i++ {
		from := max(i*keysPerBucket, int(keys.From))
		to := min((i+1)*keysPerBucket-1, int(keys.To))
		sum += weights[i] * float64(to-from+1) / keysPerBucket
	}
	return sum
}

// splitKey returns the key at which to split a range so that the part up to and including that key has about the given
// weight. The part has at least one key.
func splitKey(weights *[Buckets]float64, keys realm.KeyRange, weight float64) uint16 {
	sum := 0.0
	for i := Bucket(keys.From); i <= Bucket(keys.To); i++ {
		from := max(i*keysPerBucket, int(keys.From))
		to := min((i+1)*keysPerBucket-1, int(keys.To))
		share := weights[i] * float64(to-from+1) / keysPerBucket
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
