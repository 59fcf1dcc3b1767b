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
	destinations := []Destination{{Service: "s", Weight: 1}}
	config := &Config{
		Services: []Service{{Name: "s"}},
		Routes: []Route{
			{Name: "all", Host: "A.example", Prefix: "/", Timeout: time.Second, Destinations: destinations},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/", Timeout: time.Second, Destinations: destinations},
			{Name: "x", Host: "a.example", Prefix: "/x/", Timeout: time.Second, Destinations: destinations},
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

// After any number of requests, the count of each service deviates from its share by less than the number of services.
func TestSplitKeepsItsWeights(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var destinations []Destination
		total := 0.0
		for i := range rapid.IntRange(1, 5).Draw(rt, "parts") {
			weight := float64(rapid.IntRange(0, 100).Draw(rt, "weight"))
			destinations = append(destinations, Destination{Service: string(rune('a' + i)), Weight: weight})
			total += weight
		}
		if total == 0 {
			return
		}
		var split Split
		counts := make(map[string]float64)
		for n := 1; n <= 300; n++ {
			counts[split.Pick(destinations)]++
			for _, destination := range destinations {
				if off := math.Abs(counts[destination.Service] - float64(n)*destination.Weight/total); off >= float64(len(destinations)) {
					rt.Fatalf("after %d requests %s is %.1f off", n, destination.Service, off)
				}
			}
		}
	})
}
