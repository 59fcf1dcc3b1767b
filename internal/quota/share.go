package quota

import "time"

// alone is the part of the rate that all hosts together use without asking. Beside the whole of the rate, which is counted
// in one place, it stays within one and a half times the rate although the hosts' requests come together by chance.
const alone = 0.25

// Share is what one host may send to an upstream while it can't ask.
type Share struct {
	level   float64
	updated time.Time
}

// NewShare returns a share that begins at time now. The level, from 0 to 1, is drawn at random: if all hosts began with the
// same, they would all send at the same time.
func NewShare(now time.Time, level float64) *Share { return &Share{level: level, updated: now} }

// Take withdraws one request at a rate of requests per second, at least MinRate, that is divided among a number of hosts.
func (s *Share) Take(now time.Time, rate float64, hosts int) Answer {
	own := alone * atLeastMin(rate) / float64(max(1, hosts))
	if passed := now.Sub(s.updated).Seconds(); passed > 0 {
		s.level = min(s.level+passed*own, 1)
		s.updated = now
	}
	if s.level >= 1 {
		s.level--
		return Answer{OK: true}
	}
	wait := inSeconds((1 - s.level) / own)
	return Answer{Next: wait, Retry: wait}
}
