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

// Has reports whether the range contains a key.
func (k KeyRange) Has(key uint16) bool { return k.From <= key && key <= k.To }

// Overlaps reports whether two ranges share a key.
func (k KeyRange) Overlaps(other KeyRange) bool { return k.From <= other.To && other.From <= k.To }

// Range is a range of keys with its owner.
type Range struct {
	KeyRange
	Owner        Instance `json:"owner"`
	FencingToken uint64   `json:"fence"`              // log index of the assignment, or of the last token renewal
	Active       bool     `json:"active,omitempty"`   // the owner has accepted the keys and is not releasing them
	Handover     string   `json:"handover,omitempty"` // data that the previous owner returned when it released the keys
	Changed      uint64   `json:"changed"`            // log index of the last change that followers need
}

// Ranges are the ranges of one service, sorted and without overlaps.
type Ranges []Range

// At returns the range that contains a key, or nil if the key has no owner.
func (r Ranges) At(key uint16) *Range {
	i, found := slices.BinarySearchFunc(r, key, func(current Range, key uint16) int {
		switch {
		case current.To < key:
			return -1
		case current.From > key:
			return 1
		}
		return 0
	})
	if !found {
		return nil
	}
	return &r[i]
}

// Gaps returns the ranges of keys without an owner.
func (r Ranges) Gaps() []KeyRange {
	var gaps []KeyRange
	next := 0
	for _, current := range r {
		if int(current.From) > next {
			gaps = append(gaps, KeyRange{uint16(next), current.From - 1})
		}
		next = int(current.To) + 1
	}
	if next <= int(AllKeys.To) {
		gaps = append(gaps, KeyRange{uint16(next), AllKeys.To})
	}
	return gaps
}

// Put returns the ranges with replacement inserted in place of the keys that it covers. Ranges that overlap it partly
// keep their other keys.
func (r Ranges) Put(replacement Range) Ranges { return r.PutAll(Ranges{replacement}) }

// PutAll returns the ranges with all replacements inserted, as Put does it for one. The replacements are sorted and don't
// overlap.
func (r Ranges) PutAll(replacements Ranges) Ranges {
	next := make(Ranges, 0, len(r)+2*len(replacements))
	inserted := 0
	insertBefore := func(key int) {
		for inserted < len(replacements) && int(replacements[inserted].From) < key {
			next = next.appendMerged(replacements[inserted])
			inserted++
		}
	}
	i := 0
	for _, current := range r {
		for i < len(replacements) && replacements[i].To < current.From {
			i++
		}
		from := int(current.From)
		for j := i; j < len(replacements) && replacements[j].From <= current.To; j++ {
			if to := int(replacements[j].From) - 1; from <= to {
				insertBefore(from)
				next = next.appendMerged(current.within(from, to))
			}
			from = int(replacements[j].To) + 1
		}
		if from <= int(current.To) {
			insertBefore(from)
			next = next.appendMerged(current.within(from, int(current.To)))
		}
	}
	insertBefore(int(AllKeys.To) + 1)
	return next
}

// appendMerged appends a range, or extends the last range if the two are adjacent and differ in nothing but their keys
// and Changed.
func (r Ranges) appendMerged(next Range) Ranges {
	if n := len(r); n > 0 && r[n-1].sameOwnership(next) && int(r[n-1].To)+1 == int(next.From) {
		r[n-1].To = next.To
		r[n-1].Changed = max(r[n-1].Changed, next.Changed)
		return r
	}
	return append(r, next)
}

// overlapping returns the ranges that share a key with the given keys.
func (r Ranges) overlapping(keys KeyRange) Ranges {
	from, _ := slices.BinarySearchFunc(r, keys.From, func(current Range, key uint16) int { return int(current.To) - int(key) })
	to := from
	for to < len(r) && r[to].From <= keys.To {
		to++
	}
	return r[from:to]
}

// within returns the part of a range between two keys.
func (r Range) within(from, to int) Range {
	r.KeyRange = KeyRange{uint16(from), uint16(to)}
	return r
}

// Cut returns the ranges with the given keys removed.
func (r Ranges) Cut(keys KeyRange) Ranges {
	var next Ranges
	for _, current := range r {
		if !current.Overlaps(keys) {
			next = append(next, current)
			continue
		}
		if current.From < keys.From {
			left := current
			left.To = keys.From - 1
			next = append(next, left)
		}
		if current.To > keys.To {
			right := current
			right.From = keys.To + 1
			next = append(next, right)
		}
	}
	return next
}

// merged returns the ranges with adjacent ranges merged if they differ in nothing but their keys and Changed.
func (r Ranges) merged() Ranges {
	next := make(Ranges, 0, len(r))
	for _, current := range r {
		next = next.appendMerged(current)
	}
	return next
}

func (r Range) sameOwnership(other Range) bool {
	return r.Owner == other.Owner && r.FencingToken == other.FencingToken && r.Active == other.Active && r.Handover == other.Handover
}
