package paxos

import "fmt"

//go:generate go tool stringer -type Kind -linecomment

// Kind is the type of an entry's content.
type Kind int

// The kinds of entries.
const (
	KindNoop    Kind = iota // noop
	KindCommand             // command
	KindMembers             // members
)

// Entry is the value at one index of the log as an acceptor has accepted it.
type Entry struct {
	Index   uint64  `json:"index"`
	Ballot  Ballot  `json:"ballot"`
	Kind    Kind    `json:"kind"`
	Data    []byte  `json:"data,omitempty"`
	Members Members `json:"members,omitempty"`
}

// logTail is the part of the log after the snapshot: entries base+1 to last, without gaps.
type logTail struct {
	base        uint64
	baseMembers Members
	entries     []Entry
}

func (l *logTail) last() uint64 {
	return l.base + uint64(len(l.entries))
}

// at returns the entry at index, which must be above base and at most last.
func (l *logTail) at(index uint64) Entry {
	return l.entries[index-l.base-1]
}

// entriesFrom returns up to maxEntries entries, starting at index.
func (l *logTail) entriesFrom(index uint64, maxEntries int) []Entry {
	if index > l.last() {
		return nil
	}
	tail := l.entries[index-l.base-1:]
	return append([]Entry(nil), tail[:min(maxEntries, len(tail))]...)
}

// batch returns entries starting at index, up to maxEntries and maxBytes of data, but at least one if there is one.
func (l *logTail) batch(index uint64, maxEntries, maxBytes int) []Entry {
	entries := l.entriesFrom(index, maxEntries)
	size := 0
	for i := range entries {
		size += len(entries[i].Data)
		if size > maxBytes && i > 0 {
			return entries[:i]
		}
	}
	return entries
}

// put replaces the entry at the same index or appends the entry. Entries that the snapshot covers are ignored.
func (l *logTail) put(entry Entry) error {
	switch {
	case entry.Index <= l.base:
		return nil
	case entry.Index <= l.last():
		l.entries[entry.Index-l.base-1] = entry
		return nil
	case entry.Index == l.last()+1:
		l.entries = append(l.entries, entry)
		return nil
	}
	return fmt.Errorf("entry %d leaves a gap behind %d", entry.Index, l.last())
}

// members returns the newest membership, whether or not it is committed.
func (l *logTail) members() Members {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Kind == KindMembers {
			return l.entries[i].Members
		}
	}
	return l.baseMembers
}

// membersAt returns the newest membership up to index.
func (l *logTail) membersAt(index uint64) Members {
	for i := index; i > l.base; i-- {
		if l.at(i).Kind == KindMembers {
			return l.at(i).Members
		}
	}
	return l.baseMembers
}

// hasMembershipChange reports whether there is a membership entry after index.
func (l *logTail) hasMembershipChange(index uint64) bool {
	for i := max(index, l.base) + 1; i <= l.last(); i++ {
		if l.at(i).Kind == KindMembers {
			return true
		}
	}
	return false
}

// truncateStale drops the entries after index that end the log and are of a lower ballot than this one.
func (l *logTail) truncateStale(index uint64, ballot Ballot) {
	for l.last() > max(index, l.base) && l.at(l.last()).Ballot.Less(ballot) {
		l.entries = l.entries[:len(l.entries)-1]
	}
}

// rebase makes index the base and keeps the entries after it.
func (l *logTail) rebase(index uint64, members Members) {
	var tail []Entry
	if index < l.last() {
		tail = append(tail, l.entries[index-l.base:]...)
	}
	l.base = index
	l.baseMembers = members
	l.entries = tail
}
