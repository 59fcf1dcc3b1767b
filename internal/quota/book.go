package quota

import "time"

// bucketTTL is how long a bucket is kept after its last request. By then it would be full again, but for rates below one
// request in that time.
const bucketTTL = 30 * time.Second

// Book holds a bucket for each upstream, by a key of type K.
type Book[K comparable] struct {
	buckets  map[K]*Bucket
	prunedAt time.Time
}

// NewBook returns an empty book.
func NewBook[K comparable]() *Book[K] { return &Book[K]{buckets: make(map[K]*Bucket)} }

// Take withdraws one request to an upstream at a rate of requests per second.
func (b *Book[K]) Take(now time.Time, upstream K, rate float64, rank int) Answer {
	b.prune(now)
	bucket := b.buckets[upstream]
	if bucket == nil {
		bucket = &Bucket{}
		b.buckets[upstream] = bucket
	}
	return bucket.Take(now, rate, rank)
}

// prune forgets the buckets of upstreams without requests, since each start of an upstream has another key.
func (b *Book[K]) prune(now time.Time) {
	if now.Sub(b.prunedAt) < bucketTTL {
		return
	}
	b.prunedAt = now
	for key, bucket := range b.buckets {
		if now.Sub(bucket.updated) >= bucketTTL {
			delete(b.buckets, key)
		}
	}
}
