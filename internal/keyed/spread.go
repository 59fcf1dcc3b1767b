package keyed

import (
	"math"
	"time"
)

// Upstreams of one service differ in speed. At low utilization, load is biased towards the fast ones beyond the ratio
// of their speeds, since a slow upstream responds late however little load it has. Near full utilization all upstreams
// are needed, and each gets load in proportion to its speed.
const (
	maxBias        = 3.0 // exponent of the speed by which load is shifted at almost no utilization
	staffingFactor = 1.0 // factor of the square root of the slots that is free at full use: square-root staffing
	minFullUse     = 0.2 // least utilization that counts as full use; the formula alone gives 0 for a single slot
)

// Bias returns the exponent of the speed by which the capacity of a fast upstream is raised above its actual capacity.
// The unit of demand and capacity is a slot of an upstream of median speed; slots is the number of slots of one
// upstream.
func Bias(demand, capacity, slots float64) float64 {
	if demand <= 0 || capacity <= 0 {
		return 0
	}
	full := max(minFullUse, 1-staffingFactor/math.Sqrt(max(slots, 1)))
	return maxBias * max(0, 1-demand/capacity/full)
}

// Capacity returns the biased capacity of an upstream with a number of slots, a relative speed and a bias from Bias.
func Capacity(slots, speed, bias float64) float64 { return slots * math.Pow(speed, 1+bias) }

// limitShare is the part of an upstream's limit that its keys are expected to use: demand varies from second to second.
const limitShare = 0.8

// Limited returns the capacity of an upstream that takes at most limit requests per second, of usually so much work; a
// limit of 0 is none. The load pattern is a part of the upstreams that suddenly take half of what they got, while the
// others have room: their keys move there, since requests for them have nowhere else to go.
func Limited(capacity, limit float64, work time.Duration) float64 {
	if limit <= 0 || work <= 0 {
		return capacity
	}
	return min(capacity, limitShare*limit*work.Seconds())
}
