package event

import (
	_ "embed"
	"html/template"
	"io"
	"slices"
	"time"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// Sizes in the chart, in SVG user units.
const (
	pageWidth  = 1200
	pageLeft   = 60
	laneHeight = 28
)

const timeFormat = "15:04:05.000"

// Colors of events by their meaning for operators.
const (
	colorLoss   = "#c22"
	colorGain   = "#282"
	colorChange = "#248"
)

// lossKinds and gainKinds are the kinds of events that report a loss or a recovery.
var (
	lossKinds = []string{"host-down", "upstream-silent", "upstream-lost", "zone-alone", "replica-failed"}
	gainKinds = []string{"host-up", "host-started", "zone-rejoined", "upstream-serving"}
)

// lane is the horizontal line of one host in the chart.
type lane struct {
	Host string
	Y    int
}

// row is one event, in the chart and in the table below it.
type row struct {
	Event
	Number int
	X, Y   int
	Time   string
	Color  string
}

// page is the data of the HTML template.
type page struct {
	Lanes         []lane
	Rows          []row
	From, To      string
	Width, Height int
	Left          int
}

// WritePage writes ordered events as a self-contained HTML page.
func WritePage(out io.Writer, events []Event) error {
	p := page{Width: pageWidth, Left: pageLeft}
	for _, host := range hostsOf(events) {
		p.Lanes = append(p.Lanes, lane{host, laneHeight * (len(p.Lanes) + 1)})
	}
	p.Height = laneHeight * (len(p.Lanes) + 1)
	first, last := span(events)
	p.From, p.To = first.UTC().Format(timeFormat), last.UTC().Format(timeFormat)
	for i, event := range events {
		laneIndex := slices.IndexFunc(p.Lanes, func(l lane) bool { return l.Host == event.Host })
		p.Rows = append(p.Rows, row{
			Event: event, Number: i, X: xOf(event.Stamp.Wall, first, last), Y: p.Lanes[laneIndex].Y,
			Time: event.Stamp.Wall.UTC().Format(timeFormat), Color: colorOf(event.Kind),
		})
	}
	return pageTemplate.Execute(out, p)
}

func hostsOf(events []Event) []string {
	var hosts []string
	for _, event := range events {
		hosts = append(hosts, event.Host)
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}

// span returns the earliest and the latest wall-clock time of events.
func span(events []Event) (first, last time.Time) {
	for i, event := range events {
		if wall := event.Stamp.Wall; i == 0 || wall.Before(first) {
			first = wall
		}
		if event.Stamp.Wall.After(last) {
			last = event.Stamp.Wall
		}
	}
	return first, last
}

// xOf returns the x coordinate of a time, scaled so that first to last spans the chart.
func xOf(wall, first, last time.Time) int {
	const margin = 8
	width := pageWidth - pageLeft - 2*margin
	if !last.After(first) {
		return pageLeft + margin
	}
	return pageLeft + margin + int(float64(width)*float64(wall.Sub(first))/float64(last.Sub(first)))
}

func colorOf(kind string) string {
	switch {
	case slices.Contains(lossKinds, kind):
		return colorLoss
	case slices.Contains(gainKinds, kind):
		return colorGain
	}
	return colorChange
}
