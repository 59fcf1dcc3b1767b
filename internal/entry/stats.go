package entry

import (
	"sync/atomic"

	"lovagelink.example/lovagelink/pkg/verd"
)

// Stats counts the requests of an entry host by outcome.
type Stats struct {
	Requests   atomic.Int64 // requests received from callers
	Invalid    atomic.Int64 // refused because they matched no service or were malformed
	Ran        atomic.Int64
	NotRun     atomic.Int64
	MayHaveRun atomic.Int64
	Forwarded  atomic.Int64 // attempts through the dispatcher on another host
}

func (s *Stats) countVerdict(verdict verd.Verdict) {
	switch verdict {
	case verd.Ran:
		s.Ran.Add(1)
	case verd.NotRun:
		s.NotRun.Add(1)
	default:
		s.MayHaveRun.Add(1)
	}
}
