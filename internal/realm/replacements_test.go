package realm

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/route"
)

// A command with many changes of keys has the effect of its changes one after another, also where they overlap: every
// replica must come to the same state, whatever release wrote the command.
func TestManyChangesEqualOneByOne(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(11, 0))
	newState := func() *State {
		s := New()
		s.Config = &route.Config{Services: []route.Service{{Name: "a", Keyed: true}, {Name: "b", Keyed: true}}}
		return s
	}
	together, oneByOne := newState(), newState()
	for index := range uint64(300) {
		together.Index, oneByOne.Index = index+1, index+1
		var assignments []Assignment
		var changes []ActiveChange
		for range 1 + random.IntN(12) {
			from := random.IntN(65536)
			keys := KeyRange{uint16(from), uint16(min(from+random.IntN(8000), 65535))}
			service := string(rune('a' + random.IntN(2)))
			token := uint64(0)
			if ownership := together.Ownership[service]; ownership != nil && random.IntN(3) > 0 && len(ownership.Ranges) > 0 {
				r := ownership.Ranges[random.IntN(len(ownership.Ranges))]
				token, keys = r.FencingToken, r.KeyRange
				if random.IntN(2) == 0 {
					keys.To = keys.From + uint16(keys.Size()/2)
				}
			}
			assignments = append(assignments, Assignment{Service: service, Keys: keys, Owner: Instance{ID: fmt.Sprint(random.IntN(5))}, ExpectedToken: token})
			changes = append(changes, ActiveChange{Service: service, Keys: keys, FencingToken: token, Active: random.IntN(2) == 0})
		}
		together.setActiveAll(changes)
		together.assignAll(assignments)
		for _, change := range changes {
			oneByOne.setActiveAll([]ActiveChange{change})
		}
		for _, a := range assignments {
			oneByOne.assignAll([]Assignment{a})
		}
		first, err := json.Marshal(together)
		is.NoErr(err)
		second, err := json.Marshal(oneByOne)
		is.NoErr(err)
		is.Equal(string(first), string(second))
	}
	is.True(len(together.Ownership["a"].Ranges) > 20)
}
