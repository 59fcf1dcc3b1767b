// Package queue orders waiting work by rank and deadline, with a floor share for every rank.
package queue
