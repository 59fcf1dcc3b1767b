package keyed

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A replay of a calm day: upstreams with six slots of speeds 0.5, 1, 1 and 1.5, a third of them busy, and work of 160 ms
// that spreads widely. Shared by what each can do, more requests miss 500 ms than when the fast ones are preferred.
func TestFastUpstreamsAreOnTarget(t *testing.T) {
	is := is.New(t)
	speeds := []float64{0.5, 1, 1, 1.5}
	const slots, perSecond, work, wanted = 6, 50.0, 0.16, 0.5
	late := func(bias float64) int {
		random := rand.New(rand.NewPCG(1, 2))
		total := 0.0
		for _, speed := range speeds {
			total += Capacity(slots, speed, bias)
		}
		free := make([][slots]float64, len(speeds)) // when each slot is free
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
			took := work * (0.3 + 0.7*random.ExpFloat64()) / speeds[at]
			free[at][slot] = max(now, free[at][slot]) + took
			if free[at][slot]-now > wanted {
				count++
			}
		}
		return count
	}
	capacity := 0.0
	for _, speed := range speeds {
		capacity += slots * speed
	}
	bias := Bias(perSecond*work, capacity, slots)
	even, biased := late(0), late(bias)
	t.Logf("bias %.2f: late %d, by speed alone %d", bias, biased, even)
	is.True(biased*4 < even*3) // a quarter fewer at least
}

// Near full use each upstream counts for what it can do, and where nothing is known too.
func TestNoBiasNearFullUse(t *testing.T) {
	is := is.New(t)
	is.Equal(Bias(17, 24, 6), 0.0) // over two thirds of six slots each
	is.Equal(Bias(0, 24, 6), 0.0)
	is.Equal(Bias(11, 54, 1), 0.0)
	is.True(Bias(8, 24, 6) > Bias(12, 24, 6))
	is.True(Bias(8, 24, 2) < Bias(8, 24, 6)) // a queue forms sooner at few slots
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
			is.Equal(rate, 0.0) // too few counts to go by
		} else {
			is.True(rate > 45 && rate < 60)
		}
		now = now.Add(time.Second)
	}
}
