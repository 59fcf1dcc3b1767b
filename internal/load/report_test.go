package load

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/pkg/verd"
)

// Every request is in the bar of the second in which it was due, and the page names what was seen.
func TestReportCountsEachSecond(t *testing.T) {
	is := is.New(t)
	result := newResult(Gauteng())
	result.began = time.Now()
	call := Gauteng().Calls[1]
	add := func(due, took time.Duration, answered bool, verdict verd.Verdict) {
		result.add(call, "id", fate{due: result.began.Add(due), took: took, answered: answered, verdict: verdict})
	}
	add(0, time.Millisecond, true, verd.Ran)
	add(999*time.Millisecond, time.Minute, true, verd.Ran)
	add(2*time.Second, time.Millisecond, true, verd.NotRun)
	add(2*time.Second, time.Millisecond, false, verd.MayHaveRun)
	tally := result.tally("booking")
	is.Equal([]Second(tally.seconds), []Second{{OnTarget: 1, Late: 1}, {}, {Refused: 1, Unknown: 1}})
	var page strings.Builder
	verdict := result.Verify(nil)
	is.NoErr(result.WriteReport(&page, &verdict))
	is.Equal(strings.Count(page.String(), "<rect "), 4)
	is.True(strings.Contains(page.String(), "Promises were broken")) // nothing ran, but callers were told so
}
