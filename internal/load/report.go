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

// Sizes of a chart in SVG user units.
const (
	chartWidth     = 1000
	chartHeight    = 90
	maxSecondWidth = 24 // largest width of one second: its bars and a gap of 1
)

// outcomeStyles holds the names and colors of the outcomes of requests, in the order in which the bars of a second are
// stacked from the bottom; Second.counts has the same order.
var outcomeStyles = []struct{ name, color string }{
	{"on target", "#282"}, {"late", "#a80"}, {"refused", "#888"}, {"unknown", "#c22"},
}

// Second counts the outcomes of the requests of one call that were due within one second of a run.
type Second struct {
	OnTarget, Late, Refused, Unknown int
}

func (s Second) counts() []int { return []int{s.OnTarget, s.Late, s.Refused, s.Unknown} }

func (s Second) total() int { return s.OnTarget + s.Late + s.Refused + s.Unknown }

// series holds the outcomes of one call for each second since the start of a run.
type series []Second

// at returns the counts of the second that contains an elapsed time, and extends the series up to that second.
func (s *series) at(elapsed time.Duration) *Second {
	index := max(int(elapsed/time.Second), 0)
	for len(*s) <= index {
		*s = append(*s, Second{})
	}
	return &(*s)[index]
}

// bar is a rectangle of a chart: the requests of one second that had the same outcome.
type bar struct {
	X, Y, Width, Height int
	Color, Title        string
}

// chart holds the figures and bars of one call.
type chart struct {
	*Tally
	P50, P99 time.Duration
	Most     int // requests in the busiest second
	Bars     []bar
}

// report is the data of the HTML template.
type report struct {
	Shape         string
	Charts        []chart
	Legend        []struct{ Name, Color string }
	Verdict       *Verification // nil where the ledgers were not compared
	Worth         float64       // percent of the total worth that was served on target
	Width, Height int
}

// WriteReport writes the result as a self-contained HTML page; verification is nil if the upstreams' ledgers were not
// compared.
func (r *Result) WriteReport(out io.Writer, verification *Verification) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	served, requested := r.Worth()
	page := report{Shape: r.workload, Verdict: verification, Worth: 100 * served / max(requested, 1), Width: chartWidth, Height: chartHeight}
	for _, style := range outcomeStyles {
		page.Legend = append(page.Legend, struct{ Name, Color string }{style.name, style.color})
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
	width := min(chartWidth/max(len(tally.seconds), 1), maxSecondWidth)
	for i, second := range tally.seconds {
		c.Bars = append(c.Bars, barsFor(second, i*width, width, c.Most)...)
	}
	return c
}

// barsFor returns the bars of one second, stacked from the bottom of the chart.
func barsFor(second Second, x, width, most int) []bar {
	var bars []bar
	bottom := chartHeight
	for i, count := range second.counts() {
		height := count * chartHeight / max(most, 1)
		if count == 0 {
			continue
		}
		height = max(height, 1)
		bottom -= height
		bars = append(bars, bar{X: x, Y: bottom, Width: max(width-1, 1), Height: height, Color: outcomeStyles[i].color, Title: outcomeStyles[i].name})
	}
	return bars
}
