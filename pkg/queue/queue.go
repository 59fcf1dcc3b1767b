package queue

import (
	"container/heap"
	"time"
)

// Item is one piece of waiting work.
type Item[T any] struct {
	Value    T
	Rank     int // 0 is the most urgent
	Deadline time.Time
	Queued   time.Time
	number   uint64
	place    int // position in its rank's heap, -1 when it is not queued
}

// Queue holds work of several ranks. The most urgent rank goes first, except that a rank with work
// waiting is owed its floor of all starts.
type Queue[T any] struct {
	ranks  []rank[T]
	number uint64
	length int
}

type rank[T any] struct {
	items []*Item[T]
	floor float64 // share of the starts
	owed  float64 // starts that the floor has earned
}

// maxOwed bounds how many starts a rank can save up.
const maxOwed = 4

// New returns a queue with one rank for each floor; the floors are shares that add up to at most 1.
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

// Ahead returns how many items would start before a new one of this rank.
func (q *Queue[T]) Ahead(rank int) int {
	count := 0
	for i := 0; i <= rank; i++ {
		count += len(q.ranks[i].items)
	}
	return count
}

// Push adds an item.
func (q *Queue[T]) Push(now time.Time, value T, rank int, deadline time.Time) *Item[T] {
	q.number++
	item := &Item[T]{Value: value, Rank: rank, Deadline: deadline, Queued: now, number: q.number}
	heap.Push(&q.ranks[rank], item)
	q.length++
	return item
}

// Remove takes an item out wherever it stands; it reports whether the item was still waiting.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	if item.place < 0 {
		return false
	}
	heap.Remove(&q.ranks[item.Rank], item.place)
	q.length--
	return true
}

// Pop takes out the item to start next, or nil when none waits.
func (q *Queue[T]) Pop() *Item[T] {
	if q.length == 0 {
		return nil
	}
	q.earn()
	chosen := q.choose()
	q.ranks[chosen].owed = max(q.ranks[chosen].owed-1, 0)
	item := heap.Pop(&q.ranks[chosen]).(*Item[T])
	q.length--
	return item
}

// earn credits each waiting rank with its floor.
func (q *Queue[T]) earn() {
	for i := range q.ranks {
		r := &q.ranks[i]
		if len(r.items) == 0 {
			r.owed = 0
			continue
		}
		r.owed = min(r.owed+r.floor, maxOwed)
	}
}

// choose returns the most urgent rank, unless another one is owed a start.
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
		if q.ranks[i].owed >= 1 {
			return i
		}
	}
	return first
}

// Len, Less, Swap, Push and Pop order a rank by deadline, then by arrival.
func (r *rank[T]) Len() int { return len(r.items) }

func (r *rank[T]) Less(i, j int) bool {
	a, b := r.items[i], r.items[j]
	if a.Deadline.Equal(b.Deadline) {
		return a.number < b.number
	}
	return a.Deadline.Before(b.Deadline)
}

func (r *rank[T]) Swap(i, j int) {
	r.items[i], r.items[j] = r.items[j], r.items[i]
	r.items[i].place = i
	r.items[j].place = j
}

func (r *rank[T]) Push(x any) {
	item := x.(*Item[T])
	item.place = len(r.items)
	r.items = append(r.items, item)
}

func (r *rank[T]) Pop() any {
	last := len(r.items) - 1
	item := r.items[last]
	r.items[last] = nil
	r.items = r.items[:last]
	item.place = -1
	return item
}
