package load

import (
	_ "embed"
	"html/template"
	"io"
	"time"
)

//go:embed report.html
var reportText string

var reportTemplate = template.Must(template.New("report").Parse(reportText))

// Sizes of a chart, in its own units.
const (
	chartWidth  = 1000
	chartHeight = 90
	maxBar      = 24
)

// fates of requests in the order in which a bar stacks them.
var fates = []struct{ name, color string }{
	{"on target", "#282"}, {"late", "#a80"}, {"refused", "#888"}, {"unknown", "#c22"},
}

// Second counts the fates of one kind of call that was due within a second of a run.
type Second struct {
	OnTarget, Late, Refused, Unknown int
}

func (s Second) counts() []int { return []int{s.OnTarget, s.Late, s.Refused, s.Unknown} }

func (s Second) total() int { return s.OnTarget + s.Late + s.Refused + s.Unknown }

// series are the seconds of one kind of call.
type series []Second

// at returns the second in which a request was due.
func (s *series) at(since time.Duration) *Second {
	number := max(int(since/time.Second), 0)
	for len(*s) <= number {
		*s = append(*s, Second{})
	}
	return &(*s)[number]
}

// bar is a part of a second in the picture.
type bar struct {
	X, Y, Width, Height int
	Color, Title        string
}

// chart is the picture of one kind of call.
type chart struct {
	*Tally
	P50, P99 time.Duration
	Most     int // requests in the busiest second
	Bars     []bar
}

// report is what the page shows.
type report struct {
	Shape         string
	Charts        []chart
	Legend        []struct{ Name, Color string }
	Verdict       *Verification // nil where the ledgers were not compared
	Worth         float64       // percent
	Width, Height int
}

// WriteReport writes a result as a page that needs no other file; verdict is nil where the upstreams' ledgers
// were not compared.
func (r *Result) WriteReport(out io.Writer, verdict *Verification) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	served, asked := r.Worth()
	page := report{Shape: r.shape, Verdict: verdict, Worth: 100 * served / max(asked, 1), Width: chartWidth, Height: chartHeight}
	for _, fate := range fates {
		page.Legend = append(page.Legend, struct{ Name, Color string }{fate.name, fate.color})
	}
	for _, tally := range r.Tallies {
		page.Charts = append(page.Charts, chartOf(tally))
	}
	return reportTemplate.Execute(out, page)
}

func chartOf(tally *Tally) chart {
	const percent50, percent99 = 50, 99
	c := chart{Tally: tally, P50: tally.Percentile(percent50), P99: tally.Percentile(percent99)}
	for _, second := range tally.seconds {
		c.Most = max(c.Most, second.total())
	}
	width := min(chartWidth/max(len(tally.seconds), 1), maxBar)
	for number, second := range tally.seconds {
		c.Bars = append(c.Bars, stack(second, number*width, width, c.Most)...)
	}
	return c
}

// stack draws one second from the bottom up.
func stack(second Second, x, width, most int) []bar {
	var bars []bar
	bottom := chartHeight
	for i, count := range second.counts() {
		height := count * chartHeight / max(most, 1)
		if count == 0 {
			continue
		}
		height = max(height, 1)
		bottom -= height
		bars = append(bars, bar{X: x, Y: bottom, Width: max(width-1, 1), Height: height, Color: fates[i].color, Title: fates[i].name})
	}
	return bars
}
