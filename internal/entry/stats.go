package entry

import (
	"sync/atomic"

	"lovagelink.example/lovagelink/pkg/verd"
)

// Stats counts the requests of an entry host by their fate.
type Stats struct {
	Requests   atomic.Int64 // requests that came in
	Invalid    atomic.Int64 // refused, since no service could take them
	Ran        atomic.Int64
	NotRun     atomic.Int64
	MayHaveRun atomic.Int64
	Forwarded  atomic.Int64 // attempts through another host
}

func (s *Stats) count(verdict verd.Verdict) {
	switch verdict {
	case verd.Ran:
		s.Ran.Add(1)
	case verd.NotRun:
		s.NotRun.Add(1)
	default:
		s.MayHaveRun.Add(1)
	}
}
