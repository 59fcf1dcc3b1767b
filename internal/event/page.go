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

// Sizes of the picture, in its own units.
const (
	pageWidth  = 1200
	pageLeft   = 60
	laneHeight = 28
)

const pageTime = "15:04:05.000"

// Colours of events by what they mean for operators.
const (
	colorLoss   = "#c22"
	colorGain   = "#282"
	colorChange = "#248"
)

// lossKinds and gainKinds are the kinds that tell of something lost or come back.
var (
	lossKinds = []string{"host-down", "upstream-silent", "upstream-lost", "zone-alone", "replica-failed"}
	gainKinds = []string{"host-up", "host-started", "zone-rejoined", "upstream-serving"}
)

// lane is the line of one host in the picture.
type lane struct {
	Host string
	Y    int
}

// row is one event in the picture and in the table below it.
type row struct {
	Event
	Number int
	X, Y   int
	Time   string
	Color  string
}

// page is what the picture shows.
type page struct {
	Lanes         []lane
	Rows          []row
	From, To      string
	Width, Height int
	Left          int
}

// WritePage writes events, which are in order, as a page that needs no other file.
func WritePage(out io.Writer, events []Event) error {
	p := page{Width: pageWidth, Left: pageLeft}
	for _, host := range hostsOf(events) {
		p.Lanes = append(p.Lanes, lane{host, laneHeight * (len(p.Lanes) + 1)})
	}
	p.Height = laneHeight * (len(p.Lanes) + 1)
	first, last := span(events)
	p.From, p.To = first.UTC().Format(pageTime), last.UTC().Format(pageTime)
	for i, one := range events {
		at := slices.IndexFunc(p.Lanes, func(l lane) bool { return l.Host == one.Host })
		p.Rows = append(p.Rows, row{
			Event: one, Number: i, X: xOf(one.Stamp.Wall, first, last), Y: p.Lanes[at].Y,
			Time: one.Stamp.Wall.UTC().Format(pageTime), Color: colorOf(one.Kind),
		})
	}
	return pageTemplate.Execute(out, p)
}

func hostsOf(events []Event) []string {
	var hosts []string
	for _, one := range events {
		hosts = append(hosts, one.Host)
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}

// span returns the first and the last time of events.
func span(events []Event) (first, last time.Time) {
	for i, one := range events {
		if wall := one.Stamp.Wall; i == 0 || wall.Before(first) {
			first = wall
		}
		if one.Stamp.Wall.After(last) {
			last = one.Stamp.Wall
		}
	}
	return first, last
}

// xOf places a time between the left edge and the right one.
func xOf(at, first, last time.Time) int {
	const margin = 8
	width := pageWidth - pageLeft - 2*margin
	if !last.After(first) {
		return pageLeft + margin
	}
	return pageLeft + margin + int(float64(width)*float64(at.Sub(first))/float64(last.Sub(first)))
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
