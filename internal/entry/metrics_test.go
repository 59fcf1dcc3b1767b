package entry

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Operators find each metric in their page under the name that it is scraped by.
func TestMetricsAreDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	scraped := func(name string) string { return "| `lovagelink_" + strings.ReplaceAll(name, "-", "_") }
	for _, one := range counts {
		is.True(strings.Contains(string(page), scraped(one.name)+"_total` | "+one.help))
	}
	for _, one := range gauges {
		is.True(strings.Contains(string(page), scraped(one.name)+"` | "+one.help))
	}
}
