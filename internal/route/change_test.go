package route

import (
	"cmp"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// A configuration that a follower puts together from a change has the routes that the operator sent.
func TestChangeLeadsToTheSameRoutes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(version uint64) *Config {
			config := &Config{Version: version, Services: []Service{{Name: fmt.Sprint("s", version)}}, Limits: Limits{BodyBytes: int64(version)}}
			for i := range 12 {
				if rapid.Bool().Draw(rt, "present") {
					config.Routes = append(config.Routes, Route{
						Name: fmt.Sprint("r", i), Host: fmt.Sprint("h", i%2), Prefix: fmt.Sprintf("/%d/", i/2),
						Timeout:      time.Duration(rapid.IntRange(1, 2).Draw(rt, "timeout")) * time.Second,
						Destinations: []Destination{{Service: "s", Weight: float64(rapid.IntRange(1, 2).Draw(rt, "weight"))}},
					})
				}
			}
			return config
		}
		from, to := draw(3), draw(7)
		data, err := json.Marshal(Diff(from, to))
		if err != nil {
			rt.Fatal(err)
		}
		var change Change
		if err := json.Unmarshal(data, &change); err != nil {
			rt.Fatal(err)
		}
		got := change.Apply(from)
		byKey := func(a, b Route) int { return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Prefix, b.Prefix)) }
		slices.SortFunc(got.Routes, byKey)
		slices.SortFunc(to.Routes, byKey)
		if len(got.Routes) == 0 {
			got.Routes = to.Routes[:0:0]
		}
		if len(got.Routes) != len(to.Routes) || len(to.Routes) > 0 && !reflect.DeepEqual(got, to) {
			rt.Fatalf("got %+v, want %+v", got, to)
		}
		if len(to.Routes) == 0 && (got.Version != to.Version || !reflect.DeepEqual(got.Services, to.Services) || got.Limits != to.Limits) {
			rt.Fatalf("got %+v, want %+v", got, to)
		}
	})
}

// A change is not applied to another configuration than the one that it was computed from.
func TestChangeOfAnotherConfigIsRefused(t *testing.T) {
	is := is.New(t)
	change := Diff(&Config{Version: 3}, &Config{Version: 4})
	is.True(change.Apply(nil) == nil)
	is.True(change.Apply(&Config{Version: 2}) == nil)
	is.Equal(change.Apply(&Config{Version: 3}).Version, uint64(4))
}
