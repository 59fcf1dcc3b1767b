package load

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/pkg/verd"
)

// Each request is counted in the second in which it was due, and the page has a bar for each outcome of a second.
func TestReportCountsEachSecond(t *testing.T) {
	is := is.New(t)
	result := newResult(Gauteng())
	result.start = time.Now()
	call := Gauteng().Calls[1]
	record := func(due, latency time.Duration, hasResponse bool, verdict verd.Verdict) {
		result.record(call, "id",
			outcome{due: result.start.Add(due), latency: latency, hasResponse: hasResponse, verdict: verdict})
	}
	record(0, time.Millisecond, true, verd.Ran)
	record(999*time.Millisecond, time.Minute, true, verd.Ran)
	record(2*time.Second, time.Millisecond, true, verd.NotRun)
	record(2*time.Second, time.Millisecond, false, verd.MayHaveRun)
	tally := result.tally("booking")
	is.Equal([]Second(tally.seconds), []Second{{OnTarget: 1, Late: 1}, {}, {Refused: 1, Unknown: 1}})
	var page strings.Builder
	verification := result.Verify(nil)
	is.NoErr(result.WriteReport(&page, &verification))
	is.Equal(strings.Count(page.String(), "<rect "), 4)
	is.True(strings.Contains(page.String(), "Promises were broken")) // the ledger is empty, but the verdict was "ran"
}
