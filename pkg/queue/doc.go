// Package queue orders waiting items by rank and deadline, with a guaranteed minimum share of starts, the floor, for
// each rank.
package queue
