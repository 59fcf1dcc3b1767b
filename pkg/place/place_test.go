package place_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lovagelink.example/lovagelink/pkg/place"
)

func names(count int) []string {
	var list []string
	for i := range count {
		list = append(list, fmt.Sprint("plan-", i))
	}
	return list
}

// If one candidate is removed, only the keys that it was best for move.
func TestRendezvousMovesLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := names(rapid.IntRange(2, 20).Draw(t, "candidates"))
		lost := rapid.IntRange(0, len(all)-1).Draw(t, "lost")
		rest := append(append([]string(nil), all[:lost]...), all[lost+1:]...)
		key := rapid.String().Draw(t, "key")
		before, after := place.Best(key, all), place.Best(key, rest)
		if before != all[lost] && before != after {
			t.Fatalf("%q moved from %s to %s", key, before, after)
		}
		if place.Rank(key, all)[0] != before {
			t.Fatalf("rank and best differ for %q", key)
		}
	})
}

// Balance never increases the difference between the highest and the lowest load, keeps to its budget, and reports the
// owner of each slot that it moves.
func TestBalanceImproves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := names(rapid.IntRange(2, 8).Draw(t, "candidates"))
		slots := rapid.IntRange(8, 64).Draw(t, "slots")
		owners := make([]string, slots)
		loads := make([]float64, slots)
		for i := range owners {
			owners[i] = candidates[rapid.IntRange(0, len(candidates)-1).Draw(t, "owner")]
			loads[i] = rapid.Float64Range(0, 100).Draw(t, "load")
		}
		before := spread(owners, loads, candidates)
		moves := place.Planner{Slack: 0.2, Budget: 5}.Balance(owners, loads, place.Alike(candidates...))
		if len(moves) > 5 {
			t.Fatalf("%d moves over the budget", len(moves))
		}
		for _, move := range moves {
			if owners[move.Slot] != move.From {
				t.Fatalf("move %+v, but the owner is %s", move, owners[move.Slot])
			}
			owners[move.Slot] = move.To
		}
		if after := spread(owners, loads, candidates); after > before+1e-9 {
			t.Fatalf("spread %f became %f", before, after)
		}
	})
}

// Each owner gets slots in proportion to its speed.
func TestSpeedsDecideShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := place.Alike(names(rapid.IntRange(2, 8).Draw(t, "candidates"))...)
		total := 0.0
		for i := range candidates {
			candidates[i].Speed = rapid.Float64Range(0.1, 4).Draw(t, "speed")
			total += candidates[i].Speed
		}
		const slots = 1000
		owners, loads := make([]string, slots), make([]float64, slots)
		for i := range loads {
			loads[i] = 1
		}
		owned := make(map[string]float64)
		for _, move := range place.Fill(owners, loads, candidates) {
			owned[move.To]++
		}
		for _, candidate := range candidates {
			fair := slots * candidate.Speed / total
			if diff := owned[candidate.Name] - fair; diff < -float64(len(candidates)) || diff > float64(len(candidates)) {
				t.Fatalf("%s has %f slots of a fair share of %f", candidate.Name, owned[candidate.Name], fair)
			}
		}
	})
}

func TestFillGivesEverySlot(t *testing.T) {
	is := is.New(t)
	owners := make([]string, 100)
	loads := make([]float64, 100)
	for i := range loads {
		loads[i] = 1
	}
	moves := place.Fill(owners, loads, place.Alike(names(4)...))
	is.Equal(len(moves), 100)
	for _, move := range moves {
		owners[move.Slot] = move.To
	}
	is.Equal(spread(owners, loads, names(4)), 0.0)
	is.Equal(len(place.Fill(owners, loads, nil)), 0)
}

// spread returns the difference between the highest and the lowest load of the candidates.
func spread(owners []string, loads []float64, candidates []string) float64 {
	low, high := leastAndMost(owners, loads, candidates)
	return high - low
}

func leastAndMost(owners []string, loads []float64, candidates []string) (low, high float64) {
	sums := make(map[string]float64)
	for i, owner := range owners {
		sums[owner] += loads[i]
	}
	low, high = sums[candidates[0]], sums[candidates[0]]
	for _, name := range candidates {
		low, high = min(low, sums[name]), max(high, sums[name])
	}
	return low, high
}

// BenchmarkPlacement compares imbalance (max over mean) and churn of three placements under hot keys whose popularity
// follows Zipf's law: the naive hash modulo, rendezvous hashing, and planned slots.
func BenchmarkPlacement(b *testing.B) {
	const slots, keys, requests = 1024, 100_000, 1_000_000
	candidates := names(25)
	zipf := rand.NewZipf(rand.New(rand.NewPCG(1, 0)), 1.1, 4, keys-1)
	loads := make([]float64, slots)
	byKey := make([]float64, keys)
	for range requests {
		key := zipf.Uint64()
		byKey[key]++
		loads[place.Slot(fmt.Sprint("key-", key), slots)]++
	}
	report := func(b *testing.B, owners []string, moved int) {
		_, high := leastAndMost(owners, loads, candidates)
		b.ReportMetric(high/(requests/float64(len(candidates))), "max/mean-load")
		b.ReportMetric(float64(moved)/slots*float64(len(candidates)), "churn/least")
	}
	b.Run("naive-modulo", func(b *testing.B) {
		var owners []string
		moved := 0
		for b.Loop() {
			owners, moved = owners[:0], 0
			for slot := range slots {
				owners = append(owners, candidates[slot%25])
				if slot%25 != slot%24 {
					moved++
				}
			}
		}
		report(b, owners, moved)
	})
	b.Run("rendezvous", func(b *testing.B) {
		var owners []string
		moved := 0
		for b.Loop() {
			owners, moved = owners[:0], 0
			for slot := range slots {
				owner := place.Best(fmt.Sprint(slot), candidates)
				owners = append(owners, owner)
				if place.Best(fmt.Sprint(slot), candidates[:24]) != owner {
					moved++
				}
			}
		}
		report(b, owners, moved)
	})
	b.Run("planned", func(b *testing.B) {
		var owners []string
		moved := 0
		for b.Loop() {
			owners = make([]string, slots)
			moved = 0
			for _, move := range place.Fill(owners, loads, place.Alike(candidates...)) {
				owners[move.Slot] = move.To
			}
			for _, owner := range owners {
				if owner == candidates[24] {
					moved++
				}
			}
		}
		report(b, owners, moved)
	})
}

// BenchmarkHotRows compares planned slots with planned slots where each of the hottest 25 keys has a slot of its own.
// The lowest imbalance that any placement can reach is the load of the hottest key over the mean.
func BenchmarkHotRows(b *testing.B) {
	sizes := []struct {
		slots, owners, keys int
	}{{256, 25, 2000}, {1024, 25, 100_000}, {65_536, 1000, 1_000_000}}
	for _, size := range sizes {
		byKey := zipfLoads(size.keys)
		for _, rows := range []int{0, 25} {
			b.Run(fmt.Sprintf("slots-%d/rows-%d", size.slots, rows), func(b *testing.B) {
				loads := rowLoads(byKey, size.slots, rows)
				candidates := names(size.owners)
				owners := make([]string, len(loads))
				for b.Loop() {
					owners = make([]string, len(loads))
					for _, move := range place.Fill(owners, loads, place.Alike(candidates...)) {
						owners[move.Slot] = move.To
					}
				}
				_, high := leastAndMost(owners, loads, candidates)
				mean := sumOf(byKey) / float64(size.owners)
				b.ReportMetric(high/mean, "max/mean-load")
				b.ReportMetric(byKey[0]/mean, "least-possible")
			})
		}
	}
}

// zipfLoads returns the load of each key under Zipf's law, the hottest first.
func zipfLoads(keys int) []float64 {
	const exponent, offset = 1.1, 4
	loads := make([]float64, keys)
	for i := range loads {
		loads[i] = math.Pow(offset+float64(i), -exponent)
	}
	return loads
}

// rowLoads returns the load of each slot, followed by the load of each key that has a slot (a row) of its own.
func rowLoads(byKey []float64, slots, rows int) []float64 {
	loads := make([]float64, slots+rows)
	for key, load := range byKey {
		if key < rows {
			loads[slots+key] = load
			continue
		}
		loads[place.Slot(fmt.Sprint("key-", key), slots)] += load
	}
	return loads
}

func sumOf(loads []float64) float64 {
	sum := 0.0
	for _, load := range loads {
		sum += load
	}
	return sum
}

func Example() {
	fmt.Println(place.Slot("wall-7", 256) == place.Slot("wall-7", 256))
	fmt.Println(len(place.Rank("wall-7", []string{"a", "b", "c"})))
	// Output:
	// true
	// 3
}
