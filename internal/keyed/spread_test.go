package keyed

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Simulates low utilization: upstreams with six slots and speeds of 0.5, 1, 1 and 1.5, a third of the slots busy, and
// widely varying service times with a mean of 160 ms. If load is distributed by speed alone, more requests miss the
// target of 500 ms than if the fast upstreams are preferred.
func TestFastUpstreamsAreOnTarget(t *testing.T) {
	is := is.New(t)
	speeds := []float64{0.5, 1, 1, 1.5}
	const slots, perSecond, meanWork, target = 6, 50.0, 0.16, 0.5
	late := func(bias float64) int {
		random := rand.New(rand.NewPCG(1, 2))
		total := 0.0
		for _, speed := range speeds {
			total += Capacity(slots, speed, bias)
		}
		free := make([][slots]float64, len(speeds)) // when each slot becomes free
		count := 0
		for now := 0.0; now < 400; now += random.ExpFloat64() / perSecond {
			pick, at := random.Float64()*total, 0
			for pick -= Capacity(slots, speeds[0], bias); pick > 0 && at < len(speeds)-1; {
				at++
				pick -= Capacity(slots, speeds[at], bias)
			}
			slot := 0
			for i, until := range free[at] {
				if until < free[at][slot] {
					slot = i
				}
			}
			serviceTime := meanWork * (0.3 + 0.7*random.ExpFloat64()) / speeds[at]
			free[at][slot] = max(now, free[at][slot]) + serviceTime
			if free[at][slot]-now > target {
				count++
			}
		}
		return count
	}
	capacity := 0.0
	for _, speed := range speeds {
		capacity += slots * speed
	}
	bias := Bias(perSecond*meanWork, capacity, slots)
	even, biased := late(0), late(bias)
	t.Logf("bias %.2f: late %d, by speed alone %d", bias, biased, even)
	is.True(biased*4 < even*3) // at least a quarter fewer
}

// Near full utilization, and without any measured demand, the bias is 0.
func TestNoBiasNearFullUse(t *testing.T) {
	is := is.New(t)
	is.Equal(Bias(17, 24, 6), 0.0) // more than two thirds of six slots each
	is.Equal(Bias(0, 24, 6), 0.0)
	is.Equal(Bias(11, 54, 1), 0.0)
	is.True(Bias(8, 24, 6) > Bias(12, 24, 6))
	is.True(Bias(8, 24, 2) < Bias(8, 24, 6)) // with fewer slots, a queue forms at a lower utilization
}

func TestRate(t *testing.T) {
	is := is.New(t)
	var loads Loads
	now := time.Unix(1000, 0)
	is.Equal(loads.Rate(now), 0.0)
	for second := range 20 {
		loads.Add(now, map[int]int{1: 30, 2: 20})
		rate := loads.Rate(now.Add(time.Millisecond))
		if second < 4 {
			is.Equal(rate, 0.0) // too few counts for an estimate
		} else {
			is.True(rate > 45 && rate < 60)
		}
		now = now.Add(time.Second)
	}
}
