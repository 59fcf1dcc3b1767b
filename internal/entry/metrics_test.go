package entry

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// The operations page lists every metric under its scraped name, with its help text.
func TestMetricsAreDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	scraped := func(name string) string { return "| `lovagelink_" + strings.ReplaceAll(name, "-", "_") }
	for _, c := range counters {
		is.True(strings.Contains(string(page), scraped(c.name)+"_total` | "+c.help))
	}
	for _, g := range gauges {
		is.True(strings.Contains(string(page), scraped(g.name)+"` | "+g.help))
	}
}
