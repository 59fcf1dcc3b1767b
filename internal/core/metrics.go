package core

import (
	"time"

	"lovagelink.example/lovagelink/internal/meter"
	"lovagelink.example/lovagelink/internal/realm"
)

// Metrics returns the counts and gauges of this host.
func (h *Host) Metrics() (counts, gauges []meter.Metric) {
	gauge := func(name, help string, read func(now time.Time) int64) {
		gauges = append(gauges, meter.Metric{Name: name, Help: help, Read: read})
	}
	gauge("replica-leading", "1 while the replica of this host leads", func(now time.Time) int64 {
		if _, leads := h.leads(now); leads {
			return 1
		}
		return 0
	})
	gauge("in-touch", "1 while this host hears from the leader", func(now time.Time) int64 {
		if h.hasLeaderContact(now) {
			return 1
		}
		return 0
	})
	gauge("commit", "position of the log up to which it is chosen", func(now time.Time) int64 { return int64(h.Status(now).Commit) })
	gauge("members", "replicas of the log", func(now time.Time) int64 { return int64(len(h.Status(now).Members)) })
	state := func(name, help string, read func(*realm.State) int) {
		gauge(name, help, func(time.Time) (value int64) {
			h.readNewest(func(s *realm.State) { value = int64(read(s)) })
			return value
		})
	}
	state("config-version", "accepted configuration", func(s *realm.State) int { return int(s.Version()) })
	state("upstreams", "upstreams that are registered", func(s *realm.State) int { return len(s.Upstreams) })
	state("ranges", "ranges of keys with an owner", func(s *realm.State) int {
		sum := 0
		for _, ownership := range s.Ownership {
			sum += len(ownership.Ranges)
		}
		return sum
	})
	return counts, gauges
}
