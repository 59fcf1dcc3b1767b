package queue

import (
	"container/heap"
	"time"
)

// Item is one queued item, with its value and the time at which it was queued.
type Item[T any] struct {
	Value    T
	Rank     int // 0 is the most urgent
	Deadline time.Time
	Queued   time.Time
	sequence uint64
	index    int // index in its rank's heap, -1 when it is not queued
}

// Queue holds items of several ranks. Items of the most urgent rank are popped first, except that each rank with
// waiting items gets at least its floor, a share of all items that are popped. A Queue is not safe for concurrent use.
type Queue[T any] struct {
	ranks    []rank[T]
	sequence uint64
	length   int
}

type rank[T any] struct {
	items  []*Item[T]
	floor  float64 // guaranteed share of the starts, which are the items that Pop returns
	credit float64 // starts that are due to the rank by its floor
}

// maxCredit bounds how many starts a rank can accumulate.
const maxCredit = 4

// New returns a queue with one rank for each floor, the most urgent rank first; the floors are shares from 0 to 1 whose
// sum must be at most 1.
func New[T any](floors ...float64) *Queue[T] {
	q := &Queue[T]{}
	for _, floor := range floors {
		q.ranks = append(q.ranks, rank[T]{floor: floor})
	}
	return q
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int {
	return q.length
}

// Ahead returns the number of waiting items of this rank and the more urgent ones, which would be popped before a new
// item of this rank. It ignores floors and deadlines.
func (q *Queue[T]) Ahead(rank int) int {
	count := 0
	for i := 0; i <= rank; i++ {
		count += len(q.ranks[i].items)
	}
	return count
}

// Push adds an item; now becomes its Queued time. The rank must be one of those that New was called for.
func (q *Queue[T]) Push(now time.Time, value T, rank int, deadline time.Time) *Item[T] {
	q.sequence++
	item := &Item[T]{Value: value, Rank: rank, Deadline: deadline, Queued: now, sequence: q.sequence}
	heap.Push(&q.ranks[rank], item)
	q.length++
	return item
}

// Remove removes an item from the queue; it reports whether the item was still queued.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	if item.index < 0 {
		return false
	}
	heap.Remove(&q.ranks[item.Rank], item.index)
	q.length--
	return true
}

// Pop removes and returns the item to start next, or returns nil if the queue is empty.
func (q *Queue[T]) Pop() *Item[T] {
	if q.length == 0 {
		return nil
	}
	q.addCredit()
	chosen := q.choose()
	q.ranks[chosen].credit = max(q.ranks[chosen].credit-1, 0)
	item := heap.Pop(&q.ranks[chosen]).(*Item[T])
	q.length--
	return item
}

// addCredit adds its floor to the credit of each rank that has waiting items.
func (q *Queue[T]) addCredit() {
	for i := range q.ranks {
		r := &q.ranks[i]
		if len(r.items) == 0 {
			r.credit = 0
			continue
		}
		r.credit = min(r.credit+r.floor, maxCredit)
	}
}

// choose returns the most urgent rank with waiting items, unless another rank has credit for a start.
func (q *Queue[T]) choose() int {
	first := -1
	for i := range q.ranks {
		if len(q.ranks[i].items) == 0 {
			continue
		}
		if first < 0 {
			first = i
			continue
		}
		if q.ranks[i].credit >= 1 {
			return i
		}
	}
	return first
}

// Len, Less, Swap, Push and Pop implement heap.Interface. They order a rank by deadline, then by arrival.
func (r *rank[T]) Len() int { return len(r.items) }

func (r *rank[T]) Less(i, j int) bool {
	a, b := r.items[i], r.items[j]
	if a.Deadline.Equal(b.Deadline) {
		return a.sequence < b.sequence
	}
	return a.Deadline.Before(b.Deadline)
}

func (r *rank[T]) Swap(i, j int) {
	r.items[i], r.items[j] = r.items[j], r.items[i]
	r.items[i].index = i
	r.items[j].index = j
}

func (r *rank[T]) Push(x any) {
	item := x.(*Item[T])
	item.index = len(r.items)
	r.items = append(r.items, item)
}

func (r *rank[T]) Pop() any {
	last := len(r.items) - 1
	item := r.items[last]
	r.items[last] = nil
	r.items = r.items[:last]
	item.index = -1
	return item
}
