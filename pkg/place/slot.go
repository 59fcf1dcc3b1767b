package place

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Slot returns the slot of a key in a table of count slots, by the xxHash of the key. Count must be above 0.
func Slot(key string, count int) int {
	return int(xxhash.Sum64String(key) % uint64(count))
}

// Rank returns the candidates sorted for a key by rendezvous hashing, the best first. If a candidate is removed, only
// the keys that it was best for move.
func Rank(key string, candidates []string) []string {
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(key, b), weight(key, a)), cmp.Compare(a, b))
	})
	return ranked
}

// Best returns the best candidate for a key by rendezvous hashing, or "" if there are no candidates.
func Best(key string, candidates []string) string {
	best := ""
	for _, candidate := range candidates {
		if best == "" || isBetter(key, candidate, best) {
			best = candidate
		}
	}
	return best
}

func isBetter(key, a, b string) bool {
	wa, wb := weight(key, a), weight(key, b)
	return wa > wb || wa == wb && a < b
}

func weight(key, candidate string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(candidate)
	return digest.Sum64()
}
