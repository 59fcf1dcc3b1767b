package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A near upstream is chosen while it can respond on target, and otherwise the fastest one.
func TestChooseNearWhileOnTarget(t *testing.T) {
	is := is.New(t)
	candidates := []Candidate{
		{Cost: 80 * time.Millisecond},
		{IsNear: true, Cost: 140 * time.Millisecond},
		{IsNear: true, Cost: 200 * time.Millisecond},
	}
	best, ok := Choose(candidates, 250*time.Millisecond)
	is.True(ok)
	is.Equal(best, 1)
	best, _ = Choose(candidates, 200*time.Millisecond)
	is.Equal(best, 0)
	best, _ = Choose(candidates, -time.Second)
	is.Equal(best, 0)
	best, _ = Choose([]Candidate{{Cost: 130 * time.Millisecond}, {IsNear: true, Cost: 150 * time.Millisecond}}, 0)
	is.Equal(best, 1) // the upstream in the other zone is not faster by the margin
	_, ok = Choose(nil, time.Second)
	is.True(!ok)
}
