package route

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestLongestPrefixWins(t *testing.T) {
	is := is.New(t)
	parts := []Destination{{Service: "s", Weight: 1}}
	config := &Config{
		Services: []Service{{Name: "s"}},
		Routes: []Route{
			{Name: "all", Host: "A.example", Prefix: "/", Timeout: time.Second, Destinations: parts},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/", Timeout: time.Second, Destinations: parts},
			{Name: "x", Host: "a.example", Prefix: "/x/", Timeout: time.Second, Destinations: parts},
		},
	}
	is.NoErr(config.Check())
	table := NewTable(config)
	for path, want := range map[string]string{"/x/y/z": "deep", "/x/z": "x", "/x": "all", "/": "all"} {
		is.Equal(table.Find("a.example:80", path).Name, want)
	}
	is.True(table.Find("b.example", "/") == nil)
	is.True(NewTable(&Config{}).Find("a.example", "/") == nil)
}

// Over any run of requests each service is off its share by fewer requests than there are services.
func TestSplitKeepsItsWeights(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var parts []Destination
		total := 0.0
		for i := range rapid.IntRange(1, 5).Draw(rt, "parts") {
			weight := float64(rapid.IntRange(0, 100).Draw(rt, "weight"))
			parts = append(parts, Destination{Service: string(rune('a' + i)), Weight: weight})
			total += weight
		}
		if total == 0 {
			return
		}
		var split Split
		counts := make(map[string]float64)
		for n := 1; n <= 300; n++ {
			counts[split.Pick(parts)]++
			for _, part := range parts {
				if off := math.Abs(counts[part.Service] - float64(n)*part.Weight/total); off >= float64(len(parts)) {
					rt.Fatalf("after %d requests %s is %.1f off", n, part.Service, off)
				}
			}
		}
	})
}
