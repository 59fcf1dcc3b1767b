package realm

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// A map that takes changes part by part holds the same owner of every key as one list of ranges.
func TestRangeMapEqualsRanges(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(7, 0))
	var list Ranges
	var parts *RangeMap
	for step := range 200 {
		var changed Ranges
		for from := random.IntN(3000); from < 65536; from += 1 + random.IntN(20000) {
			to := min(from+random.IntN(9000), 65535)
			changed = append(changed, Range{
				KeyRange: KeyRange{uint16(from), uint16(to)}, Owner: Instance{ID: fmt.Sprint(random.IntN(9))}, FencingToken: uint64(step + 1), Active: random.IntN(2) == 0, Changed: uint64(step + 1),
			})
			from = to
		}
		before := parts.Ranges()
		next := parts.With(changed)
		is.Equal(parts.Ranges(), before) // the earlier map has not changed
		list, parts = list.PutAll(changed), next
		for range 200 {
			key := uint16(random.IntN(65536))
			inList, inParts := list.At(key), parts.At(key)
			is.Equal(inList == nil, inParts == nil)
			if inList == nil {
				continue
			}
			is.True(inParts.Has(key))
			is.Equal(inList.Owner, inParts.Owner)
			is.Equal(inList.FencingToken, inParts.FencingToken)
			is.Equal(inList.Active, inParts.Active)
		}
	}
	is.Equal(len(parts.Ranges()), len(list))
	is.Equal((*RangeMap)(nil).At(3), nil)
}
