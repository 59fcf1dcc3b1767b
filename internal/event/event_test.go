package event

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An effect comes after its cause in the merged order, also when its process's clock is behind.
func TestMergeKeepsCauses(t *testing.T) {
	is := is.New(t)
	noon := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	var ahead, behind Clock
	first, second := NewLine("a", &ahead), NewLine("b", &behind)
	first.Add(noon, "cause", "", "")
	behind.Observe(ahead.Next(noon))
	second.Add(noon.Add(-time.Hour), "effect", "", "")
	merged := Merge(second.All(), first.All())
	is.Equal(merged[0].Kind, "cause")
	is.Equal(merged[1].Kind, "effect")
}
