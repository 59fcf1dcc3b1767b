package keyed

import (
	"math"
	"time"

	"lovagelink.example/lovagelink/internal/realm"
)

// Buckets is the number of equal parts of the keys in which requests are counted.
const Buckets = 256

const bucketKeys = 65536 / Buckets

// halfLife is the time in which the weight of past requests halves. Busy keys change within some seconds, and a single
// second has too few requests to go by.
const halfLife = 4 * time.Second

// idleShare is what a bucket counts without any request, as a share of the mean, so that idle keys are spread too.
const idleShare = 0.1

// Bucket returns the part of the keys that a key lies in.
func Bucket(key uint16) int { return int(key) / bucketKeys }

// Loads is how many requests each part of the keys of one service gets.
type Loads struct {
	counts [Buckets]float64
	began  time.Time // of the counting
	at     time.Time
}

// Add takes in counts by bucket.
func (l *Loads) Add(now time.Time, counts map[int]int) {
	if !l.at.IsZero() {
		decay := math.Exp2(-float64(now.Sub(l.at)) / float64(halfLife))
		for i := range l.counts {
			l.counts[i] *= decay
		}
	}
	if l.at.IsZero() {
		l.began = now
	}
	l.at = now
	for bucket, count := range counts {
		if bucket >= 0 && bucket < Buckets {
			l.counts[bucket] += float64(count)
		}
	}
}

// Rate returns the requests a second, lately.
func (l *Loads) Rate(now time.Time) float64 {
	total := 0.0
	for _, count := range l.counts {
		total += count
	}
	if total == 0 || l.at.Sub(l.began) < halfLife {
		return 0 // too few counts to go by
	}
	total *= math.Exp2(-float64(now.Sub(l.at)) / float64(halfLife))
	counted := 1 - math.Exp2(-float64(l.at.Sub(l.began)+firstCounted)/float64(halfLife))
	return total / counted * math.Ln2 / halfLife.Seconds()
}

// firstCounted is the time that the first counts are taken to be of: hosts report each second.
const firstCounted = time.Second

// weights returns the load of each bucket, in shares of the whole.
func (l *Loads) weights() [Buckets]float64 {
	total := 0.0
	for _, count := range l.counts {
		total += count
	}
	idle := idleShare * total / Buckets
	if total == 0 {
		idle = 1
	}
	var weights [Buckets]float64
	for i, count := range l.counts {
		weights[i] = (count + idle) / (total + idle*Buckets)
	}
	return weights
}

// weightOf returns the share of the load that some keys get; within a bucket all keys count alike.
func weightOf(weights *[Buckets]float64, keys realm.KeyRange) float64 {
	sum := 0.0
	for i := Bucket(keys.From); i <= Bucket(keys.To); i++ {
		from := max(i*bucketKeys, int(keys.From))
		to := min((i+1)*bucketKeys-1, int(keys.To))
		sum += weights[i] * float64(to-from+1) / bucketKeys
	}
	return sum
}

// cutAt returns the last key such that the keys from the start to it have about the given weight, at least one key.
func cutAt(weights *[Buckets]float64, keys realm.KeyRange, weight float64) uint16 {
	sum := 0.0
	for i := Bucket(keys.From); i <= Bucket(keys.To); i++ {
		from := max(i*bucketKeys, int(keys.From))
		to := min((i+1)*bucketKeys-1, int(keys.To))
		part := weights[i] * float64(to-from+1) / bucketKeys
		if sum+part >= weight {
			count := 1
			if part > 0 {
				count = int(math.Round((weight - sum) / part * float64(to-from+1)))
			}
			return uint16(min(max(from+count-1, int(keys.From)), int(keys.To)))
		}
		sum += part
	}
	return keys.To
}
