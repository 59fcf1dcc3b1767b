package event

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// An effect comes after its cause in the merged order, even if the wall clock of its process is an hour behind.
func TestMergeKeepsCauses(t *testing.T) {
	is := is.New(t)
	noon := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	var ahead, behind Clock
	first, second := NewTimeline("a", &ahead), NewTimeline("b", &behind)
	first.Add(noon, "cause", "", "")
	behind.Observe(ahead.Next(noon))
	second.Add(noon.Add(-time.Hour), "effect", "", "")
	merged := Merge(second.All(), first.All())
	is.Equal(merged[0].Kind, "cause")
	is.Equal(merged[1].Kind, "effect")
}

func TestFilter(t *testing.T) {
	is := is.New(t)
	noon := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	timeline := NewTimeline("a", &Clock{})
	timeline.Add(noon, "host-up", "b", "")
	timeline.Add(noon.Add(time.Minute), "host-down", "b", "")
	timeline.Add(noon.Add(2*time.Minute), "host-down", "c", "")
	for _, test := range []struct {
		filter Filter
		want   int
	}{
		{Filter{}, 3},
		{Filter{Kind: "host-d"}, 2},
		{Filter{Subject: "b"}, 2},
		{Filter{Host: "b"}, 0},
		{Filter{Since: noon.Add(time.Minute)}, 2},
		{Filter{Since: noon.Add(time.Second), Until: noon.Add(time.Minute)}, 1},
	} {
		is.Equal(len(test.filter.Apply(timeline.All())), test.want)
	}
}

// The page references no other resource, and it escapes the texts of events.
func TestPageStandsAlone(t *testing.T) {
	is := is.New(t)
	timeline := NewTimeline("a", &Clock{})
	timeline.Add(time.Unix(1000, 0), "replica-failed", "a", "<script>alert(1)</script>")
	var page strings.Builder
	is.NoErr(WritePage(&page, timeline.All()))
	text := page.String()
	is.True(strings.Contains(text, "replica-failed"))
	is.True(!strings.Contains(text, "<script"))
	is.True(!strings.Contains(text, "http"))
	is.NoErr(WritePage(&page, nil))
}
