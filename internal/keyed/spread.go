package keyed

import "math"

// Upstreams of one service differ in speed. While there is room, the fast ones get more than their speed alone would
// give them, since a request is late at a slow one however little it has to do; near full use all are needed, and each
// gets what it can do.
const (
	mostBias  = 3.0 // power of the speed by which the load is shifted where there is next to none
	staffing  = 1.0 // of the square root of the slots that is kept free at full use, as in square-root staffing
	leastFull = 0.2 // least use that counts as full; by the formula, that of a single slot
)

// Bias returns the power of its speed by which the capacity of an upstream counts beyond what it can do. Demand and
// capacity are in slots of an upstream of median speed, slots are those of one upstream.
func Bias(demand, capacity, slots float64) float64 {
	if demand <= 0 || capacity <= 0 {
		return 0
	}
	full := max(leastFull, 1-staffing/math.Sqrt(max(slots, 1)))
	return mostBias * max(0, 1-demand/capacity/full)
}

// Capacity returns what an upstream counts for with a number of slots, a speed and a bias.
func Capacity(slots, speed, bias float64) float64 { return slots * math.Pow(speed, 1+bias) }
