package realm

import "slices"

// KeyRange is a range of keys, both ends included.
type KeyRange struct {
	From uint16 `json:"from"`
	To   uint16 `json:"to"`
}

// AllKeys is the whole space of keys.
var AllKeys = KeyRange{0, 65535}

// Size is the number of keys in the range.
func (k KeyRange) Size() int { return int(k.To) - int(k.From) + 1 }

// Has reports whether a key lies in the range.
func (k KeyRange) Has(key uint16) bool { return k.From <= key && key <= k.To }

// Overlaps reports whether two ranges share a key.
func (k KeyRange) Overlaps(other KeyRange) bool { return k.From <= other.To && other.From <= k.To }

// Range is who owns a range of keys.
type Range struct {
	KeyRange
	Owner        Instance `json:"owner"`
	FencingToken uint64   `json:"fence"`              // position of the log at which the owner was named
	Active       bool     `json:"active,omitempty"`   // the owner has taken the keys
	Handover     string   `json:"handover,omitempty"` // what the last owner said when it released them
	Changed      uint64   `json:"changed"`            // position of the log at which any of this last changed
}

// Ranges are the ranges of one service, in order and without overlap.
type Ranges []Range

// At returns the range of a key, or nil if nobody owns it.
func (r Ranges) At(key uint16) *Range {
	i, found := slices.BinarySearchFunc(r, key, func(one Range, key uint16) int {
		switch {
		case one.To < key:
			return -1
		case one.From > key:
			return 1
		}
		return 0
	})
	if !found {
		return nil
	}
	return &r[i]
}

// Gaps returns the keys that nobody owns.
func (r Ranges) Gaps() []KeyRange {
	var gaps []KeyRange
	next := 0
	for _, one := range r {
		if int(one.From) > next {
			gaps = append(gaps, KeyRange{uint16(next), one.From - 1})
		}
		next = int(one.To) + 1
	}
	if next <= int(AllKeys.To) {
		gaps = append(gaps, KeyRange{uint16(next), AllKeys.To})
	}
	return gaps
}

// Put returns the ranges with one put in place of what it covers; ranges that lie partly in it keep the rest.
func (r Ranges) Put(one Range) Ranges {
	next := r.Cut(one.KeyRange)
	i, _ := slices.BinarySearchFunc(next, one.From, func(other Range, from uint16) int { return int(other.From) - int(from) })
	return slices.Insert(next, i, one).joined()
}

// Cut returns the ranges without some keys.
func (r Ranges) Cut(keys KeyRange) Ranges {
	var next Ranges
	for _, one := range r {
		if !one.Overlaps(keys) {
			next = append(next, one)
			continue
		}
		if one.From < keys.From {
			left := one
			left.To = keys.From - 1
			next = append(next, left)
		}
		if one.To > keys.To {
			right := one
			right.From = keys.To + 1
			next = append(next, right)
		}
	}
	return next
}

// joined returns the ranges with neighbours joined that were named together.
func (r Ranges) joined() Ranges {
	var next Ranges
	for _, one := range r {
		if n := len(next); n > 0 && next[n-1].sameGrant(one) && int(next[n-1].To)+1 == int(one.From) {
			next[n-1].To = one.To
			next[n-1].Changed = max(next[n-1].Changed, one.Changed)
			continue
		}
		next = append(next, one)
	}
	return next
}

func (r Range) sameGrant(other Range) bool {
	return r.Owner == other.Owner && r.FencingToken == other.FencingToken && r.Active == other.Active && r.Handover == other.Handover
}
